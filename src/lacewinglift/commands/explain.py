"""``lacewinglift explain``: find out from logs why a request ended as it did."""

import argparse
import json
import sys

from lacewinglift.commands._tables import print_table
from lacewinglift.explaining.causes import Cause, find_cause
from lacewinglift.explaining.log_lines import LogSet
from lacewinglift.explaining.timelines import (
    RequestTimeline,
    TimelineEntry,
    build_timeline,
)

COLUMNS = ("ms", "instance", "event", "fields")
EXIT_NOT_FOUND = 1
EXIT_UNREADABLE = 3


def register(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "explain",
        help="show from logs why a request ended as it did",
        description="Print the timeline of one request from the logs of as many "
        "instances as possible: each decision, what it was based on, what other "
        "instances knew, and the cause. Lines that are truncated or from other "
        "programs are ignored; gaps in the logs are listed.",
        epilog="exit codes: 0 printed, 1 no line names the request, 2 wrong use, "
        "3 a file cannot be read",
    )
    parser.add_argument("--id", required=True, help="id of the request")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("files", nargs="+", metavar="FILE", help="log files")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the timeline of the request and the cause of its outcome."""
    logs = LogSet()
    for name in options.files:
        try:
            with open(name, encoding="utf-8", errors="replace") as file:
                logs.add_file(name, file)
        except OSError as error:
            print(f"lacewinglift: {name}: {error.strerror}", file=sys.stderr)
            return EXIT_UNREADABLE
    timeline = build_timeline(logs, options.id)
    cause = find_cause(timeline)
    if options.json:
        print(json.dumps(timeline_as_dict(timeline, cause), indent=2))
    else:
        _print_timeline(timeline, cause)
    return 0 if timeline.entries else EXIT_NOT_FOUND


def timeline_as_dict(timeline: RequestTimeline, cause: Cause) -> dict[str, object]:
    """Return the JSON output for a timeline; times are in seconds."""
    return {
        "id": timeline.request_id,
        "instance": timeline.instance,
        "cause": {"code": cause.code, "text": cause.text},
        "missing": timeline.missing,
        "moments": [
            {
                "at_s": round(entry.at_s, 6),
                "instance": entry.line.instance,
                "event": entry.line.event,
                "own": entry.own,
                "fields": entry.line.fields,
            }
            for entry in timeline.entries
        ],
    }


def _print_timeline(timeline: RequestTimeline, cause: Cause) -> None:
    if timeline.entries:
        print_table(COLUMNS, [_row(entry) for entry in timeline.entries])
    for gap in timeline.missing:
        print(f"missing: {gap}")
    print(f"cause: {cause.code}: {cause.text}")


def _row(entry: TimelineEntry) -> dict[str, object]:
    fields = " ".join(
        f"{name}={value}"
        for name, value in entry.line.fields.items()
        if name not in ("id", "path")
    )
    return {
        "ms": f"{entry.at_s * 1000:+.1f}",
        "instance": entry.line.instance,
        "event": entry.line.event,
        "fields": fields,
    }
