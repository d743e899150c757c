import asyncio
import contextlib
import time

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from lacewinglift.errors import StoreRefusedError, StoreUnavailableError
from lacewinglift.store import Entry, Store
from lacewinglift.timers import ThreadTimers
from testing.standins.control import ControlServer, call_control
from testing.standins.store import MAX_VALUE_BYTES, StoreStandIn


@pytest.fixture
def timers():
    timers = ThreadTimers()
    yield timers
    timers.stop()


@pytest.fixture
def stand_in():
    stand_in = StoreStandIn()
    yield stand_in
    stand_in.close()


@pytest.fixture
def run_with_store(stand_in, timers):
    """Return a function that runs a coroutine function with a store client."""

    def use(scenario, timeout_s=0.4):
        async def run():
            store = Store(stand_in.address, timers, timeout_s)
            try:
                await asyncio.wait_for(scenario(store), 30)
            finally:
                store.close()

        asyncio.run(run())

    return use


@contextlib.asynccontextmanager
async def watching(store, key, from_revision=0):
    """Collect the entries of a watch in a queue."""
    entries = asyncio.Queue()
    watch = store.watch(key, from_revision)

    async def follow():
        async for entry in watch:
            entries.put_nowait(entry)

    task = asyncio.ensure_future(follow())
    try:
        yield watch, entries
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def next_value(entries, timeout_s=8):
    entry = await asyncio.wait_for(entries.get(), timeout_s)
    return entry.value


def test_get_of_absent_key_returns_none(run_with_store):
    """Guards against an error for a key that nobody has written yet."""

    async def scenario(store):
        assert_that(await store.get("absent"), Is(None))

    run_with_store(scenario)


def test_compare_and_swap_writes_only_on_matching_revision(run_with_store):
    """Guards against a lost update of two writers that read the same revision."""

    async def scenario(store):
        first = await store.compare_and_swap("k", b"one", 0)
        assert_that(await store.compare_and_swap("k", b"other", 0), Is(None))
        second = await store.compare_and_swap("k", b"two", first)
        assert_that(await store.compare_and_swap("k", b"late", first), Is(None))
        assert_that(await store.get("k"), Equals(Entry("k", b"two", second)))

    run_with_store(scenario)


def test_list_prefix_returns_only_keys_below_the_prefix(run_with_store, stand_in):
    """Guards against a range end that includes neighbouring keys."""
    for key in ("a/1", "a/2", "a", "a0", "b/1"):
        stand_in.put(key, key.encode())

    async def scenario(store):
        entries = await store.list_prefix("a/")
        assert_that([entry.key for entry in entries], Equals(["a/1", "a/2"]))

    run_with_store(scenario)


def test_value_above_limit_is_refused(run_with_store):
    """Guards against a refusal that is reported as an unknown outcome."""

    async def scenario(store):
        with pytest.raises(StoreRefusedError):
            await store.compare_and_swap("k", bytes(MAX_VALUE_BYTES + 1), 0)
        assert_that(await store.get("k"), Is(None))
        revision = await store.compare_and_swap("k", bytes(MAX_VALUE_BYTES), 0)
        assert_that(revision, GreaterThan(0))

    run_with_store(scenario, timeout_s=2.0)


def test_write_with_lost_reply_is_reported_as_unknown(run_with_store, stand_in):
    """Guards against a lost reply that is reported as a write that did not happen."""

    async def scenario(store):
        stand_in.lose_replies(1)
        with pytest.raises(StoreUnavailableError):
            await store.compare_and_swap("k", b"one", 0)
        entry = await store.get("k")
        assert_that(entry.value, Equals(b"one"))

    run_with_store(scenario)


@pytest.mark.parametrize("fault", ["outage", "freeze"])
def test_calls_end_at_the_deadline_and_work_after_the_fault(
    run_with_store, stand_in, fault
):
    """Guards against a call that never ends, and a client that does not recover."""

    async def scenario(store):
        await store.compare_and_swap("k", b"one", 0)
        getattr(stand_in, fault)()
        started = time.monotonic()
        with pytest.raises(StoreUnavailableError):
            await store.get("k")
        assert_that(time.monotonic() - started, LessThan(1.0))
        stand_in.restore()
        assert_that((await store.get("k")).value, Equals(b"one"))

    run_with_store(scenario)


def test_new_connection_is_used_after_a_connection_went_silent(
    run_with_store, stand_in
):
    """Guards against a client that keeps using a dead connection."""

    async def scenario(store):
        stand_in.put("k", b"one")
        await store.get("k")
        stand_in.silence()
        with pytest.raises(StoreUnavailableError):
            await store.get("k")
        assert_that((await store.get("k")).value, Equals(b"one"))

    run_with_store(scenario)


def test_delay_above_the_deadline_is_unavailable(run_with_store, stand_in):
    """Guards against a deadline that does not cover a slow store."""

    async def scenario(store):
        stand_in.slow(2000)
        with pytest.raises(StoreUnavailableError):
            await store.get("k")

    run_with_store(scenario)


def test_watch_yields_current_value_and_then_changes(run_with_store, stand_in):
    """Guards against a watch that skips the value it starts from."""
    stand_in.put("k", b"one")

    async def scenario(store):
        async with watching(store, "k") as (_, entries):
            assert_that(await next_value(entries), Equals(b"one"))
            stand_in.put("other", b"x")
            stand_in.put("k", b"two")
            assert_that(await next_value(entries), Equals(b"two"))
            stand_in.delete("k")
            assert_that((await entries.get()).deleted, Is(True))

    run_with_store(scenario)


def test_watch_from_revision_leaves_out_older_values(run_with_store, stand_in):
    """Guards against an old value that is yielded as a change."""
    revision = stand_in.put("k", b"one")

    async def scenario(store):
        async with watching(store, "k", revision + 1) as (_, entries):
            await asyncio.sleep(0.3)
            stand_in.put("k", b"two")
            assert_that(await next_value(entries), Equals(b"two"))

    run_with_store(scenario)


@pytest.mark.parametrize("fault", ["outage", "freeze", "silence"])
def test_watch_misses_no_change_across_a_reopen(run_with_store, stand_in, fault):
    """Guards against changes that are lost while a watch is interrupted."""
    stand_in.put("k", b"0")

    async def scenario(store):
        async with watching(store, "k") as (watch, entries):
            assert_that(await next_value(entries), Equals(b"0"))
            getattr(stand_in, fault)()
            for number in range(1, 4):
                stand_in.put("k", str(number).encode())
            if fault != "silence":
                await asyncio.sleep(1.0)
                stand_in.restore()
            seen = [await next_value(entries) for _ in range(3)]
            assert_that(seen, Equals([b"1", b"2", b"3"]))
            assert_that(watch.reopen_count, GreaterThan(0))

    run_with_store(scenario)


def test_watch_reads_again_when_history_was_compacted(run_with_store, stand_in):
    """Guards against a watch that ends if history is compacted during an outage."""
    stand_in.put("k", b"0")

    async def scenario(store):
        async with watching(store, "k") as (_, entries):
            await next_value(entries)
            stand_in.outage()
            stand_in.put("k", b"1")
            stand_in.put("k", b"2")
            stand_in.compact()
            stand_in.restore()
            assert_that(await next_value(entries), Equals(b"2"))
            stand_in.put("k", b"3")
            assert_that(await next_value(entries), Equals(b"3"))

    run_with_store(scenario)


def test_watch_confirms_that_its_value_is_current(run_with_store, stand_in, timers):
    """Guards against standing that is lost while the store answers the watch."""
    stand_in.put("k", b"0")

    async def scenario(store):
        async with watching(store, "k") as (watch, entries):
            await next_value(entries)
            await asyncio.sleep(2.6)
            assert_that(timers.now() - watch.confirmed_at_s, LessThan(2.0))
            stand_in.silence()
            confirmed = watch.confirmed_at_s
            await asyncio.sleep(2.0)
            assert_that(watch.confirmed_at_s, Equals(confirmed))
            assert_that(store.last_contact_at_s, Equals(confirmed))

    run_with_store(scenario)


def test_close_ends_watches(run_with_store, stand_in):
    """Guards against a shutdown that waits for a watch."""
    stand_in.put("k", b"0")

    async def scenario(store):
        seen = []

        async def follow():
            async for entry in store.watch("k"):
                seen.append(entry.value)

        task = asyncio.ensure_future(follow())
        await asyncio.sleep(0.3)
        store.close()
        await asyncio.wait_for(task, 2)
        assert_that(seen, Equals([b"0"]))

    run_with_store(scenario)


def test_calls_are_counted_by_kind(run_with_store, stand_in):
    """Guards against calls to the store that the metrics do not count."""

    async def scenario(store):
        await store.get("k")
        await store.list_prefix("k")
        await store.compare_and_swap("k", b"one", 0)
        async with watching(store, "k") as (_, entries):
            await next_value(entries)
            await asyncio.sleep(0.2)
            assert_that(stand_in.calls()["waiting_watches"], Equals(1))
        assert_that(store.call_counts.reads, Equals(3))
        assert_that(store.call_counts.writes, Equals(1))
        assert_that(store.call_counts.watches, Equals(1))
        stand_in.outage()
        with pytest.raises(StoreUnavailableError):
            await store.get("k")
        assert_that(store.call_counts.unavailable, Equals(1))

    run_with_store(scenario)


@pytest.mark.parametrize("kind,limit", [("write", 400), ("read", 2000)])
def test_stand_in_refuses_calls_above_its_limit(run_with_store, stand_in, kind, limit):
    """Guards against tests that would overload the platform's store unnoticed."""
    second = [0.0]
    stand_in.service.counter.now = lambda: second[0]

    async def scenario(store):
        async def call(number):
            if kind == "read":
                await store.get("k")
            else:
                await store.compare_and_swap(f"k/{number}", b"x", 0)

        for number in range(limit):
            await call(number)
        with pytest.raises(StoreRefusedError):
            await call(limit)
        assert_that(stand_in.values().get(f"k/{limit}"), Is(None))
        second[0] = 1.0
        await call(limit)

    run_with_store(scenario, timeout_s=5.0)


def test_stand_in_obeys_its_control_port(stand_in):
    """Guards against fault commands that other processes cannot run."""
    control = ControlServer(stand_in.commands())
    try:
        call_control(control.address, "slow", delay_ms=250)
        assert_that(stand_in.service.faults.delay_s, Equals(0.25))
        assert_that(call_control(control.address, "calls")["writes"], Equals(0))
        with pytest.raises(ValueError, match="unknown command"):
            call_control(control.address, "explode")
    finally:
        control.close()
