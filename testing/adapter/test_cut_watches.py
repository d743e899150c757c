"""A store that cuts the watches that wait, and answers all other calls."""

import time

import pytest
from adapter.store_client import PlatformStoreClient
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from lacewinglift.kv import WatchCutError
from testing.adapter.watching_observer import make_entry
from testing.standins.platform_store import PlatformStoreStandIn

CUT_INTERVAL_S = 0.3
# The users allow requests for 2 s after the removal, of which spreading takes some.
MAX_KNOWN_S = 1.0


def cut_watches_for(watching, duration_s):
    """Cut all watches again and again; remove targets as an instance does."""
    ends_at_s = time.monotonic() + duration_s
    while time.monotonic() < ends_at_s:
        watching.store.cut_watches()
        time.sleep(CUT_INTERVAL_S)
        watching.registry.remove_expired()


def test_removed_target_is_forgotten_while_watches_are_cut(watching):
    """Guards against requests to a target that has left, for as long as cuts go on.

    A cut watch is no outage of the store, in which the entry may have expired.
    """
    cut_watches_for(watching, 3 * CUT_INTERVAL_S)
    watching.store.remove("servers/old")
    cut_watches_for(watching, MAX_KNOWN_S)
    assert_that(watching.registry.targets, Not(Contains("old")))


def test_changes_arrive_while_watches_are_cut(watching):
    """Guards against a watch that ends for good when it is cut."""
    cut_watches_for(watching, 2 * CUT_INTERVAL_S)
    watching.store.put("servers/new", make_entry())
    cut_watches_for(watching, MAX_KNOWN_S)
    assert_that(watching.registry.targets, Contains("new"))


def test_cut_watch_is_no_lost_contact(watching):
    """Guards against further observers for each cut, which all read the whole store."""
    changes = []
    watching.observer.contact.on_change = lambda: changes.append(1)
    cut_watches_for(watching, 3 * CUT_INTERVAL_S)
    assert_that(changes, Equals([]))


@pytest.mark.parametrize("kind", ["watch", "list"])
def test_only_a_closed_watch_counts_as_cut(kind):
    """Guards against lost contact that is taken for a cut, when no call is answered."""
    store = PlatformStoreStandIn()
    client = PlatformStoreClient(store.address)
    store.close()
    calls = {
        "watch": lambda: client.watch("servers/", 100, 1.0),
        "list": lambda: client.list("servers/"),
    }
    with pytest.raises(Exception) as caught:
        calls[kind]()
    assert not isinstance(caught.value, WatchCutError)
