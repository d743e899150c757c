"""Command line of lacewinglift."""

import argparse
import importlib
import sys
from collections.abc import Sequence

from lacewinglift import __version__
from lacewinglift.errors import LacewingliftError

COMMANDS = ("serve", "check", "publish", "status", "dump", "digest", "explain")

EXIT_CODES = """\
exit codes:
  0  done
  1  the configuration or settings have faults, or the call was refused
  2  wrong use of the command line
  3  the key-value service or the instance cannot be reached
  4  another operator published first
  5  accepted, but not yet in force on every live instance
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="lacewinglift",
        description="Proxy fleet for targets with gray failures.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    subparsers = parser.add_subparsers(
        title="commands", dest="command", required=True, metavar="COMMAND"
    )
    for name in COMMANDS:
        module = importlib.import_module(f"lacewinglift.commands.{name}")
        module.register(subparsers)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code."""
    options = build_parser().parse_args(arguments)
    try:
        return options.run(options)
    except LacewingliftError as error:
        print(f"lacewinglift: {error.code}: {error}", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 130


if __name__ == "__main__":
    sys.exit(main())
