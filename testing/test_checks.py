import copy
import json
import pathlib
import re
import tempfile

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from lacewinglift.checks import load_configuration
from lacewinglift.errors import ConfigurationError
from lacewinglift.jsonc import parse
from lacewinglift.segments import decode_configuration, encode_configuration

KEY = "a" * 64
BASE = """{
  "fleet": {"name": "f", "data_centres": ["m", "t"], "instances": 3},
  "services": {
    "orders": {
      "floor": 0.5,
      "target_defaults": {"slots": 2, "connections": 20},
      "targets": {
        "o1": {"address": "127.0.0.1:1001", "data_centre": "m"},
        "o2": {"address": "127.0.0.1:1002", "data_centre": "t", "slots": 4}
      }
    }
  },
  "routes": {
    "/orders": {"service": "orders", "workspaces": ["w1"]},
    "/public": {"service": "orders", "open": true}
  },
  "workspaces": {
    "w1": {"rate_per_s": 5, "burst": 10.0,
      "key_digests": ["KEY"]},
    "w2": {"rate_per_s": 0.5, "burst": 1}
  }
}""".replace("KEY", KEY)


@pytest.fixture
def load(tmp_path):
    def load_texts(base, *overlays):
        paths = []
        for name, text in zip(["base", "s1", "s2"], [base, *overlays], strict=False):
            paths.append(tmp_path / f"{name}.jsonc")
            paths[-1].write_text(text)
        return load_configuration(*paths)

    return load_texts


@pytest.fixture
def faults(load):
    def faults_of(base, *overlays):
        with pytest.raises(ConfigurationError) as caught:
            load(base, *overlays)
        return [
            f"{fault.file.rsplit('/', 1)[1].split('.')[0]}:{fault.line} {fault.message}"
            for fault in caught.value.faults
        ]

    return faults_of


def test_valid_files_are_loaded(load):
    """Guards against a setting that is lost or has the wrong type."""
    configuration = load(BASE)
    service = configuration.services["orders"]
    assert [(each.slots, each.connections) for each in service.targets] == [
        (2, 20),
        (4, 20),
    ]
    workspace = configuration.workspace_for_digest(bytes.fromhex(KEY))
    assert workspace.name == "w1"
    assert type(workspace.burst) is int
    assert type(workspace.rate_per_s) is float
    assert configuration.route_for("/public/x").open


def test_route_settings_are_loaded(load):
    """Guards against losing the host, retry or timeout settings of a route."""
    settings = '"host": "shop.example", "idempotent": false, "max_attempts": 2, '
    settings += '"timeout_s": 2, "open": true'
    configuration = load(BASE.replace('"open": true', settings))
    route = configuration.route_for("/public/x", "shop.example")
    assert (route.idempotent, route.max_attempts, route.timeout_s) == (False, 2, 2.0)
    assert configuration.route_for("/public/x", "other.example") is None


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('"floor": 0.5', '"flor": 0.5', "base:5 'flor' is not known; did you mean"),
        ('"floor": 0.5', '"floor": 50', "base:5 'floor' cannot be 50; .* write 0.5"),
        ('"floor": 0.5', '"request_timeout_ms": 9', "base:5 .*'request_timeout_s'"),
        ('"floor": 0.5', '"request_timeout_s": "9s"', "base:5 .*without a unit"),
        ('"m", "t"', '"m"', "base:9 't' is not in 'data_centres'"),
        ("1002", "1001", "base:9 .*already the address of 'o1'"),
        ("1002", "70000", "base:9 .*65535"),
        (', "slots": 4', ', "slots": 40', "base:9 .*40 slots but only 20 conn"),
        ('"slots": 2, ', "", "base:8 'o1' has no 'slots'"),
        (
            ', "slots": 4',
            ', "slots": 4, "leaving": true',
            "base:5 .*needs 3 of 6 slots.* have 2",
        ),
        ('"t", "slots"', '"t", "leaving": true, "slots"', "base:5 'orders': the floor"),
        ('"service": "orders", "w', '"service": "order", "w', "mean 'orders'"),
        (
            '"open": true',
            '"timeout_s": 0',
            "base:15 'timeout_s' cannot be 0; .*sec",
        ),
        ('"open": true', '"max_attempts": 11', "base:15 'max_attempts' cannot be 11"),
        ('"open": true', '"host": "Shop"', "base:15 'host' cannot be .*lower case"),
        (
            '"open": true',
            '"split": {"orders": 1, "other": 1}',
            "base:15 no service is named 'other'",
        ),
        (
            '"open": true',
            '"split": {"a": 1, "b": 1}',
            "base:15 'split' has no weight for 'orders'",
        ),
        ('"open": true', '"split": {"orders": 1}', "base:15 .*split"),
        ('["w1"]', '["w1", "w9"]', "base:14 no workspace is named 'w9'"),
        ('"open": true', '"open": true, "workspaces": ["w2"]', "base:15 .*is open"),
        ('"/public"', '"/public/"', "base:15 .*cannot be a name here"),
        ('"/public"', '"/metrics/x"', "base:15 .*answered by the instances"),
        ('"/public"', '"/a/../b"', "base:15 .*segment"),
        ('"w2"', '"W2"', "base:20 .*lower-case"),
        ('"w2"', '"w1"', "base:20 'w1' appears twice, first on line 18"),
        ('"rate_per_s": 0.5, ', "", "base:20 .*'rate_per_s' is missing"),
        ('"services"', '"service"', "base:1 'services' is missing"),
        (BASE, "[]", "base:1 the file must be an object"),
    ],
)
def test_fault_is_reported_with_its_line(faults, old, new, expected):
    """Guards against publishing a faulty configuration."""
    found = faults(BASE.replace(old, new))
    assert any(re.search(expected, each) for each in found), found


def test_all_faults_are_reported_at_once(faults):
    """Guards against a check that stops at the first fault."""
    text = BASE.replace('"floor"', '"flor"').replace('["w1"]', '["w7"]')
    text = text.replace('"burst": 1}', '"burst": "1"}').replace("1002", "1001")
    found = faults(text)
    lines = [each.split()[0] for each in found]
    assert lines == ["base:5", "base:9", "base:14", "base:20"]


def test_service_that_is_too_large_is_a_fault(faults):
    """Guards against a size limit that is checked only during publication."""
    targets = ",".join(
        f'"t{each}": {{"address": "10.0.0.{each % 200}:{each}", "data_centre": "m"}}'
        for each in range(1, 8000)
    )
    [found] = faults(BASE.replace('"targets": {', '"targets": {' + targets + ","))
    assert found.startswith("base:7 'orders' has more targets")


def test_key_is_never_shown(faults):
    """Guards against showing a clear-text key on a terminal or in a log."""
    [found] = faults(BASE.replace(KEY, "my-secret-key"))
    assert "my-secret-key" not in found
    assert found.startswith("base:19 'key_digests'; it is SHA-256 digest")


@pytest.mark.parametrize("digest", [KEY, KEY.upper(), KEY[1:]])
def test_key_digests_are_unique_and_well_formed(faults, digest):
    """Guards against a key that is accepted for two workspaces."""
    text = BASE.replace('"burst": 1}', f'"burst": 1, "key_digests": ["{digest}"]}}')
    [found] = faults(text)
    assert found.startswith("base:20")


def test_overlay_changes_targets_and_limits(load):
    """Guards against losing the changes of an overlay."""
    overlay = """{
      "fleet": {"data_centres": ["m", "t", "v"]},
      "services": {"orders": {"max_concurrent": 7, "targets": {
        "o1": null, "o2": {"slots": 1},
        "o3": {"address": "127.0.0.1:1003", "data_centre": "v"}}}},
      "workspaces": {"w2": {"burst": 4}}
    }"""
    configuration = load(BASE, overlay)
    service = configuration.services["orders"]
    assert [each.name for each in service.targets] == ["o2", "o3"]
    assert service.targets[0].slots == 1
    assert service.max_concurrent == 7
    assert configuration.workspaces["w2"].burst == 4


@pytest.mark.parametrize(
    ("overlay", "expected"),
    [
        ('{"fleet": {"name": "g"}}', "s1:1 an overlay cannot change 'fleet.name'"),
        ('{"routes": {"/orders": {"open": true}}}', "s1:1 .*only in the base file"),
        ('{"workspaces": {"w2": {"key_digests": []}}}', "s1:1 .*keys are only"),
        ('{"workspaces": {"w3": {"burst": 1}}}', "s1:1 'w3' .*cannot add it"),
        ('{"services":\n{"order": {"floor": 1}}}', "s1:2 .*did you mean 'orders'"),
        ('{"services": {"orders": {"targets": {"o9": null}}}}', "s1:1 'o9' .*removed"),
        ('{"services": {"orders": null}}', "s1:1 .*cannot change 'services.orders'"),
        ('{"services": {"orders": {\n"flor": 1}}}', "s1:2 'flor' is not known"),
        ('{"fleet": {"data_centres": ["m"]}}', "base:9 't' is not in"),
        ("3", "s1:1 an overlay cannot change 'the whole file'"),
    ],
)
def test_overlay_cannot_change_access_control(faults, overlay, expected):
    """Guards against an overlay that opens routes or adds keys for one site."""
    found = faults(BASE, overlay)
    assert any(re.search(expected, each) for each in found), found


def test_overlays_cannot_set_the_same_value(faults):
    """Guards against a result that depends on the order of overlays."""
    first = '{"services": {"orders": {"floor": 0.2}}}'
    [found] = faults(BASE, first, first)
    assert "s2:1 'floor' is also set by" in found


def test_missing_or_unlisted_overlay_is_a_fault(faults):
    """Guards against publishing a fleet without the targets of a site."""
    text = BASE.replace('"name": "f",', '"name": "f", "sites": ["a", "b"],')
    found = faults(text, "{}")
    assert "'site-a.jsonc' of site 'a' was not given" in found[0]
    assert "'s1.jsonc' is not the overlay of a site" in found[2]


def paths_of(value, path=()):
    yield path
    if isinstance(value, list):
        value = dict(enumerate(value))
    for key, child in value.items() if isinstance(value, dict) else ():
        yield from paths_of(child, (*path, key))


VALUES = st.sampled_from(
    [None, True, -1, 0, 7, 1.5, 1e300, "", "x", "\ud800", "{x}", "a.b", [], {}, ["x"]]
) | st.recursive(
    st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.text(max_size=8), inner, max_size=2)
    ),
    max_leaves=4,
)


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_any_change_is_accepted_or_reported(data):
    """Guards against a traceback, or a publication that instances cannot decode."""
    documents = [parse(BASE), parse('{"services": {"orders": {"floor": 0.1}}}')]
    for _ in range(data.draw(st.integers(1, 4))):
        document = data.draw(st.sampled_from(documents))
        paths = [path for path in paths_of(document) if path]
        assume(paths)
        path = data.draw(st.sampled_from(paths))
        parent = document
        for part in path[:-1]:
            parent = parent[part]
        if isinstance(parent, dict) and data.draw(st.booleans()):
            parent[data.draw(st.text(max_size=5) | st.just("floor"))] = parent.pop(
                path[-1]
            )
        else:
            parent[path[-1]] = copy.deepcopy(data.draw(VALUES))
    with tempfile.TemporaryDirectory() as folder:
        files = [pathlib.Path(folder) / f"{number}.jsonc" for number in range(2)]
        for file, document in zip(files, documents, strict=True):
            file.write_text(json.dumps(document, indent=1))
        try:
            configuration = load_configuration(*files)
        except ConfigurationError as error:
            assert error.faults
            assert all(fault.line >= 1 for fault in error.faults)
            return
    encoded = encode_configuration(configuration, "ann")
    decoded = decode_configuration(encoded.manifest, encoded.segments)
    assert decoded.services == configuration.services
