import hashlib

import pytest
from google.protobuf.message import DecodeError
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewinglift.configuration import (
    Configuration,
    Fleet,
    Route,
    Service,
    ServiceWeight,
    Target,
    Workspace,
    digest_key,
)
from lacewinglift.errors import ConfigurationError
from lacewinglift.generated.configuration_pb2 import SegmentContent
from lacewinglift.generated.fleet_pb2 import Manifest
from lacewinglift.segments import (
    decode_configuration,
    encode_configuration,
    missing_segments,
    referenced_segments,
)


def make_workspace(number, burst=5):
    keys = tuple(sorted(digest_key(f"key-{number}-{each}") for each in range(2)))
    return Workspace(f"w{number}", 2.5, burst, keys)


def make_configuration(workspaces=3, services=2):
    built = {
        f"s{number}": Service(
            f"s{number}",
            tuple(
                Target(f"t{each}", f"10.0.0.1:{each + 1}", "m", 2, 20, each == 1)
                for each in range(3)
            ),
            floor=0.25,
        )
        for number in range(services)
    }
    routes = tuple(
        Route(f"/r{number}", f"s{number}", open=number == 0)
        for number in range(services)
    )
    routes += (
        Route(
            "/split",
            "s0",
            host="shop.example",
            idempotent=False,
            max_attempts=2,
            timeout_s=1.5,
            split=(ServiceWeight("s0", 3.0), ServiceWeight("s1", 0.5)),
        ),
        Route("/idempotent", "s0", idempotent=True),
    )
    tenants = {f"w{number}": make_workspace(number) for number in range(workspaces)}
    return Configuration(3, Fleet("f", ("m", "t")), built, routes, tenants)


@pytest.mark.parametrize("workspaces", [0, 3, 2500])
def test_decoded_configuration_equals_the_encoded_one(workspaces):
    """Guards against an entry that encoding or decoding loses or changes."""
    original = make_configuration(workspaces, services=20)
    encoded = encode_configuration(original, "ann")
    decoded = decode_configuration(encoded.manifest, encoded.segments)
    assert decoded.generation == 3
    assert decoded.fleet == original.fleet
    assert list(decoded.services.items()) == sorted(original.services.items())
    assert sorted(decoded.routes, key=str) == sorted(original.routes, key=str)
    assert dict(decoded.workspaces) == dict(original.workspaces)
    assert len(decoded.workspaces) == workspaces
    assert {each.name for each in decoded.workspaces.values()} == set(
        original.workspaces
    )
    for digest, workspace in original.by_digest.items():
        assert decoded.workspace_for_digest(digest) == workspace
    assert decoded.workspace_for_digest(digest_key("none")) is None
    assert decoded.workspaces.get("none") is None
    assert decoded.route_for("/r1/x").service == "s1"


def test_one_change_rewrites_few_kilobytes():
    """Guards against control traffic that grows with the number of workspaces."""
    configuration = make_configuration(5000)
    before = encode_configuration(configuration, "ann")
    changed = dict(configuration.workspaces)
    changed["w7"] = Workspace("w7", 2.5, 5, (digest_key("new"),))
    after = encode_configuration(
        Configuration(
            4,
            configuration.fleet,
            configuration.services,
            configuration.routes,
            changed,
        ),
        "ann",
    )
    sent = [
        len(content)
        for sha256, content in after.segments.items()
        if sha256 not in before.segments
    ]
    # 6 KB/s of control traffic at 3,500 changes a day is 148 KB for each change. A
    # third of it may be the configuration.
    assert sum(sent) + after.manifest.ByteSize() < 148_000 / 3, sent


def test_missing_segments_are_found_through_indexes():
    """Guards against an instance that does not fetch the buckets behind an index."""
    encoded = encode_configuration(make_configuration(5000), "ann")
    fetched = {}
    rounds = 0
    while missing := missing_segments(encoded.manifest, fetched):
        fetched |= {sha256: encoded.segments[sha256] for sha256 in missing}
        rounds += 1
    assert rounds == 2
    assert fetched == encoded.segments
    assert referenced_segments(encoded.manifest, fetched) == set(fetched)
    small = encode_configuration(make_configuration(), "ann")
    assert len(missing_segments(small.manifest, {})) == len(small.segments)


def test_withdrawn_key_is_refused_despite_an_outdated_bucket_of_keys():
    """Guards against accepting a withdrawn key that an old bucket of keys lists."""
    old = encode_configuration(make_configuration(), "ann")
    new = make_configuration()
    new.workspaces["w1"] = Workspace("w1", 2.5, 5)
    encoded = encode_configuration(new, "ann")
    [keys] = [each for each in old.manifest.segments if each.name == "keys/0"]
    for reference in encoded.manifest.segments:
        if reference.name == "keys/0":
            reference.CopyFrom(keys)
    segments = old.segments | encoded.segments
    decoded = decode_configuration(encoded.manifest, segments)
    assert decoded.workspace_for_digest(digest_key("key-1-0")) is None
    assert decoded.workspace_for_digest(digest_key("key-2-0")).name == "w2"


def test_new_content_is_verified_despite_a_previous_result():
    """Guards against reusing an earlier result for a segment of the same name."""
    encoded = encode_configuration(make_configuration(), "ann")
    previous = decode_configuration(encoded.manifest, encoded.segments)
    again = decode_configuration(encoded.manifest, encoded.segments, previous)
    assert dict(again.workspaces) == dict(previous.workspaces)
    for reference in encoded.manifest.segments:
        if reference.name == "workspaces/0":
            content = b"\x22\x00"
            reference.sha256 = hashlib.sha256(content).digest()
            encoded.segments[reference.sha256] = content
    with pytest.raises(ConfigurationError):
        decode_configuration(encoded.manifest, encoded.segments, previous)


@pytest.mark.parametrize(
    "sha256",
    sorted(encode_configuration(make_configuration(), "ann").segments),
    ids=bytes.hex,
)
def test_wrong_or_missing_segment_is_refused_despite_a_previous_result(sha256):
    """Guards against accepting content because its digest was verified before."""
    encoded = encode_configuration(make_configuration(), "ann")
    previous = decode_configuration(encoded.manifest, encoded.segments)
    segments = {**encoded.segments, sha256: b"\x1a\x00"}
    with pytest.raises(ConfigurationError, match="wrong hash"):
        decode_configuration(encoded.manifest, segments, previous)
    del segments[sha256]
    with pytest.raises(ConfigurationError, match="is missing"):
        decode_configuration(encoded.manifest, segments, previous)


def test_service_that_is_too_large_is_refused():
    """Guards against a segment that the store does not accept."""
    targets = tuple(
        Target(f"target-{each}", "10.0.0.1:1", "m", 1, 1) for each in range(20_000)
    )
    configuration = Configuration(1, Fleet("f"), {"s": Service("s", targets)}, (), {})
    with pytest.raises(ConfigurationError, match="divide it"):
        encode_configuration(configuration, "ann")


ENCODED = encode_configuration(make_configuration(), "ann")
NAMES = {each.sha256: each.name for each in ENCODED.manifest.segments}


def with_index_segment():
    """Return manifest and segments with all references in an index segment."""
    index = SegmentContent(references=ENCODED.manifest.segments)
    content = index.SerializeToString()
    sha256 = hashlib.sha256(content).digest()
    manifest = Manifest(fleet="f", workspace_buckets=1, key_buckets=1)
    manifest.segments.add(name="index/0", sha256=sha256)
    return manifest, {**ENCODED.segments, sha256: content}


WITHOUT_INDEX = (ENCODED.manifest, ENCODED.segments)
WITH_INDEX = with_index_segment()


def test_index_segment_decodes_to_the_same_configuration():
    """Guards against tests of invalid manifests whose original index is invalid too."""
    assert set(decode_configuration(*WITH_INDEX).workspaces) == {"w0", "w1", "w2"}


def with_replaced_segment(name, content):
    """Return manifest and segments with the content of one segment replaced."""
    manifest = Manifest()
    manifest.CopyFrom(ENCODED.manifest)
    segments = dict(ENCODED.segments)
    for reference in manifest.segments:
        if reference.name == name:
            reference.sha256 = hashlib.sha256(content).digest()
            segments[reference.sha256] = content
    return manifest, segments


def decode_and_read_all(manifest, segments):
    """Decode and use every entry; only ConfigurationError may be raised."""
    try:
        missing_segments(manifest, segments)
        configuration = decode_configuration(manifest, segments)
    except ConfigurationError:
        return
    for name in configuration.workspaces:
        assert configuration.workspaces[name].name == name
    for digest in configuration.by_digest:
        configuration.workspace_for_digest(digest)
    configuration.route_for("/r0/a")
    assert set(configuration.services) >= {
        route.service for route in configuration.routes
    }


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_hostile_segments_are_refused(data):
    """Guards against an unexpected exception for an invalid segment."""
    sha256 = data.draw(st.sampled_from(sorted(NAMES)))
    content = bytearray(ENCODED.segments[sha256])
    kind = data.draw(st.sampled_from(["random", "cut", "flip", "splice"]))
    if kind == "random":
        content = data.draw(st.binary(max_size=200))
    elif kind == "cut":
        content = content[: data.draw(st.integers(0, len(content)))]
    elif kind == "splice":
        content += data.draw(st.sampled_from(sorted(ENCODED.segments.values())))
    else:
        for _ in range(data.draw(st.integers(1, 4))):
            place = data.draw(st.integers(0, len(content) - 1))
            content[place] = data.draw(st.integers(0, 255))
    decode_and_read_all(*with_replaced_segment(NAMES[sha256], bytes(content)))


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_hostile_manifests_are_refused(data):
    """Guards against an unexpected exception for an invalid manifest."""
    original, segments = data.draw(st.sampled_from([WITHOUT_INDEX, WITH_INDEX]))
    content = bytearray(original.SerializeToString())
    for _ in range(data.draw(st.integers(1, 3))):
        place = data.draw(st.integers(0, len(content) - 1))
        content[place] = data.draw(st.integers(0, 255))
    try:
        manifest = Manifest.FromString(bytes(content))
    except DecodeError:
        return
    decode_and_read_all(manifest, segments)


@pytest.mark.parametrize("sha256", sorted(ENCODED.segments), ids=bytes.hex)
def test_segment_with_another_hash_is_refused(sha256):
    """Guards against content whose digest is not the one in the manifest."""
    segments = {**ENCODED.segments, sha256: b"other"}
    with pytest.raises(ConfigurationError, match="wrong hash"):
        decode_configuration(ENCODED.manifest, segments)
    del segments[sha256]
    assert missing_segments(ENCODED.manifest, segments) == [sha256]
    with pytest.raises(ConfigurationError, match="missing"):
        decode_configuration(ENCODED.manifest, segments)
