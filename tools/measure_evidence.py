"""Measure from logs how fast evidence of failures propagates between instances.

Also counts how requests that are not repeatable end, by the time since the last failure
of their target. Reads logs of a mesh as a test bench prints them: each line begins with
the time in seconds by one clock for all instances.
"""

import argparse
import re
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from pathlib import Path

from attrs import frozen

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src")]

from lacewinglift.explaining.log_lines import LogLine, parse_line  # noqa: E402

# A `target_doubted` event that another instance logs later than this after the source
# is not counted as propagation.
PROPAGATION_MAX_S = 2.5
FAILED_STATUS = 500
# Upper bounds of the groups of times since the last failure of a target.
FAILURE_AGE_BOUNDS_S = (2.0, 4.0)

_TIME_PATTERN = re.compile(r"\s*(-?[0-9.]+) ")


@frozen
class TimedLine:
    """A log line and its time by the common clock."""

    at_s: float
    line: LogLine


def read_timed_lines(path: str) -> Iterator[TimedLine]:
    with open(path, encoding="utf-8", errors="replace") as file:
        for text in file:
            time_match = _TIME_PATTERN.match(text)
            line = parse_line(text)
            if time_match is not None and line is not None:
                yield TimedLine(float(time_match[1]), line)


def propagation_times(entries: Iterable[TimedLine]) -> tuple[int, list[float]]:
    """Return the number of failures found and the delays of other instances' logs.

    An instance that finds a failure itself logs `target_doubted` with its own name in
    the field `by`; the others log it with the name of that instance.
    """
    doubted_at_s: dict[tuple[str, str], float] = {}
    doubts = 0
    times_s = []
    doubted = [entry for entry in entries if entry.line.event == "target_doubted"]
    for entry in sorted(doubted, key=lambda each: (each.at_s, each.line.instance)):
        source = entry.line.fields["by"]
        key = (entry.line.fields["target"], source)
        if entry.line.instance == source:
            doubted_at_s[key] = entry.at_s
            doubts += 1
        elif entry.at_s - doubted_at_s.get(key, -PROPAGATION_MAX_S) < PROPAGATION_MAX_S:
            times_s.append(entry.at_s - doubted_at_s[key])
    return doubts, sorted(times_s)


def first_attempt_results(
    entries: Iterable[TimedLine],
) -> Iterator[tuple[str, bool]]:
    """Yield the failure age group of each first attempt, and whether it was served.

    Only requests that are not repeatable are included.
    """
    group_by_request: dict[str, str] = {}
    for entry in entries:
        fields = entry.line.fields
        request = fields.get("id", "")
        if entry.line.event == "target_chosen":
            if fields["repeatable"] == "False" and fields["attempt"] == "1":
                group_by_request[request] = failure_age_group(entry.line)
        elif entry.line.event == "request_ended" and request in group_by_request:
            served = entry.line.number("status") < FAILED_STATUS
            yield group_by_request.pop(request), served
        elif entry.line.event == "request_given_up" and request in group_by_request:
            yield group_by_request.pop(request), False


def failure_age_group(line: LogLine) -> str:
    if "since_failure_s" not in line.fields:
        return "no failure known"
    since_s = line.number("since_failure_s")
    for end_s in FAILURE_AGE_BOUNDS_S:
        if since_s < end_s:
            return f"failed less than {end_s:g} s ago"
    return "failed longer ago"


def print_propagation(entries: list[TimedLine]) -> None:
    doubts, times_s = propagation_times(entries)
    print(f"  {doubts} failures found, logged {len(times_s)} times by other instances")
    for part in (0.5, 0.9, 0.99, 1.0):
        index = min(int(len(times_s) * part), len(times_s) - 1)
        if times_s:
            print(f"  p{part * 100:g}: {times_s[index]:.3f} s")


def print_first_attempts(entries: list[TimedLine]) -> None:
    counts: Counter[tuple[str, bool]] = Counter(first_attempt_results(entries))
    for group in sorted({group for group, _ in counts}):
        served, failed = counts[group, True], counts[group, False]
        print(
            f"  non-repeatable requests, {group}: {served} of {served + failed} served"
        )


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+", metavar="FILE", help="logs of a test run")
    for path in parser.parse_args().files:
        entries = list(read_timed_lines(path))
        print(path)
        print_propagation(entries)
        print_first_attempts(entries)
    return 0


if __name__ == "__main__":
    sys.exit(main())
