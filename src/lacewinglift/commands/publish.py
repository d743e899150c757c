"""``lacewinglift publish``: check configuration files and publish them."""

import argparse
import asyncio
import getpass
import sys

from lacewinglift.commands._files import (
    add_file_options,
    load_files,
    print_json,
    report_faults,
)
from lacewinglift.configuration import Configuration
from lacewinglift.errors import (
    ConfigurationError,
    LacewingliftError,
    PublishConflictError,
    StoreUnavailableError,
)
from lacewinglift.publisher import Publisher, PublishReport
from lacewinglift.store import Store
from lacewinglift.timers import ThreadTimers

EXIT_REFUSED = 1
EXIT_UNAVAILABLE = 3
EXIT_CONFLICT = 4
EXIT_INCOMPLETE = 5
DEFAULT_WAIT_S = 9.0
"""Time within which an accepted configuration should be in force everywhere."""

EPILOG = (
    "exit codes: 0 in force on all live instances; 1 faults in the files, or refused "
    "by the store; 2 wrong use; 3 the store does not answer; 4 another operator "
    "published first; 5 accepted, but not yet in force on all live instances. "
    "To withdraw a key, remove its digest from the base file and publish."
)


def register(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "publish",
        help="check configuration files and put them into force",
        description="Check the files, publish them as the next generation, and wait "
        "until all live instances have it.",
        epilog=EPILOG,
    )
    add_file_options(parser)
    parser.add_argument(
        "--store", required=True, metavar="HOST:PORT", help="key-value service"
    )
    parser.add_argument(
        "--peer",
        action="append",
        default=[],
        metavar="HOST:PORT",
        help="peer address of an instance to ask and to offer the configuration to; "
        "may be repeated; those in the platform's list are found without it",
    )
    parser.add_argument(
        "--author",
        help="name shown to operators who publish at the same time "
        "(default: the login name)",
    )
    parser.add_argument(
        "--wait",
        type=_parse_wait_s,
        default=DEFAULT_WAIT_S,
        metavar="SECONDS",
        help="how long to wait for the instances (default: %(default)s)",
    )
    parser.add_argument(
        "--expect-generation",
        type=int,
        metavar="N",
        help="publish only if generation N is in the store, 0 for none; without it "
        "whatever is there is replaced",
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Publish the files and print the outcome."""
    try:
        configuration = load_files(options)
        report = asyncio.run(_publish(options, configuration))
    except ConfigurationError as error:
        return report_faults(error, options.json)
    except PublishConflictError as error:
        return _report_error(error, options.json, EXIT_CONFLICT)
    except StoreUnavailableError as error:
        return _report_error(error, options.json, EXIT_UNAVAILABLE)
    except LacewingliftError as error:
        return _report_error(error, options.json, EXIT_REFUSED)
    return _report(report, options)


async def _publish(
    options: argparse.Namespace, configuration: Configuration
) -> PublishReport:
    timers = ThreadTimers()
    store = Store(options.store, timers)
    try:
        publisher = Publisher(store, configuration.fleet.name, options.peer, timers)
        return await publisher.publish(
            configuration,
            options.author or _login_name(),
            options.wait,
            options.expect_generation,
        )
    finally:
        store.close()
        timers.stop()


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def _parse_wait_s(text: str) -> float:
    seconds = float(text)
    if not 0 <= seconds <= 3600:
        raise argparse.ArgumentTypeError("must be 0 to 3600 seconds")
    return seconds


def _report(report: PublishReport, options: argparse.Namespace) -> int:
    if options.json:
        print_json(
            {
                "ok": not report.missing,
                "generation": report.generation,
                "unchanged": report.unchanged,
                "changes": report.changes.as_dict(),
                "in_force": report.in_force,
                "missing": report.missing,
            }
        )
    else:
        _print_report(report)
    return EXIT_INCOMPLETE if report.missing else 0


def _print_report(report: PublishReport) -> None:
    if report.unchanged:
        print(f"generation {report.generation} has this configuration already")
    else:
        print(f"generation {report.generation} accepted; changed: {report.changes}")
    print(f"in force on {len(report.in_force)} instances")
    if not report.in_force and not report.missing:
        print("no live instance is known; instances get it when they start")
    if report.missing:
        names = ", ".join(report.missing)
        print(f"not yet in force on {names}", file=sys.stderr)


def _report_error(error: LacewingliftError, as_json: bool, code: int) -> int:
    if as_json:
        print_json({"ok": False, "error": error.code, "message": str(error)})
    else:
        print(f"lacewinglift: {error.code}: {error}", file=sys.stderr)
    return code
