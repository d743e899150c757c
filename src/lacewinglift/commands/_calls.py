"""Calls from the command line to a running instance."""

import argparse
import asyncio
import sys

from lacewinglift.errors import PeerError
from lacewinglift.peers import PeerClient

DEFAULT_TIMEOUT_S = 3.0
EXIT_UNREACHABLE = 3


def add_instance_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for calling a running instance."""
    parser.add_argument(
        "--peer",
        required=True,
        metavar="HOST:PORT",
        help="peer address of a running instance (peer_address in its settings)",
    )
    parser.add_argument(
        "--timeout",
        type=float,
        default=DEFAULT_TIMEOUT_S,
        metavar="SECONDS",
        help="how long to wait for the answer (default: %(default)s)",
    )


def call_instance(options: argparse.Namespace, method: str, request: object) -> object:
    """Call the instance given by the options and return its reply.

    Raises
    ------
    PeerError
        If the call fails.
    """

    async def call() -> object:
        client = PeerClient()
        try:
            return await client.call(options.peer, method, request, options.timeout)
        finally:
            client.close()

    return asyncio.run(call())


def report_unreachable(error: PeerError) -> int:
    """Print why the call to an instance failed and return the exit code."""
    print(f"lacewinglift: {error.code}: {error}", file=sys.stderr)
    return EXIT_UNREACHABLE
