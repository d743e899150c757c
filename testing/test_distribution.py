import asyncio

import pytest

from lacewinglift.configuration import Configuration, Fleet, Workspace, digest_key
from lacewinglift.distribution import Distribution, segment_key
from lacewinglift.generated.fleet_pb2 import FetchConfigurationRequest
from lacewinglift.segments import encode_configuration
from testing.memory_store import MemoryStore


class DirectPeerClient:
    """Peer client whose calls are answered by another `Distribution`."""

    def __init__(self, distribution):
        self.distribution = distribution

    async def call(self, address, method, request, timeout_s):
        assert method == "FetchConfiguration"
        sent = FetchConfigurationRequest.FromString(request.SerializeToString())
        return self.distribution.build_reply(sent)


def encode_generation(generation, workspaces, rate_per_s=1.0):
    tenants = {
        f"w{number}": Workspace(
            f"w{number}", rate_per_s, 1, (digest_key(f"k{number}"),)
        )
        for number in range(workspaces)
    }
    configuration = Configuration(generation, Fleet("f"), {}, (), tenants)
    return encode_configuration(configuration, "ann")


def has_keys(distribution, workspaces):
    configuration = distribution.current()
    return configuration is not None and all(
        configuration.workspace_for_digest(digest_key(f"k{number}"))
        for number in range(0, workspaces, 37)
    )


@pytest.mark.parametrize("workspaces", [3, 5000])
def test_generation_is_fetched_from_store_and_peer(workspaces):
    """Guards against segments that are never fetched if only an index names them."""
    encoded = encode_generation(1, workspaces)
    store = MemoryStore()
    for sha256, content in encoded.segments.items():
        store.put(segment_key("f", sha256), content)
    first = Distribution("f", None)
    second = Distribution("f", DirectPeerClient(first))
    value = encoded.manifest.SerializeToString()

    async def scenario():
        assert await first.fetch_from_store(store, value)
        assert await second.fetch_from_peer("peer", 1)

    asyncio.run(scenario())
    assert has_keys(first, workspaces)
    assert has_keys(second, workspaces)
    assert second.segments == encoded.segments


def test_wrong_content_of_a_known_segment_does_not_invalidate_an_offer():
    """Guards against an offer with wrong content that blocks a newer generation."""
    old, new = encode_generation(1, 3), encode_generation(2, 3, rate_per_s=2.0)
    distribution = Distribution("f", None)
    asyncio.run(distribution.offer(old.manifest, old.segments))
    offered = {**dict.fromkeys(old.segments, b"wrong"), **new.segments}
    known = old.segments.keys() & new.segments.keys()
    offered |= dict.fromkeys(known, b"wrong")
    assert known
    asyncio.run(distribution.offer(new.manifest, offered))
    assert distribution.generation() == 2
