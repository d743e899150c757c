"""``lacewinglift explain``: why a request ended as it did."""

import argparse
import json
import sys

from lacewinglift.commands._tables import print_table
from lacewinglift.explaining.causes import Cause, find_cause
from lacewinglift.explaining.log_lines import LogSet
from lacewinglift.explaining.timelines import TimelineEntry, RequestTimeline, build_timeline

COLUMNS = ("ms", "instance", "event", "fields")
EXIT_NOT_FOUND = 1
EXIT_UNREADABLE = 3


def register(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "explain",
        help="tell from logs why a request ended as it did",
        description="Print the story of one request from the logs of as many "
        "instances as there are: each decision, what it was based on, what other "
        "instances knew, and the cause. Lines that are cut or of others are passed "
        "over; what is missing is said.",
        epilog="exit codes: 0 told, 1 no line names the request, 2 wrong use, "
        "3 a file cannot be read",
    )
    parser.add_argument("--id", required=True, help="id of the request")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("files", nargs="+", metavar="FILE", help="log files")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the story and its cause."""
    logs = LogSet()
    for name in options.files:
        try:
            with open(name, encoding="utf-8", errors="replace") as file:
                logs.add_file(name, file)
        except OSError as error:
            print(f"lacewinglift: {name}: {error.strerror}", file=sys.stderr)
            return EXIT_UNREADABLE
    story = build_timeline(logs, options.id)
    cause = find_cause(story)
    if options.json:
        print(json.dumps(timeline_as_dict(story, cause), indent=2))
    else:
        _print_timeline(story, cause)
    return 0 if story.entries else EXIT_NOT_FOUND


def timeline_as_dict(story: RequestTimeline, cause: Cause) -> dict[str, object]:
    """Return a story as it is printed as JSON; times are in seconds."""
    return {
        "id": story.request_id,
        "instance": story.instance,
        "cause": {"code": cause.code, "text": cause.text},
        "missing": story.missing,
        "moments": [
            {
                "at_s": round(moment.at_s, 6),
                "instance": moment.line.instance,
                "event": moment.line.event,
                "own": moment.own,
                "fields": moment.line.fields,
            }
            for moment in story.moments
        ],
    }


def _print_timeline(story: RequestTimeline, cause: Cause) -> None:
    if story.moments:
        print_table(COLUMNS, [_row(moment) for moment in story.moments])
    for gap in story.missing:
        print(f"missing: {gap}")
    print(f"cause: {cause.code}: {cause.text}")


def _row(moment: TimelineEntry) -> dict[str, object]:
    fields = " ".join(
        f"{name}={value}"
        for name, value in moment.line.fields.items()
        if name not in ("id", "path")
    )
    return {
        "ms": f"{moment.at_s * 1000:+.1f}",
        "instance": moment.line.instance,
        "event": moment.line.event,
        "fields": fields,
    }
