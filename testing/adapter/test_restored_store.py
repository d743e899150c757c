"""A store that comes back from a copy some seconds old."""

import math

import pytest
from adapter.store_client import PlatformStoreClient
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from lacewinglift.mesh import observers
from testing.adapter.watching_observer import LOST_WRITES, make_entry
from testing.standins.proxy_harness import wait_until


def fill_up(count):
    """Return writes that give out revisions again, and concern nobody."""
    return [(f"other/{number}", {}) for number in range(count)]


def test_watch_misses_no_target_of_the_new_history(watching):
    """Guards against a watch that goes on from a revision that was given out again.

    The new target is written at a revision that the watch has already passed.
    """
    copy = watching.lose_writes()
    rewritten = [("servers/new", make_entry()), *fill_up(2 * LOST_WRITES)]
    watching.store.restore(copy, rewritten)
    assert wait_until(lambda: "new" in watching.registry.targets)


def test_watch_misses_no_configuration_of_the_new_history(watching):
    """Guards against a version that stays unknown since its revision is not new."""
    copy = watching.lose_writes()
    for _ in range(LOST_WRITES):
        watching.store.put("op/config", b"lost")
    assert wait_until(lambda: watching.configurations.count(b"lost") == LOST_WRITES)
    rewritten = [("op/config", {"later": True}), *fill_up(4 * LOST_WRITES)]
    watching.store.restore(copy, rewritten)
    watching.store.put("servers/old", make_entry(sequence=2))
    assert wait_until(lambda: b'{"later": true}' in watching.configurations)


def test_evacuations_come_with_the_watch_of_the_configuration(watching):
    """Guards against further store calls, and against a key that a restore hides.

    The value of the key is not read.
    """
    evacuations = watching.observer.evacuations
    watching.store.put("op/evacuate/torino", {})
    watching.store.put("op/evacuate/", {})
    assert wait_until(lambda: evacuations.data_centres == {"torino"})
    copy = watching.store.copy()
    watching.store.put("op/evacuate/milano", [1])
    assert wait_until(lambda: len(evacuations.data_centres) == 2)
    watching.store.restore(copy, fill_up(3))
    watching.store.put("servers/old", make_entry(sequence=2))
    assert wait_until(lambda: evacuations.data_centres == {"torino"})
    watching.store.remove("op/evacuate/torino")
    assert wait_until(lambda: not evacuations.data_centres)
    watching.store.put("op/config", b"second")
    assert wait_until(lambda: b"second" in watching.configurations)


@pytest.mark.parametrize("following", [0, 2 * LOST_WRITES])
def test_target_that_the_restored_store_lacks_is_kept_until_it_writes_again(
    watching, following
):
    """Guards against dropping targets whose entries were written after the copy.

    The watch is refused if fewer writes follow the restore than were lost.
    """
    copy = watching.lose_writes()
    watching.store.restore(copy, fill_up(following))
    watching.store.put("servers/other", make_entry())
    assert wait_until(lambda: "other" in watching.registry.targets)
    assert_that(watching.registry.targets, Contains("lost"))
    watching.store.put("servers/lost", make_entry(sequence=50))
    assert wait_until(lambda: watching.registry.targets["lost"].sequence == 50)
    watching.registry.remove_expired()
    assert_that(watching.registry.missing_since_s, Equals({}))


def test_target_that_left_does_not_come_back_with_the_copy(watching):
    """Guards against requests to a target whose leaving was lost with the store."""
    copy = watching.store.copy()
    watching.store.put("servers/old", make_entry("draining", sequence=2))
    assert wait_until(lambda: watching.registry.targets["old"].leaving)
    watching.store.remove("servers/old")
    assert wait_until(lambda: not watching.registry.targets)
    rewritten = [("servers/new", make_entry()), *fill_up(2 * LOST_WRITES)]
    watching.store.restore(copy, rewritten)
    assert wait_until(lambda: "new" in watching.registry.targets)
    assert_that(watching.registry.targets, Not(Contains("old")))


def test_instance_announces_itself_again_after_a_restore(watching, monkeypatch):
    """Guards against an observer that new instances do not find.

    Its entry was lost, and the ID of its lease was given to somebody else.
    """
    monkeypatch.setattr(observers, "ANNOUNCEMENT_DELAY_S", 0.2)
    key = "lacewinglift/instances/self"
    copy = watching.store.copy()
    assert wait_until(lambda: key in watching.store.entries)
    assert wait_until(lambda: watching.observer.lease is not None)
    foreign_lease = int(watching.observer.lease)
    watching.store.restore(copy, fill_up(LOST_WRITES))
    watching.store.leases[foreign_lease] = math.inf
    watching.store.put("servers/old", make_entry(sequence=2))
    assert wait_until(lambda: key in watching.store.entries)


def test_first_restore_is_noticed_if_eras_are_counted_from_0(watching):
    """Guards against an era of 0 that is taken for a store that names none."""
    assert_that(PlatformStoreClient(watching.store.address).list("x").era, Equals(2))
    watching.store.era = 0
    assert_that(PlatformStoreClient(watching.store.address).list("x").era, Equals(1))


def test_observer_waits_before_it_announces_itself(watching):
    """Guards against an announcement by each instance that observes for a moment."""
    assert_that(watching.observer.contact.era, Equals(2))
    short_s = observers.ANNOUNCEMENT_DELAY_S / 2
    assert not wait_until(lambda: watching.observer.lease, short_s)
