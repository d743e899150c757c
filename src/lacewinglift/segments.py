"""Encodes a configuration as content-addressed segments and decodes it again.

Entries are distributed over buckets by a hash of their names, and each bucket is one
segment, so that a change of one entry rewrites one small segment. If there are many
buckets, the manifest refers to index segments that refer to the buckets. A manifest
with thousands of direct references would be larger than the segments that a change
rewrites.
"""

import hashlib
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from functools import lru_cache
from typing import Any, TypeVar

from attrs import field, frozen
from google.protobuf.message import DecodeError

from lacewinglift._records import (
    fleet_from_record,
    fleet_record,
    is_digest,
    route_from_record,
    route_record,
    service_from_record,
    service_record,
    workspace_from_record,
    workspace_record,
)
from lacewinglift.configuration import Configuration, Route, Service, Workspace
from lacewinglift.errors import ConfigurationError
from lacewinglift.generated.configuration_pb2 import KeyRecord, SegmentContent
from lacewinglift.generated.fleet_pb2 import Manifest, SegmentReference

MAX_SEGMENT_BYTES = 512 * 1024
"""Half of the largest value that the store accepts, 1 MB."""
MAX_BUCKETS = 1 << 16
ENTRIES_PER_BUCKET = {"services": 8, "routes": 64, "workspaces": 64, "keys": 64}
"""Gives buckets of about 4 KB; services are larger because of their targets."""
MAX_DIRECT_REFERENCES = 64
"""Most references in a manifest without index segments, and in an index segment."""
DECODED_CACHE_SIZE = 4096
"""Decoded workspaces, and as many decoded keys, in the caches; about 5 MB together."""

KINDS = tuple(ENTRIES_PER_BUCKET)
_Entry = TypeVar("_Entry")
Segments = Mapping[bytes, bytes]
"""Contents of segments by their SHA-256 digests."""
_VerifiedSegments = dict[bytes, tuple[bytes, tuple[Any, ...]]]
"""Verified contents and the services and routes decoded from them.

The key is the digest of a segment followed by the position it was verified for.
"""


@frozen
class EncodedConfiguration:
    """A manifest and all segments that it refers to."""

    manifest: Manifest
    segments: dict[bytes, bytes]


@frozen(eq=False)
class SegmentedConfiguration(Configuration):
    """A configuration that decodes workspaces and keys when they are looked up."""

    verified: _VerifiedSegments = field(factory=dict, kw_only=True, repr=False)


def encode_configuration(
    configuration: Configuration, author: str
) -> EncodedConfiguration:
    """Return the manifest and segments of `configuration`.

    The same entries always give the same segments. The time of publication is not set.
    """
    writer = _SegmentWriter()
    fleet = SegmentContent(fleet=fleet_record(configuration.fleet))
    references = [writer.add("fleet", fleet)]
    counts = {}
    for kind in KINDS:
        buckets = _split_into_buckets(
            kind, _records_with_bucket_keys(kind, configuration)
        )
        counts[kind] = len(buckets)
        references += [
            writer.add(f"{kind}/{number}", bucket)
            for number, bucket in enumerate(buckets)
        ]
    if len(references) > MAX_DIRECT_REFERENCES:
        references = writer.add_indexes(references)
    manifest = Manifest(
        fleet=configuration.fleet.name,
        generation=configuration.generation,
        segments=references,
        workspace_buckets=counts["workspaces"],
        key_buckets=counts["keys"],
        author=author,
    )
    return EncodedConfiguration(manifest, writer.segments)


def missing_segments(manifest: Manifest, segments: Segments) -> list[bytes]:
    """Return the digests of segments that `manifest` refers to and `segments` lacks.

    The segments behind a missing index segment are not known yet, so a caller
    fetches the missing segments and calls again until nothing is missing.

    Raises
    ------
    ConfigurationError
        If the manifest or an index segment is invalid.
    """
    missing: dict[bytes, None] = {}
    for reference in _iterate_references(manifest, segments):
        if reference.sha256 not in segments:
            missing[reference.sha256] = None
    return list(missing)


def referenced_segments(manifest: Manifest, segments: Segments) -> set[bytes]:
    """Return the digests of all segments that `manifest` refers to."""
    return {reference.sha256 for reference in _iterate_references(manifest, segments)}


def decode_configuration(
    manifest: Manifest, segments: Segments, previous: Configuration | None = None
) -> Configuration:
    """Return the configuration of a manifest and its segments.

    Parameters
    ----------
    manifest : Manifest
        The manifest.
    segments : mapping of bytes to bytes
        Segments by digest. The configuration keeps those of workspaces and keys.
    previous : Configuration, default=None
        An earlier result; segments that both share are not verified again.

    Raises
    ------
    ConfigurationError
        If a segment is missing, has a wrong hash or is invalid.
    """
    reader = _SegmentReader(manifest, segments, previous)
    fleet = reader.fleet()
    services = reader.services()
    routes = reader.routes(services)
    workspaces = WorkspaceBuckets(reader.buckets("workspaces", _verify_workspaces))
    keys = KeyBuckets(reader.buckets("keys", _verify_keys), workspaces)
    return SegmentedConfiguration(
        generation=manifest.generation,
        fleet=fleet,
        services=services,
        routes=routes,
        workspaces=workspaces,
        digest_index=keys,
        verified=reader.verified,
    )


def bucket_number(entry: bytes, count: int) -> int:
    """Return which of `count` buckets holds an entry; `count` is a power of two."""
    return int.from_bytes(hashlib.sha256(entry).digest()[:4], "big") & (count - 1)


class WorkspaceBuckets(Mapping[str, Workspace]):
    """Mapping of names to workspaces that decodes a workspace when it is looked up.

    Parameters
    ----------
    contents : sequence of bytes
        Serialized buckets; their number is a power of two.
    """

    def __init__(self, contents: Sequence[bytes]) -> None:
        self.contents = contents
        # An unknown name raises KeyError, which lru_cache does not store, so lookups
        # of unknown names evict no workspaces.
        self.lookup = lru_cache(DECODED_CACHE_SIZE)(self._find)
        self.length: int | None = None

    def __getitem__(self, name: str) -> Workspace:
        return self.lookup(name)

    def __iter__(self) -> Iterator[str]:
        for content in self.contents:
            for record in _parse(content).workspaces:
                yield record.name

    def __len__(self) -> int:
        if self.length is None:
            self.length = sum(1 for _ in self)
        return self.length

    def values(self) -> "_WorkspaceValues":
        """Return the workspaces; an iteration decodes each bucket once."""
        return _WorkspaceValues(self)

    def _find(self, name: str) -> Workspace:
        number = bucket_number(
            name.encode("utf-8", "surrogatepass"), len(self.contents)
        )
        for record in _parse(self.contents[number]).workspaces:
            if record.name == name:
                return workspace_from_record(record)
        raise KeyError(name)


class _WorkspaceValues(Iterable[Workspace]):
    def __init__(self, buckets: WorkspaceBuckets) -> None:
        self.buckets = buckets

    def __iter__(self) -> Iterator[Workspace]:
        for content in self.buckets.contents:
            yield from map(workspace_from_record, _parse(content).workspaces)

    def __len__(self) -> int:
        return len(self.buckets)


class KeyBuckets(Mapping[bytes, Workspace]):
    """Mapping of key digests to workspaces that decodes a key when it is looked up.

    Parameters
    ----------
    contents : sequence of bytes
        Serialized buckets; their number is a power of two.
    workspaces : mapping of str to Workspace
        Workspaces by name.
    """

    def __init__(
        self, contents: Sequence[bytes], workspaces: Mapping[str, Workspace]
    ) -> None:
        self.contents = contents
        self.workspaces = workspaces
        self.lookup = lru_cache(DECODED_CACHE_SIZE)(self._find)

    def __getitem__(self, digest: bytes) -> Workspace:
        return self.lookup(digest)

    def __iter__(self) -> Iterator[bytes]:
        for content in self.contents:
            for record in _parse(content).keys:
                yield record.digest

    def __len__(self) -> int:
        return sum(1 for _ in self)

    def _find(self, digest: bytes) -> Workspace:
        number = bucket_number(digest, len(self.contents))
        for record in _parse(self.contents[number]).keys:
            if record.digest == digest:
                workspace = self.workspaces[record.workspace]
                # The digests in the workspace are authoritative: a key that was
                # withdrawn from it must be refused even if an outdated bucket of
                # keys still lists it.
                if digest in workspace.key_digests:
                    return workspace
        raise KeyError(digest)


class _SegmentWriter:
    def __init__(self) -> None:
        self.segments: dict[bytes, bytes] = {}

    def add(self, name: str, content: SegmentContent) -> SegmentReference:
        data = content.SerializeToString(deterministic=True)
        sha256 = hashlib.sha256(data).digest()
        self.segments[sha256] = data
        return SegmentReference(name=name, sha256=sha256, size_bytes=len(data))

    def add_indexes(self, references: list[SegmentReference]) -> list[SegmentReference]:
        groups = [
            references[start : start + MAX_DIRECT_REFERENCES]
            for start in range(0, len(references), MAX_DIRECT_REFERENCES)
        ]
        return [
            self.add(f"index/{number}", SegmentContent(references=group))
            for number, group in enumerate(groups)
        ]


def _records_with_bucket_keys(
    kind: str, configuration: Configuration
) -> Iterator[tuple[bytes, Any]]:
    """Yield the records of one kind, each with the bytes that select its bucket."""
    if kind == "services":
        for service in configuration.services.values():
            yield service.name.encode(), service_record(service)
    elif kind == "routes":
        for route in configuration.routes:
            yield route.prefix.encode(), route_record(route)
    elif kind == "workspaces":
        for workspace in configuration.workspaces.values():
            yield workspace.name.encode(), workspace_record(workspace)
    else:
        for workspace in configuration.workspaces.values():
            for digest in workspace.key_digests:
                yield digest, KeyRecord(digest=digest, workspace=workspace.name)


def _split_into_buckets(
    kind: str, records: Iterable[tuple[bytes, Any]]
) -> list[SegmentContent]:
    """Distribute records over buckets, whose number is a power of two.

    The number is doubled until each bucket is within the size limit.
    """
    ordered = sorted(records, key=lambda pair: pair[0])
    count = 1
    while count * ENTRIES_PER_BUCKET[kind] < len(ordered):
        count *= 2
    while True:
        contents = [SegmentContent() for _ in range(count)]
        for name, record in ordered:
            getattr(contents[bucket_number(name, count)], kind).append(record)
        if all(content.ByteSize() <= MAX_SEGMENT_BYTES for content in contents):
            return contents
        _refuse_large_records(kind, ordered)
        if count >= MAX_BUCKETS:
            raise ConfigurationError(
                f"the {kind} do not fit into {MAX_BUCKETS} segments"
            )
        count *= 2


def _refuse_large_records(kind: str, records: list[tuple[bytes, Any]]) -> None:
    for name, record in records:
        if record.ByteSize() > MAX_SEGMENT_BYTES // 2:
            raise ConfigurationError(
                f"{name.decode()!r} in {kind} takes {record.ByteSize()} bytes, more "
                f"than {MAX_SEGMENT_BYTES // 2}; divide it into several {kind}"
            )


def _iterate_references(
    manifest: Manifest, segments: Segments
) -> Iterator[SegmentReference]:
    """Yield all references, including those in the index segments in `segments`."""
    for reference in manifest.segments:
        _check_reference(reference)
        yield reference
        if not reference.name.startswith("index/"):
            continue
        content = segments.get(reference.sha256)
        if content is None:
            continue
        for inner in _parse(_verify_digest(reference, content)).references:
            _check_reference(inner)
            if inner.name.startswith("index/"):
                raise ConfigurationError(
                    "an index segment refers to another index segment"
                )
            yield inner


def _check_reference(reference: SegmentReference) -> None:
    if not is_digest(reference.sha256):
        raise ConfigurationError(f"segment {reference.name!r} has no valid digest")
    if reference.size_bytes > MAX_SEGMENT_BYTES:
        raise ConfigurationError(f"segment {reference.name!r} is too large")


def _verify_digest(reference: SegmentReference, content: bytes) -> bytes:
    if hashlib.sha256(content).digest() != reference.sha256:
        raise ConfigurationError(f"segment {reference.name!r} has a wrong hash")
    return content


def _parse(content: bytes) -> SegmentContent:
    try:
        return SegmentContent.FromString(content)
    except (DecodeError, ValueError) as error:
        raise ConfigurationError(f"a segment cannot be decoded: {error}") from None


class _SegmentReader:
    def __init__(
        self, manifest: Manifest, segments: Segments, previous: Configuration | None
    ) -> None:
        self.segments = segments
        self.previously_verified: _VerifiedSegments = {}
        if isinstance(previous, SegmentedConfiguration):
            self.previously_verified = previous.verified
        self.verified: _VerifiedSegments = {}
        self.references: dict[str, SegmentReference] = {}
        for reference in _iterate_references(manifest, segments):
            if self.references.setdefault(reference.name, reference) is not reference:
                raise ConfigurationError(
                    f"segment {reference.name!r} is referenced twice"
                )
        self.bucket_counts = _bucket_counts(self.references)
        stated = (manifest.workspace_buckets, manifest.key_buckets)
        if stated != (self.bucket_counts["workspaces"], self.bucket_counts["keys"]):
            raise ConfigurationError("the bucket counts of the manifest are wrong")

    def fleet(self) -> Any:
        if "fleet" not in self.references:
            raise ConfigurationError("the manifest has no fleet segment")
        _, (fleet,) = self._read_verified(
            "fleet", "", lambda found: [fleet_from_record(found.fleet)]
        )
        return fleet

    def services(self) -> dict[str, Service]:
        found = self._entries(
            "services", lambda content: content.services, service_from_record
        )
        return _unique("services", {each.name: each for each in found}, found)

    def routes(self, services: dict[str, Service]) -> tuple[Route, ...]:
        found = self._entries(
            "routes", lambda content: content.routes, route_from_record
        )
        for route in found:
            if any(name not in services for name in (route.service, *route.services())):
                raise ConfigurationError(
                    f"route {route.prefix!r} refers to an unknown service"
                )
        by_prefix = {route.prefix: route for route in found}
        return tuple(_unique("routes", by_prefix, found).values())

    def buckets(self, kind: str, verify: Callable[..., None]) -> list[bytes]:
        count = self.bucket_counts[kind]
        contents = []
        for number in range(count):

            def build(found: SegmentContent, number: int = number) -> tuple[Any, ...]:
                verify(found, number, count)
                return ()

            # Lookups search the bucket that the hash selects, so a bucket is valid only
            # at its own number. The position is part of what was verified.
            position = f"{kind}/{number} of {count}"
            contents.append(self._read_verified(f"{kind}/{number}", position, build)[0])
        return contents

    def _entries(
        self,
        kind: str,
        records: Callable[[SegmentContent], Iterable[Any]],
        convert: Callable[[Any], _Entry],
    ) -> list[_Entry]:
        def build(found: SegmentContent) -> Iterator[_Entry]:
            return map(convert, records(found))

        found: list[_Entry] = []
        for number in range(self.bucket_counts[kind]):
            found += self._read_verified(f"{kind}/{number}", kind, build)[1]
        return found

    def _read_verified(
        self,
        name: str,
        position: str,
        build: Callable[[SegmentContent], Iterable[Any]],
    ) -> tuple[bytes, tuple[Any, ...]]:
        """Return the content of a segment and the result of `build`.

        A segment that the previous configuration verified for the same position is
        not verified or built again.
        """
        reference = self.references[name]
        content = self.segments.get(reference.sha256)
        if content is None:
            raise ConfigurationError(f"segment {name!r} is missing")
        cache_key = reference.sha256 + position.encode()
        verified = self.previously_verified.get(cache_key)
        # The digest of this content was not computed yet, so it is compared with the
        # content that was verified under the same digest.
        if verified is None or verified[0] != content:
            found = _parse(_verify_digest(reference, content))
            verified = (content, tuple(build(found)))
        self.verified[cache_key] = verified
        return verified


def _bucket_counts(references: Mapping[str, SegmentReference]) -> dict[str, int]:
    counts = Counter(name.partition("/")[0] for name in references)
    for kind in KINDS:
        count = counts[kind]
        names = {f"{kind}/{number}" for number in range(count)}
        if count < 1 or count & (count - 1) or count > MAX_BUCKETS:
            raise ConfigurationError(
                f"{kind} have {count} buckets; the number must be a power of two "
                f"and at most {MAX_BUCKETS}"
            )
        if not names <= references.keys():
            raise ConfigurationError(f"a bucket of {kind} is missing")
    return counts


def _unique(
    kind: str, by_name: dict[str, _Entry], found: list[_Entry]
) -> dict[str, _Entry]:
    if len(by_name) < len(found):
        raise ConfigurationError(f"an entry of {kind} is present twice")
    return dict(sorted(by_name.items()))


def _verify_workspaces(content: SegmentContent, number: int, count: int) -> None:
    names = [workspace_from_record(record).name for record in content.workspaces]
    _verify_bucket_entries([name.encode() for name in names], number, count)


def _verify_keys(content: SegmentContent, number: int, count: int) -> None:
    digests = [record.digest for record in content.keys]
    if not all(map(is_digest, digests)):
        raise ConfigurationError("a key digest has a wrong length")
    _verify_bucket_entries(digests, number, count)


def _verify_bucket_entries(entries: list[bytes], number: int, count: int) -> None:
    if len(set(entries)) < len(entries):
        raise ConfigurationError("an entry is present twice in a bucket")
    if any(bucket_number(entry, count) != number for entry in entries):
        raise ConfigurationError("an entry is in the wrong bucket")
