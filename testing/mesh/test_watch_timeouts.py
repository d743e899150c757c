import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from lacewinglift.kv import RESPONSE_TIMEOUT_S
from lacewinglift.mesh.members import STORE_CONTACT_MAX_AGE_S
from lacewinglift.mesh.watch_timeouts import CATCH_UP_S, ChangeBounds


@pytest.mark.parametrize("bounds", [(2.0, 3.0), (2.5, 3.0), (3.0, 4.0)])
def test_lost_response_is_noticed_before_changes_are_due(bounds):
    """Guards against a change that is missed until a lost response is noticed."""
    propagation_s, settling_s = bounds
    noticed_s = ChangeBounds(*bounds).watch_wait_s() + RESPONSE_TIMEOUT_S
    assert_that(noticed_s, Equals(settling_s + propagation_s - CATCH_UP_S))


def test_quiet_watch_is_no_lost_contact():
    """Guards against observers that are replaced because nothing changes."""
    longest_s = ChangeBounds(propagation_s=30.0, settling_s=30.0).watch_wait_s()
    assert_that(longest_s + RESPONSE_TIMEOUT_S, LessThan(STORE_CONTACT_MAX_AGE_S))


def test_short_bounds_do_not_make_a_poll_of_a_watch():
    """Guards against store calls that come one after another without a change."""
    assert_that(
        ChangeBounds(propagation_s=0.5, settling_s=0.5).watch_wait_s(), Equals(1.0)
    )
