"""Encoding of several heartbeats in one datagram."""

import zlib
from collections.abc import Iterable, Iterator

from lacewinglift.errors import LacewingliftError
from lacewinglift.generated import beats_pb2

# Heartbeats in one datagram, before compression. The parts of a longer IP packet are
# all lost if one is.
MAX_BATCH_BYTES = 24_000
# Bound of what a received datagram may expand to.
MAX_RECEIVED_BATCH_BYTES = 1_000_000
COMPRESSION_LEVEL = 6


class BundleError(LacewingliftError):
    """A bundle that cannot be read."""

    code = "bundle_invalid"


def pack(
    bundle: beats_pb2.HeartbeatBundle, heartbeats: Iterable[beats_pb2.Beat]
) -> list[beats_pb2.Beat]:
    """Return datagrams with the heartbeats, each like `bundle` otherwise."""
    datagrams = []
    for batch in _split(heartbeats):
        datagram = beats_pb2.Beat(bundle=bundle)
        datagram.bundle.batch = zlib.compress(
            batch.SerializeToString(), COMPRESSION_LEVEL
        )
        datagrams.append(datagram)
    return datagrams


def _split(heartbeats: Iterable[beats_pb2.Beat]) -> Iterator[beats_pb2.HeartbeatBatch]:
    batch = beats_pb2.HeartbeatBatch()
    size = 0
    for heartbeat in heartbeats:
        added = heartbeat.ByteSize()
        if batch.heartbeats and size + added > MAX_BATCH_BYTES:
            yield batch
            batch = beats_pb2.HeartbeatBatch()
            size = 0
        batch.heartbeats.append(heartbeat)
        size += added
    if batch.heartbeats:
        yield batch


def unpack(bundle: beats_pb2.HeartbeatBundle) -> list[beats_pb2.Beat]:
    """Return the heartbeats in a bundle; raises BundleError."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(bundle.batch, MAX_RECEIVED_BATCH_BYTES)
    except zlib.error as error:
        raise BundleError(str(error)) from error
    if not decompressor.eof:
        raise BundleError("too long or cut off")
    return list(beats_pb2.HeartbeatBatch.FromString(data).heartbeats)
