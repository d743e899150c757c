"""A store that loses the response to one watch, and answers all other calls."""

import time

from testtools.assertions import assert_that
from testtools.matchers import Equals

from testing.adapter.watching_observer import make_entry
from testing.standins.proxy_harness import wait_until

# The users' bounds hold again this long after a disturbance of the store, and a change
# has to be in force this long after it.
STABLE_WINDOW_S = 3.0
PROPAGATION_S = 2.0


def lose_response(watching, prefix, write):
    """Let a change be made of which the observer gets no response."""
    watching.store.lost_watch_responses.append(prefix)
    write()
    assert wait_until(lambda: not watching.store.lost_watch_responses)


def test_configuration_is_seen_after_the_response_of_a_watch_was_lost(watching):
    """Guards against a withdrawn key that works on, since nobody is told of it."""
    store = watching.store
    lose_response(watching, "op/", lambda: store.put("op/config", b"second"))
    time.sleep(STABLE_WINDOW_S)
    store.put("op/config", b"third")
    wait_until(lambda: watching.configurations[-1] == b"third", PROPAGATION_S)
    assert_that(watching.configurations[-1], Equals(b"third"))


def test_removal_is_seen_after_the_response_of_a_watch_was_lost(watching):
    """Guards against requests to a target that has left, since nobody is told of it."""
    store = watching.store
    entry = make_entry(sequence=2)
    lose_response(watching, "servers/", lambda: store.put("servers/old", entry))
    time.sleep(STABLE_WINDOW_S)
    store.remove("servers/old")
    wait_until(lambda: not watching.registry.targets, PROPAGATION_S)
    assert_that(watching.registry.targets, Equals({}))
