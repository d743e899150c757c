"""Command line: `python -m testing.fleet run` and `python -m testing.fleet demo`."""

import argparse
import json
import signal
import sys
import time
from types import FrameType

from testing.fleet.demo import main_demo
from testing.fleet.launcher import Fleet, FleetOptions
from testing.fleet.processes import FleetError

POLL_INTERVAL_S = 0.5


class InterruptedRunError(BaseException):
    """SIGINT or SIGTERM came; derived so that no handler of errors catches it."""


def raise_on_signals() -> None:
    """Have the first SIGINT or SIGTERM raise; later ones do not disturb the stop."""

    def interrupt(number: int, frame: FrameType | None) -> None:
        for each in (signal.SIGINT, signal.SIGTERM):
            signal.signal(each, signal.SIG_IGN)
        raise InterruptedRunError(signal.Signals(number).name)

    for each in (signal.SIGINT, signal.SIGTERM):
        signal.signal(each, interrupt)


def run_fleet(options: FleetOptions) -> int:
    """Run a fleet until interrupted."""
    try:
        with Fleet(options) as fleet:
            print(json.dumps(fleet.description()), flush=True)
            _watch_children(fleet)
    except InterruptedRunError:
        return 0
    except FleetError as error:
        print(error, file=sys.stderr)
        return 1


def _watch_children(fleet: Fleet) -> None:
    while True:
        time.sleep(POLL_INTERVAL_S)
        for child in fleet.children.ended_unexpectedly():
            code = child.process.returncode
            print(f"{child.name} ended with {code}", file=sys.stderr, flush=True)


def parse_options(arguments: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="testing.fleet", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    for name, text in (
        ("run", "run a fleet until interrupted; describes it in one JSON line"),
        ("demo", "show what the fleet does when parts fail"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("--instances", type=int, default=6)
        command.add_argument("--address-lifetime-s", type=float, default=2.0)
    return parser.parse_args(arguments)


def main(arguments: list[str] | None = None) -> int:
    """Run one command; return the exit code."""
    parsed = parse_options(arguments)
    options = FleetOptions(
        instances=parsed.instances, address_lifetime_s=parsed.address_lifetime_s
    )
    raise_on_signals()
    if parsed.command == "run":
        return run_fleet(options)
    try:
        return main_demo(options)
    except InterruptedRunError as error:
        print(f"interrupted by {error}", file=sys.stderr)
        return 130


if __name__ == "__main__":
    sys.exit(main())
