"""``lacewinglift dump``: print the complete state of a running instance."""

import argparse
import json

from lacewinglift.commands._calls import (
    add_instance_options,
    call_instance,
    report_unreachable,
)
from lacewinglift.errors import PeerError
from lacewinglift.generated import fleet_pb2


def register(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "dump",
        help="print the state of a running instance as JSON, without keys",
        description="Print the whole state of a running instance as JSON.",
        epilog="exit codes: 0 printed, 2 wrong use, 3 instance cannot be reached",
    )
    add_instance_options(parser)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the state of the instance as JSON."""
    try:
        reply = call_instance(options, "GetDump", fleet_pb2.GetDumpRequest())
    except PeerError as error:
        return report_unreachable(error)
    print(json.dumps(json.loads(reply.json), indent=2, sort_keys=True))
    return 0
