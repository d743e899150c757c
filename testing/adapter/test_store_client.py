import socket
import threading
import time

import pytest
from adapter.store_client import PlatformStoreClient
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, HasLength, LessThan

from lacewinglift.errors import StoreRefusedError, StoreUnavailableError
from lacewinglift.kv import Change, HistoryLostError
from testing.standins.platform_store import PlatformStoreStandIn

# The users count an instance as in touch again 3 s after its connections went silent;
# one second is left to read the store and to spread a change.
MAX_SILENT_S = 2.0


@pytest.fixture
def store():
    store = PlatformStoreStandIn()
    yield store
    store.close()


@pytest.fixture
def client(store):
    client = PlatformStoreClient(store.address)
    yield client
    client.close()


def test_listing_reads_all_pages(store, client):
    """Guards against targets that are lost because only the first page is read."""
    store.page_size = 2
    for number in range(5):
        store.put(f"servers/{number}", b"x")
    listing = client.list("servers/")
    assert_that(listing.items, HasLength(5))
    assert_that(listing.revision, Equals(105))


def test_watch_returns_writes_and_removals(store, client):
    """Guards against a removal that is decoded as a write."""
    store.put("servers/a", b"one")
    store.remove("servers/a")
    found = client.watch("servers/", 100, 1.0)
    changes = (Change("servers/a", b"one", 101), Change("servers/a", None, 102))
    assert_that(found.changes, Equals(changes))
    assert_that(found.revision, Equals(102))


def test_watch_waits_up_to_its_wait_time(store, client):
    """Guards against a client timeout that ends every watch after one second."""
    started_s = time.monotonic()
    threading.Timer(1.5, store.put, ("servers/a", b"x")).start()
    found = client.watch("servers/", 100, 5.0)
    assert_that(found.changes, HasLength(1))
    assert_that(time.monotonic() - started_s, GreaterThan(1.4))


def test_silent_watch_is_closed_while_it_waits(store, client):
    """Guards against changes that an observer misses on a connection gone silent.

    Such a connection is not reset, and new ones work. The kernel closes it when its
    probes are not acknowledged, long before the watch call ends.
    """
    client.list("servers/")
    connection = client.pool.pool.get(timeout=1.0)
    options = {
        name: connection.sock.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
        for name in ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT", "TCP_USER_TIMEOUT")
    }
    probes_s = options["TCP_KEEPINTVL"] * options["TCP_KEEPCNT"]
    assert connection.sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    assert_that(options["TCP_KEEPIDLE"] + probes_s, LessThan(MAX_SILENT_S + 0.1))
    assert_that(options["TCP_USER_TIMEOUT"], LessThan(MAX_SILENT_S * 1000 + 1))


def test_lost_history_raises_its_own_error(store, client):
    """Guards against a watch that continues although it has missed changes."""
    store.put("servers/a", b"x")
    store.forget_history()
    with pytest.raises(HistoryLostError):
        client.watch("servers/", 100, 1.0)


@pytest.mark.parametrize("status", [429, 503])
def test_refused_call_raises_store_refused(store, client, status):
    """Guards against a refused write whose outcome is treated as unknown."""
    store.forced_status = status
    with pytest.raises(StoreRefusedError):
        client.list("servers/")


def test_unresponsive_store_times_out(store, client):
    """Guards against a call that waits without limit for an unresponsive store."""
    store.unresponsive = True
    with pytest.raises(StoreUnavailableError):
        client.list("servers/")


def test_lost_reply_leaves_the_write_outcome_unknown(store, client):
    """Guards against a timed-out write that is assumed not to take effect.

    The store applies the write after the client has given up the call.
    """
    store.lost_replies_left = 1
    store.lost_reply_write_delay_s = 0.2
    with pytest.raises(StoreUnavailableError):
        client.put_with_lease("lacewinglift/instances/a", b"x", 60.0)
    time.sleep(0.5)
    assert_that(store.entries, Contains("lacewinglift/instances/a"))


def test_lease_is_renewed_until_it_ends(store, client):
    """Guards against an instance that treats an expired lease as valid."""
    lease = client.put_with_lease("lacewinglift/instances/a", b"x", 60.0)
    assert client.renew_lease(lease)
    store.leases.clear()
    assert not client.renew_lease(lease)
