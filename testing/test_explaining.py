"""Tests of `lacewinglift explain` on log lines in the format of the instances."""

import json

import pytest

from lacewinglift.explaining.causes import find_cause
from lacewinglift.explaining.clock_offsets import estimate_offsets
from lacewinglift.explaining.log_lines import LogSet, parse_line
from lacewinglift.explaining.timelines import build_timeline
from lacewinglift.logs import format_event
from lacewinglift.main import main

BEGIN_S = 1_000_000.0


def write(at_s, instance, event, **fields):
    text = format_event(event, fields)
    return f"time={BEGIN_S + at_s:.3f} level=info instance={instance} {text}\n"


def admitted(at_s, instance="a", **fields):
    fields = {"workspace": "house", "tokens": 3.0, "rate_per_s": 9.0, **fields}
    return write(
        at_s,
        instance,
        "request_admitted",
        id="r",
        service="cassa",
        generation=4,
        **fields,
    )


def chosen(at_s, instance="a", target="t1", **fields):
    return write(
        at_s,
        instance,
        "target_chosen",
        id="r",
        service="cassa",
        target=target,
        **fields,
    )


def failed(at_s, outcome, why="-", target="t1", after_s=0.1):
    return write(
        at_s,
        "a",
        "attempt_failed",
        id="r",
        service="cassa",
        target=target,
        outcome=outcome,
        verdict="may_have_run",
        after_s=after_s,
        why=why,
    )


def refused(at_s, code, status, **fields):
    return write(
        at_s,
        "a",
        "request_refused",
        id="r",
        path="/cassa",
        code=code,
        status=status,
        generation=4,
        **fields,
    )


def ended(at_s, status, target="t1"):
    return write(
        at_s, "a", "request_ended", id="r", target=target, status=status, after_s=at_s
    )


def explain(*lines):
    logs = LogSet()
    logs.add_file("a.log", lines)
    timeline = build_timeline(logs, "r")
    return timeline, find_cause(timeline)


LOGS_BY_CAUSE = {
    "over_limit": [
        refused(0, "over_limit", 429, workspace="house", tokens=-1.5, rate_per_s=7.0)
    ],
    "over_limit_cut_off": [
        refused(0, "over_limit", 429, workspace="house", tokens=0.2, heard_part=0.4)
    ],
    "over_limit_unreported": [
        refused(0, "over_limit", 429, workspace="house", tokens=40, unreported=130)
    ],
    "starting": [
        write(-1, "a", "store_lost", code="store_unavailable", reason="refused"),
        refused(0, "starting", 503),
    ],
    "stopping": [
        write(-2, "a", "stop_begins", bound_s=5.2),
        refused(0, "stopping", 503),
    ],
    "no_route": [refused(0, "no_route", 404, why="no route leads to /x")],
    "key_unknown": [refused(0, "key_unknown", 401, why="the key is not known")],
    "bad_request": [refused(0, "bad_request", 400, why="two lengths")],
    "targets_full": [
        admitted(0),
        chosen(0),
        failed(0.01, "shed", "no_target"),
        refused(0.02, "no_target", 503),
    ],
    "no_target": [admitted(0), refused(0, "no_target", 503, why="no usable target")],
    "target_timeout": [
        admitted(0),
        chosen(0),
        failed(3, "timeout", "time"),
        refused(3, "target_timeout", 504),
    ],
    "target_cut": [
        admitted(0),
        chosen(0),
        failed(1, "cut", "may_have_run"),
        refused(1, "target_failed", 502),
    ],
    "target_error": [admitted(0), chosen(0), ended(0.1, 500)],
    "served": [
        admitted(0),
        chosen(0),
        failed(0.1, "error"),
        chosen(0.1, target="t2"),
        ended(0.6, 200, "t2"),
    ],
    "caller_gone": [
        admitted(0),
        chosen(0),
        write(1, "a", "request_cut", id="r", by="caller", reason="gone", after_s=1.0),
    ],
    "instance_ended": [
        admitted(0),
        chosen(0),
        write(5, "a", "instance_started", incarnation=2, callers="x"),
    ],
    "log_ends": [admitted(0), chosen(0)],
    "unseen": [write(0, "a", "instance_ready", generation=4)],
}


@pytest.mark.parametrize("code", LOGS_BY_CAUSE)
def test_cause_is_named(code):
    """Guards against a failed request for which `explain` finds no or a wrong cause."""
    _, cause = explain(*LOGS_BY_CAUSE[code])
    assert cause.code == code


def test_exhausted_retry_budget_is_not_reported_as_attempts():
    """Guards against operators changing the wrong setting after a failure."""
    lines = [admitted(0), chosen(0), failed(0.1, "error", "retry_budget")]
    _, cause = explain(*lines, ended(0.2, 500))
    assert "retry budget was used up" in cause.text


def test_evidence_that_had_not_arrived_is_reported():
    """Guards against blaming the choice when only another instance knew of a failure.

    Instance b detected the failure of the target 20 ms before a chose it. The clock of
    b is 100 s ahead; the offset follows from an earlier doubt that both have logged.
    """
    timeline, cause = explain(
        write(-5.0 + 100, "b", "target_doubted", target="t9", by="b"),
        write(-4.998, "a", "target_doubted", target="t9", by="b"),
        write(-0.02 + 100, "b", "target_doubted", target="t1", by="b"),
        admitted(0),
        chosen(0),
        ended(0.1, 500),
    )
    assert "b knew of a failure" in cause.text
    moments = [m for m in timeline.entries if m.line.instance == "b"]
    assert moments[0].at_s == pytest.approx(-0.02, abs=0.005)


def test_target_that_was_chosen_in_doubt_is_reported():
    """Guards against explaining a choice of a doubted target as an unknown failure."""
    _, cause = explain(
        admitted(0), chosen(0, since_failure_s=1.5, trusted=0), ended(0.1, 500)
    )
    assert "in doubt for 1.50 s, with 0 trusted targets" in cause.text


def test_repeated_doubts_of_one_target_do_not_falsify_clock_offsets():
    """Guards against pairing different doubts when one log lacks some lines."""
    lines = []
    for number in range(8):
        at_s = number * 3.0
        lines.append(write(at_s, "a", "target_doubted", target="t1", by="a"))
        if number not in (0, 3):
            lines.append(
                write(at_s + 41.002, "b", "target_doubted", target="t1", by="a")
            )
    logs = LogSet()
    logs.add_file("both.log", lines)
    offsets = estimate_offsets(logs.lines, "a")
    assert offsets["b"] == pytest.approx(41.0, abs=0.01)


def test_attempt_that_answered_a_hedged_request_is_named():
    """Guards against a hedge that is taken for a retry after a failure."""
    fields = {"id": "r", "service": "cassa", "target": "t2", "after_s": 0.4}
    _, cause = explain(
        admitted(0.0),
        chosen(0.0),
        write(0.4, "a", "hedge_sent", first="t1", **fields),
        write(0.5, "a", "hedge_ended", result="won", **fields),
        ended(0.5, 200, target="t2"),
    )
    assert cause.text.endswith("t1 was late after 0.40 s: the hedge at t2 answered")


def test_missing_lines_are_reported():
    """Guards against a timeline that looks complete although its end is missing."""
    timeline, cause = explain(admitted(0), chosen(0), ended(0.2, 200)[:40])
    assert cause.code == "log_ends"
    assert "no line of a shows how the request ended" in timeline.missing
    assert "a.log: 1 lines are truncated or unreadable" in timeline.missing


def test_left_out_lines_are_reported():
    """Guards against silently incomplete timelines after rate limiting."""
    timeline, _ = explain(
        admitted(0),
        write(0.5, "a", "log_lines_left_out", of="target_chosen", count=12),
        ended(0.2, 200),
    )
    assert (
        "12 lines of target_chosen were left out around that time" in timeline.missing
    )


@pytest.mark.parametrize(
    "text",
    [
        "",
        "event=request_ended id=r\n",
        "time=12.5 level=info instance=a eve",
        "time=x event=request_ended\n",
        "Traceback (most recent call last):\n",
    ],
)
def test_truncated_and_foreign_lines_are_not_parsed(text):
    """Guards against parsing a truncated line as a complete one."""
    assert parse_line(text) is None


def test_logged_values_are_parsed_unchanged():
    """Guards against truncating values that contain spaces and quotes."""
    reason = 'the "store" said: no = never'
    text = "0.5 host-1 " + write(0, "a", "store_lost", code="x", reason=reason)
    assert parse_line(text).fields == {"code": "x", "reason": reason}


def test_command_prints_the_timeline_and_its_json(tmp_path, capsys):
    """Guards against wrong output, JSON keys or exit codes of the command."""
    path = tmp_path / "a.log"
    path.write_text("".join(LOGS_BY_CAUSE["target_error"]))
    assert main(["explain", "--id", "r", str(path)]) == 0
    printed = capsys.readouterr().out
    assert "cause: target_error: t1 itself answered 500" in printed
    assert main(["explain", "--id", "r", "--json", str(path)]) == 0
    fields = json.loads(capsys.readouterr().out)
    assert fields["cause"]["code"] == "target_error"
    assert [m["event"] for m in fields["moments"]] == [
        "request_admitted",
        "target_chosen",
        "request_ended",
    ]
    assert main(["explain", "--id", "other", str(path)]) == 1
    assert main(["explain", "--id", "r", str(tmp_path / "none.log")]) == 3
