"""``lacewinglift status``: list the instances as one of them sees them."""

import argparse
import json

from lacewinglift.commands._calls import (
    add_instance_options,
    call_instance,
    report_unreachable,
)
from lacewinglift.commands._tables import print_table
from lacewinglift.errors import PeerError
from lacewinglift.generated import fleet_pb2

COLUMNS = (
    "instance",
    "data_centre",
    "state",
    "caller_address",
    "generation",
    "ledger_version",
    "standing",
    "suspected",
    "age_ms",
)
EXIT_DEGRADED = 1


def register(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "status",
        help="list the instances as a running instance sees them",
        description="List the instances of the cell as one of them sees them.",
        epilog="exit codes: 0 all live, with standing and on one generation, "
        "1 not so, 2 wrong use, 3 instance cannot be reached",
    )
    add_instance_options(parser)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the instances; the exit code says whether all are healthy."""
    try:
        reply = call_instance(options, "GetStatus", fleet_pb2.GetStatusRequest())
    except PeerError as error:
        return report_unreachable(error)
    rows = [status_row(reply.self)]
    rows += [status_row(peer) for peer in reply.peers]
    rows.sort(key=lambda row: (row["data_centre"], row["instance"]))
    if options.json:
        print(json.dumps({"instances": rows}, indent=2))
    else:
        print_table(COLUMNS, rows)
    return 0 if is_healthy(rows) else EXIT_DEGRADED


def status_row(status: fleet_pb2.InstanceStatus) -> dict[str, object]:
    """Return the table row of one instance."""
    row = {column: getattr(status, column) for column in COLUMNS}
    row["state"] = fleet_pb2.InstanceState.Name(status.state).lower()
    return row


def is_healthy(rows: list[dict[str, object]]) -> bool:
    """Return whether all instances are live, with standing and on one generation.

    No instance may be suspected.
    """
    generations = {row["generation"] for row in rows}
    return len(generations) == 1 and all(
        row["state"] == "live" and row["standing"] and not row["suspected"]
        for row in rows
    )
