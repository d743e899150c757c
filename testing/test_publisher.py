import asyncio
import json

import attrs
import pytest
from grpclib.server import Server
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lacewinglift import publisher as publisher_module
from lacewinglift import rollout as rollout_module
from lacewinglift.configuration import Configuration, Fleet, Route, Service, Workspace
from lacewinglift.distribution import manifest_key, parse_manifest, segment_key
from lacewinglift.errors import (
    ConfigurationError,
    PublishConflictError,
    StoreUnavailableError,
)
from lacewinglift.generated.fleet_grpc import PeerBase
from lacewinglift.generated.fleet_pb2 import (
    LEAVING,
    LIVE,
    STARTING,
    GetStatusReply,
    InstanceStatus,
    Ledger,
    Manifest,
    OfferConfigurationReply,
)
from lacewinglift.publisher import Publisher
from lacewinglift.segments import decode_configuration, missing_segments
from lacewinglift.timers import ThreadTimers
from testing.memory_store import MemoryStore

KEY = manifest_key("f")


@pytest.fixture
def timers():
    timers = ThreadTimers()
    yield timers
    timers.stop()


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    monkeypatch.setattr(publisher_module, "RETRY_DELAY_S", 0.001)
    monkeypatch.setattr(publisher_module, "WRITE_INTERVAL_S", 0.0)
    monkeypatch.setattr(rollout_module, "POLL_INTERVAL_S", 0.01)


def make_configuration(**rates):
    workspaces = {
        f"w{number}": Workspace(f"w{number}", rates.get(f"w{number}", 1.0), 5)
        for number in range(8)
    }
    services = {"s": Service("s", ())}
    routes = (Route("/a", "s"), Route("/b", "s"))
    return Configuration(0, Fleet("f"), services, routes, workspaces)


def publish(store, timers, configuration, author="ann", addresses=(), **options):
    publisher = Publisher(store, "f", addresses, timers)
    return publisher.publish(
        configuration, author, options.pop("wait_s", 0.0), **options
    )


def stored(store):
    """Return the configuration that instances would read from the store."""
    manifest = parse_manifest(store.entries[KEY].value)
    segments = {}
    while missing := missing_segments(manifest, segments):
        for sha256 in missing:
            segments[sha256] = store.entries[segment_key("f", sha256)].value
    return decode_configuration(manifest, segments)


def test_segments_are_written_before_the_manifest(timers):
    """Guards against a manifest that refers to segments not yet in the store."""
    store = MemoryStore()
    report = asyncio.run(publish(store, timers, make_configuration()))
    assert report.generation == 1
    assert store.writes[-1] == KEY
    assert len(store.writes) == 6
    again = asyncio.run(publish(store, timers, make_configuration(w3=2.0)))
    assert again.generation == 2
    assert len(store.writes) == 8
    assert again.changes.workspaces == ("w3",)
    assert stored(store).workspaces["w3"].rate_per_s == 2.0


def test_unchanged_configuration_gets_no_new_generation(timers):
    """Guards against a new generation if an operator publishes again just to wait."""
    store = MemoryStore()
    asyncio.run(publish(store, timers, make_configuration()))
    report = asyncio.run(publish(store, timers, make_configuration(), "bob"))
    assert report.unchanged
    assert report.generation == 1
    assert store.writes.count(KEY) == 1


@pytest.mark.parametrize("lost", ["lost_replies", "lost_requests"])
def test_lost_reply_is_resolved_by_reading(timers, lost):
    """Guards against a false report of failure or a second write after a lost reply."""
    store = MemoryStore(**{lost: 1})
    report = asyncio.run(publish(store, timers, make_configuration()))
    assert report.generation == 1
    assert store.writes.count(KEY) == 1


def test_conflict_reports_the_changes_of_the_other_publication(timers):
    """Guards against overwriting the changes of another operator unnoticed."""
    store = MemoryStore()
    asyncio.run(publish(store, timers, make_configuration()))
    other = attrs.evolve(
        make_configuration(w5=9.0), routes=(Route("/a", "s", open=True),)
    )

    async def publish_first(key):
        await publish(store, timers, other, "bob")

    store.before_write = publish_first
    with pytest.raises(PublishConflictError) as caught:
        asyncio.run(publish(store, timers, make_configuration(w1=3.0)))
    assert caught.value.generation == 2
    for part in ("'bob'", "generation 2", "routes /a, /b", "workspaces w5"):
        assert part in str(caught.value)
    assert stored(store).workspaces["w1"].rate_per_s == 1.0


def test_publication_by_the_same_author_is_a_conflict(timers):
    """Guards against treating a publication by the same author as the own one."""
    store = MemoryStore(lost_requests=1)

    async def publish_first(key):
        store.lost_requests = 0
        await publish(store, timers, make_configuration(w2=4.0))
        store.lost_requests = 1

    store.before_write = publish_first
    with pytest.raises(PublishConflictError):
        asyncio.run(publish(store, timers, make_configuration(w1=3.0)))
    assert stored(store).workspaces["w2"].rate_per_s == 4.0


def test_expected_generation_is_compared(timers):
    """Guards against publishing files older than the configuration in force."""
    store = MemoryStore()
    configuration = make_configuration()
    with pytest.raises(PublishConflictError, match="no configuration was published"):
        asyncio.run(publish(store, timers, configuration, expected_generation=4))
    asyncio.run(publish(store, timers, configuration, expected_generation=0))
    with pytest.raises(PublishConflictError, match="expected 0"):
        asyncio.run(publish(store, timers, configuration, expected_generation=0))


def test_store_that_is_down_publishes_nothing(timers):
    """Guards against reporting success while the store is unavailable."""
    store = MemoryStore(down=True)
    with pytest.raises(StoreUnavailableError, match="nothing was published"):
        asyncio.run(publish(store, timers, make_configuration()))


def test_unknown_outcome_is_reported(timers):
    """Guards against reporting that nothing was published if the outcome is unknown."""
    store = MemoryStore(lost_replies=1, down_after_lost_reply=True)
    with pytest.raises(StoreUnavailableError, match="may have been accepted"):
        asyncio.run(publish(store, timers, make_configuration()))
    store.down = False
    report = asyncio.run(publish(store, timers, make_configuration()))
    assert report.unchanged
    assert report.generation == 1


@pytest.mark.parametrize(
    ("value", "message"),
    [
        (b"\xff\xff", "cannot be read"),
        (Manifest(fleet="g").SerializeToString(), "check the store address"),
    ],
)
def test_foreign_manifest_is_not_replaced(timers, value, message):
    """Guards against overwriting data of another fleet after a wrong store address."""
    store = MemoryStore()
    store.put(KEY, value)
    with pytest.raises(ConfigurationError, match=message):
        asyncio.run(publish(store, timers, make_configuration()))


class Instance(PeerBase):
    """Fake instance that applies an offer after `delay` further status calls."""

    def __init__(self, name, delay=0, peers=()):
        self.name = name
        self.delay = delay
        self.peers = list(peers)
        self.generation = 0
        self.offered = None
        self.state = LIVE

    def status(self):
        if self.offered is not None:
            self.delay -= 1
            if self.delay < 0:
                self.generation = self.offered
        return InstanceStatus(
            instance=self.name,
            incarnation=1,
            state=self.state,
            generation=self.generation,
        )

    async def OfferConfiguration(self, stream):
        request = await stream.recv_message()
        assert request.segments
        self.offered = request.manifest.generation
        await stream.send_message(OfferConfigurationReply(generation=0))

    async def GetStatus(self, stream):
        await stream.recv_message()
        own = self.status()
        peers = [peer.status() for peer in self.peers]
        reply = GetStatusReply(peers=peers)
        reply.self.CopyFrom(own)
        await stream.send_message(reply)

    async def Exchange(self, stream):
        raise NotImplementedError

    FetchConfiguration = FetchLedger = Borrow = GetDump = Exchange


def run_with_instances(instances, scenario):
    """Run `scenario(addresses)` while the instances serve."""

    async def run():
        servers = [Server([instance]) for instance in instances]
        addresses = []
        for server in servers:
            await server.start("127.0.0.1", 0)
            port = server._server.sockets[0].getsockname()[1]
            addresses.append(f"127.0.0.1:{port}")
        try:
            return await scenario(addresses)
        finally:
            for server in servers:
                server.close()
                await server.wait_closed()

    return asyncio.run(run())


def list_instance(store, name, address, state="live"):
    value = {"peer_address": address, "state": state}
    store.put(f"platform/instances/{name}", json.dumps(value).encode())


@pytest.mark.parametrize("state", [STARTING, LIVE])
def test_publication_waits_until_all_instances_have_it(timers, state):
    """Guards against success while an instance still accepts a withdrawn key."""
    store = MemoryStore()
    instances = [Instance("i1", delay=3), Instance("i2", delay=1)]
    instances[0].state = state

    async def scenario(addresses):
        list_instance(store, "i2", addresses[1])
        return await publish(
            store, timers, make_configuration(), addresses=addresses[:1], wait_s=5.0
        )

    report = run_with_instances(instances, scenario)
    assert report.in_force == ["i1", "i2"]
    assert report.missing == []


def test_instances_are_reported_missing_if_the_store_fails_after_acceptance(timers):
    """Guards against success if the instance list is unreadable after the write."""
    store = MemoryStore()
    deaf, good = Instance("deaf", delay=1000), Instance("good")

    async def scenario(addresses):
        list_instance(store, "deaf", addresses[0])
        list_instance(store, "good", addresses[1])
        store.down_after_write = True
        return await publish(store, timers, make_configuration(), wait_s=0.2)

    report = run_with_instances([deaf, good], scenario)
    assert (report.in_force, report.missing) == (["good"], ["deaf"])


def test_unreadable_instance_list_is_no_success(timers):
    """Guards against success if no instance could be queried."""
    store = MemoryStore()

    async def list_prefix(prefix):
        raise StoreUnavailableError("down")

    store.list_prefix = list_prefix
    report = asyncio.run(publish(store, timers, make_configuration()))
    assert report.missing == [rollout_module.UNKNOWN_INSTANCES]


def test_ledger_members_are_queried_if_the_instance_list_lags(timers):
    """Guards against success before the platform lists the instances of a new fleet."""
    store = MemoryStore()
    deaf = Instance("deaf", delay=1000)

    async def scenario(addresses):
        ledger = Ledger(version=1)
        ledger.members.add(instance="deaf", peer_address=addresses[0])
        ledger.members.add(instance="gone", peer_address="127.0.0.1:1")
        store.put("/lacewinglift/f/cells/main/ledger", ledger.SerializeToString())
        return await publish(store, timers, make_configuration(), wait_s=0.2)

    report = run_with_instances([deaf], scenario)
    assert (report.in_force, report.missing) == ([], ["deaf"])


def test_missing_instances_are_reported(timers):
    """Guards against not reporting an instance that keeps the old configuration."""
    store = MemoryStore()
    deaf = Instance("deaf")
    leaving = Instance("leaving")
    leaving.state = LEAVING
    instances = [Instance("i1", peers=[deaf, leaving])]

    async def scenario(addresses):
        list_instance(store, "gone", "127.0.0.1:1")
        list_instance(store, "left", "127.0.0.1:1", "leaving")
        peers = [addresses[0], "127.0.0.1:2"]
        return await publish(
            store, timers, make_configuration(), addresses=peers, wait_s=0.2
        )

    report = run_with_instances(instances, scenario)
    assert report.in_force == ["i1"]
    assert report.missing == ["127.0.0.1:2", "deaf", "gone"]


@attrs.define(eq=False)
class FaultyStore(MemoryStore):
    """Store whose manifest operations have the given outcomes.

    Delayed writes are applied by a later operation.
    """

    outcomes: list = attrs.field(factory=list)
    delayed: list = attrs.field(factory=list)
    history: list = attrs.field(factory=list)

    async def get(self, key):
        await asyncio.sleep(0)
        await self.apply_delayed_write()
        if key == KEY and self.next_outcome() == "unread":
            raise StoreUnavailableError("lost read")
        return await super().get(key)

    async def compare_and_swap(self, key, value, expected_revision):
        await asyncio.sleep(0)
        if key != KEY:
            return await super().compare_and_swap(key, value, expected_revision)
        outcome = self.next_outcome()
        if outcome == "lost":
            raise StoreUnavailableError("lost request")
        if outcome == "delayed":
            self.delayed.append((value, expected_revision))
            raise StoreUnavailableError("late request")
        written = await self.write(value, expected_revision)
        await asyncio.sleep(0)
        if outcome == "unanswered":
            raise StoreUnavailableError("lost reply")
        return written

    async def write(self, value, expected_revision):
        written = await super().compare_and_swap(KEY, value, expected_revision)
        if written is not None:
            self.history.append(parse_manifest(value))
        return written

    async def apply_delayed_write(self):
        if self.delayed and self.next_outcome() != "lost":
            await self.write(*self.delayed.pop(0))

    def next_outcome(self):
        return self.outcomes.pop(0) if self.outcomes else "ok"


OUTCOMES = st.sampled_from(["ok", "lost", "delayed", "unanswered", "unread"])


@settings(
    max_examples=200,
    deadline=None,
    suppress_health_check=[HealthCheck.function_scoped_fixture],
)
@given(
    outcomes=st.lists(OUTCOMES, max_size=24),
    rounds=st.lists(
        st.lists(st.integers(0, 40), min_size=1, max_size=3), min_size=1, max_size=3
    ),
)
def test_reports_match_the_write_history_of_the_store(timers, outcomes, rounds):
    """Guards against reporting a wrong outcome of a publication."""
    store = FaultyStore(outcomes=list(outcomes))
    results = []

    async def operate(author, rate, delay):
        for _ in range(delay):
            await asyncio.sleep(0)
        try:
            configuration = make_configuration(w1=rate)
            report = await publish(store, timers, configuration, author)
            results.append((author, report.generation))
        except (PublishConflictError, StoreUnavailableError) as error:
            results.append((author, str(error)))

    async def scenario():
        for number, delays in enumerate(rounds):
            await asyncio.gather(
                *(
                    operate(f"{number}-{each}", 2.0 + 10 * number + each, delay)
                    for each, delay in enumerate(delays)
                )
            )
        while store.delayed:
            await store.apply_delayed_write()

    asyncio.run(scenario())
    generations = [manifest.generation for manifest in store.history]
    assert generations == list(range(1, len(generations) + 1))
    accepted = {each.author: each.generation for each in store.history}
    for author, result in results:
        if isinstance(result, int):
            assert accepted.get(author) == result, (author, results)
        elif "may have been" not in result:
            assert author not in accepted, (author, result)
