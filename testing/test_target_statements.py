"""What the forwarder reads of the statements of targets in their responses."""

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.dialects import Dialect
from testing.standins.proxy_harness import call
from testing.standins.scripted_targets import make_response, serve_bytes
from testing.test_forwarder import proxy_with_targets

DIALECT = Dialect(leaving_header="server-leaving", not_run_header="not-executed")
NOT_EXECUTED = "Not-Executed: 1"


def statements(status, *headers):
    """Return what the attempt at a target recorded."""
    script = serve_bytes(make_response(status, b"body", *headers))
    with proxy_with_targets(script, dialect=DIALECT) as (proxy, _):
        call(proxy, "POST", "/cassa", body=b"x")
        attempt = proxy.selector.attempts[0]
    return attempt.leaving, attempt.pauses_s


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_each_answer_may_say_that_its_target_leaves(status):
    """Guards against a word that counts only in successful responses."""
    assert_that(statements(status, "Server-Leaving: 1")[0], Equals(True))
    assert_that(statements(status, "Server-Leaving: 0")[0], Equals(False))


def test_refusal_may_say_that_its_target_leaves():
    """Guards against a word that is lost because the request goes elsewhere."""
    headers = ("Server-Leaving: 1", NOT_EXECUTED)
    assert_that(statements(503, *headers)[0], Equals(True))


def test_answer_of_another_target_says_nothing():
    """Guards against a word that is taken for that of the expected target."""
    assert_that(statements(421, "Server-Leaving: 1")[0], Equals(False))


@pytest.mark.parametrize(("text", "pause_s"), [("3", 3.0), ("0.5", 0.5), ("0", 0.0)])
def test_pause_of_a_refusal_is_read(text, pause_s):
    """Guards against a pause that is not read, with or without fractions."""
    headers = (f"Retry-After: {text}", NOT_EXECUTED)
    assert_that(statements(503, *headers)[1], Equals([pause_s]))


@pytest.mark.parametrize("text", ["", "soon", "-1", "inf", "nan", "1e999"])
def test_pause_that_is_no_number_is_ignored(text):
    """Guards against a target that is never asked again, or a failing worker."""
    headers = (f"Retry-After: {text}", NOT_EXECUTED)
    assert_that(statements(503, *headers)[1], Equals([]))


@pytest.mark.parametrize("status", [200, 429, 500])
def test_only_a_503_asks_for_a_pause(status):
    """Guards against a pause that was meant for the caller of another response."""
    assert_that(statements(status, "Retry-After: 3")[1], Equals([]))
