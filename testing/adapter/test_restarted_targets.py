"""Targets that end and start again under their names, within one watch result."""

from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, Not

from testing.adapter.watching_observer import make_entry
from testing.standins.proxy_harness import wait_until


def write_together(store, changes):
    """Make changes of the observer's target that one watch result holds."""
    with store.condition:
        for fields in changes:
            if fields is None:
                store.remove("servers/old")
            else:
                store.put("servers/old", fields)
        # Tells when the changes have arrived.
        store.put("servers/new", make_entry())


def test_target_that_restarts_within_one_result_stays_known(watching):
    """Guards against targets that get no request again after a quick restart.

    Their removal was applied after the entry of the new process.
    """
    write_together(watching.store, [None, make_entry(born_ms=2)])
    assert wait_until(lambda: "new" in watching.registry.targets)
    assert_that(watching.registry.targets, Contains("old"))
    assert_that(watching.registry.targets["old"].born_ms, Equals(2))


def test_target_that_ends_after_a_quick_restart_is_removed(watching):
    """Guards against a target that is kept, as its last change is not the last one."""
    write_together(watching.store, [None, make_entry(born_ms=2), None])
    assert wait_until(lambda: "new" in watching.registry.targets)
    assert_that(watching.registry.targets, Not(Contains("old")))


def test_removal_before_an_odd_entry_is_applied(watching):
    """Guards against a target that is kept because another writer uses its key."""
    write_together(watching.store, [None, b"odd"])
    assert wait_until(lambda: "new" in watching.registry.targets)
    assert_that(watching.registry.targets, Not(Contains("old")))
