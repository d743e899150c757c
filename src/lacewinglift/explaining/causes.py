"""Rules that find the cause of a request's outcome from its timeline."""

from collections.abc import Callable

from attrs import frozen

from lacewinglift.explaining.log_lines import LogLine
from lacewinglift.explaining.timelines import RequestTimeline

MIN_FAILURE_STATUS = 500
# Evidence reaches an instance that has no requests in progress with the next datagram
# to all instances, which is sent once a second.
MAX_EVIDENCE_DELAY_S = 1.2


@frozen
class Cause:
    """Cause of a request's outcome: a stable code and a text for operators."""

    code: str
    text: str


Rule = Callable[[RequestTimeline], Cause | None]
RULES: list[Rule] = []


def rule(function: Rule) -> Rule:
    """Register a rule; rules are tried in this order until one returns a cause."""
    RULES.append(function)
    return function


def find_cause(timeline: RequestTimeline) -> Cause:
    """Return the cause from the first rule that applies."""
    for apply_rule in RULES:
        cause = apply_rule(timeline)
        if cause is not None:
            return cause
    return Cause("unknown", "the log lines do not show the cause")


@rule
def unseen(timeline: RequestTimeline) -> Cause | None:
    """Explain a request whose id is in no log line."""
    if timeline.entries:
        return None
    return Cause("unseen", "no instance in these logs has read the request head")


@rule
def over_limit(timeline: RequestTimeline) -> Cause | None:
    """Explain a request that exceeded the rate of its workspace."""
    refused = _refusal_with_code(timeline, "over_limit")
    if refused is None:
        return None
    workspace = refused.fields.get("workspace", "?")
    tokens = refused.number("tokens")
    text = f"{workspace} had {tokens:.2f} tokens at {timeline.instance}"
    if "rate_per_s" in refused.fields:
        text += f", at a rate of {refused.fields['rate_per_s']} per second"
    part = refused.number("heard_part", 1.0)
    if part < 1.0:
        text += f"; only {part:.0%} of the fleet was heard, and that part of the rate"
        text += " may be used"
        return Cause("over_limit_cut_off", text)
    if tokens >= 1.0:
        unreported = refused.number("unreported", 0.0)
        text += f"; other instances had probably used {unreported:.0f} and not reported"
        return Cause("over_limit_unreported", text + " it yet")
    return Cause("over_limit", text + ": its requests came faster than its rate")


@rule
def not_started(timeline: RequestTimeline) -> Cause | None:
    """Explain a request to an instance that had no configuration yet."""
    if _refusal_with_code(timeline, "starting") is None:
        return None
    text = f"{timeline.instance} had no configuration or targets yet"
    if timeline.related_entries("store_lost", timeline.instance):
        text += "; it had lost contact with the store"
    return Cause("starting", text)


@rule
def stopping(timeline: RequestTimeline) -> Cause | None:
    """Explain a request to an instance that was being stopped."""
    cut = timeline.last_line("request_cut")
    stop_cut = timeline.related_entries("stop_cut", timeline.instance)
    if _refusal_with_code(timeline, "stopping") is None and not (cut and stop_cut):
        return None
    begun = timeline.related_entries("stop_begins", timeline.instance)
    text = f"{timeline.instance} was being stopped"
    if begun:
        at_s = begun[-1].at_s
        side = "before" if at_s < 0 else "after"
        text += f", since {abs(at_s):.2f} s {side} the request began"
    if cut is not None:
        text += "; the request was cut when the stop time limit expired"
    return Cause("stopping", text)


@rule
def not_allowed(timeline: RequestTimeline) -> Cause | None:
    """Explain a request that the configuration in force does not allow."""
    for code in ("no_route", "key_missing", "key_unknown", "workspace_forbidden"):
        refused = _refusal_with_code(timeline, code)
        if refused is not None:
            generation = refused.fields.get("generation", "?")
            why = refused.fields.get("why", code)
            return Cause(code, f"generation {generation} was in force: {why}")
    refused = _refusal_with_code(timeline, "bad_request")
    if refused is not None:
        return Cause("bad_request", refused.fields.get("why", "not valid HTTP"))
    return None


@rule
def caller_gone(timeline: RequestTimeline) -> Cause | None:
    """Explain a request that the caller's side ended."""
    cut = timeline.last_line("request_cut")
    if cut is None or cut.fields.get("by") != "caller":
        return None
    after_s = cut.number("after_s")
    why = cut.fields.get("reason", "?")
    return Cause(
        "caller_gone", f"ended from the caller's side after {after_s:.2f} s: {why}"
    )


@rule
def no_target(timeline: RequestTimeline) -> Cause | None:
    """Explain a request for which no target was available."""
    refused = _refusal_with_code(timeline, "no_target")
    if refused is None:
        return None
    shed = [
        line
        for line in _failed_attempts(timeline)
        if line.fields.get("outcome") == "shed"
    ]
    if shed:
        names = ", ".join(line.fields.get("target", "?") for line in shed)
        return Cause("targets_full", f"these targets were full: {names}")
    return Cause("no_target", refused.fields.get("why", "no usable target"))


@rule
def overloaded(timeline: RequestTimeline) -> Cause | None:
    """Explain a request that was refused for want of capacity."""
    refused = _refusal_with_code(timeline, "overloaded")
    decided = timeline.last_line("capacity_refused")
    if refused is None or decided is None:
        return None
    fields = decided.fields
    return Cause(
        "overloaded",
        f"{fields.get('service', '?')} had {fields.get('in_flight', '?')} requests in "
        f"flight for {fields.get('slots', '?')} usable slots, too many for priority "
        f"{fields.get('priority', '?')}: {fields.get('why', '?')}",
    )


@rule
def attempt_failed(timeline: RequestTimeline) -> Cause | None:
    """Explain a request whose last attempt at a target failed."""
    failures = _failed_attempts(timeline)
    ended = timeline.last_line("request_ended")
    if ended is not None and ended.number("status") < MIN_FAILURE_STATUS:
        return None
    if not failures:
        return None
    last = failures[-1]
    outcome = last.fields.get("outcome", "?")
    target = last.fields.get("target", "?")
    text = f"{target}: {outcome} after {last.number('after_s'):.2f} s"
    text += f" ({last.fields.get('verdict', '?')})"
    why = last.fields.get("why", "-")
    if why != "-":
        text += f"; not sent again: {_NO_RETRY_REASONS.get(why, why)}"
    text += f"; {_describe_target_state(timeline, target)}"
    return Cause(f"target_{outcome}", text)


@rule
def target_answered_failure(timeline: RequestTimeline) -> Cause | None:
    """Explain a request that a target answered with a server error."""
    ended = timeline.last_line("request_ended")
    if ended is None or ended.number("status") < MIN_FAILURE_STATUS:
        return None
    target = ended.fields.get("target", "?")
    text = f"{target} itself answered {ended.fields.get('status')}"
    return Cause("target_error", f"{text}; {_describe_target_state(timeline, target)}")


@rule
def served(timeline: RequestTimeline) -> Cause | None:
    """Explain a request that a target answered without a server error."""
    ended = timeline.last_line("request_ended")
    if ended is None:
        return None
    text = f"{ended.fields.get('target')} answered {ended.fields.get('status')}"
    text += f" after {ended.number('after_s'):.2f} s"
    return Cause("served", text + _describe_hedge(timeline))


@rule
def instance_ended(timeline: RequestTimeline) -> Cause | None:
    """Explain a request whose instance logged no outcome for it."""
    last = timeline.own_lines()[-1]
    if last.event in ("request_refused", "request_cut"):
        return None
    if timeline.restarted:
        text = f"{timeline.instance} ended during the request, after {last.event}"
        return Cause("instance_ended", text)
    text = (
        f"{timeline.instance} logged nothing after {last.event}: it ended, or its log"
    )
    return Cause("log_ends", f"{text} is cut")


_NO_RETRY_REASONS = {
    "may_have_run": "it may have run and must not run twice",
    "attempts": "its route allows no more attempts",
    "retry_budget": "the fleet's retry budget was used up",
    "time": "its deadline had passed",
    "no_target": "no other target was available",
    "no_capacity": "its service had no capacity for its priority",
    "other_target": "a second target was already asked",
}
_HEDGE_RESULTS = {
    "won": "the hedge at {target} answered",
    "lost": "the first attempt answered, before the hedge at {target}",
    "failed": "the hedge at {target} failed",
}


def _describe_hedge(timeline: RequestTimeline) -> str:
    """Tell which attempt answered a request that was sent to a second target."""
    hedge = timeline.last_line("hedge_ended")
    sent = timeline.last_line("hedge_sent")
    if hedge is None or sent is None:
        return ""
    template = _HEDGE_RESULTS.get(hedge.fields.get("result", ""), "")
    text = template.format(target=sent.fields.get("target", "?"))
    first = sent.fields.get("first", "?")
    return f"; {first} was late after {sent.number('after_s'):.2f} s: {text}"


def _refusal_with_code(timeline: RequestTimeline, code: str) -> LogLine | None:
    refused = timeline.last_line("request_refused")
    if refused is None or refused.fields.get("code") != code:
        return None
    return refused


def _failed_attempts(timeline: RequestTimeline) -> list[LogLine]:
    return timeline.own_lines("attempt_failed")


def _describe_target_state(timeline: RequestTimeline, target: str) -> str:
    """Describe what the instance knew about a target when it chose the target."""
    chosen = [
        entry
        for entry in timeline.entries
        if entry.own
        and entry.line.event == "target_chosen"
        and entry.line.fields.get("target") == target
    ]
    if not chosen:
        return "no line shows why it was chosen"
    choice = chosen[-1]
    known = _describe_earlier_report(timeline, target, choice.at_s)
    if "since_failure_s" in choice.line.fields:
        since_s = choice.line.number("since_failure_s")
        trusted = choice.line.fields.get("trusted", "?")
        return f"it was in doubt for {since_s:.2f} s, with {trusted} trusted targets"
    if known:
        return known
    return "no failure of it was known when it was chosen"


def _describe_earlier_report(
    timeline: RequestTimeline, target: str, chosen_at_s: float
) -> str:
    """Describe a failure that another instance knew of and the choosing one did not.

    The text is empty if the logs contain no such failure.
    """
    for entry in reversed(timeline.entries):
        line = entry.line
        if entry.own or line.fields.get("target") != target:
            continue
        if entry.at_s > chosen_at_s or line.instance == timeline.instance:
            continue
        if line.event in ("target_trusted", "target_returned"):
            return ""
        age_s = chosen_at_s - entry.at_s
        late = (
            ""
            if age_s <= MAX_EVIDENCE_DELAY_S
            else ", which should have arrived by then"
        )
        return f"{line.instance} knew of a failure {age_s * 1000:.0f} ms earlier{late}"
    return ""
