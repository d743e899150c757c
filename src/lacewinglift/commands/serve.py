"""``lacewinglift serve``: run one instance."""

import argparse
import signal
import sys
import threading

from lacewinglift.errors import SettingsError
from lacewinglift.instance import Instance
from lacewinglift.log_output import start_logging
from lacewinglift.logs import log_info
from lacewinglift.settings import load_settings

EXIT_FAULTS = 1
EXIT_ADDRESS_IN_USE = 3
EXIT_REQUESTS_CUT = 6


def register(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "serve",
        help="run one instance",
        description="Run one instance in the foreground. SIGTERM or SIGINT stops it "
        "gracefully: it leaves the live list, serves until address answers have "
        "expired, finishes all requests and exits. A second signal, or "
        "stop_bound_s of the settings, ends it at once.",
        epilog="exit codes: 0 stopped, nothing cut; 1 faults in the settings; "
        "2 wrong use; 3 an address cannot be listened on; 6 stopped, requests cut",
    )
    parser.add_argument(
        "--settings",
        required=True,
        metavar="FILE",
        help="settings of this instance (JSON with comments)",
    )
    parser.add_argument(
        "--log-level",
        choices=("info", "warning", "error"),
        default="info",
        help="lowest level that is logged to standard output (default: %(default)s)",
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Run one instance until a signal stops it."""
    try:
        settings = load_settings(options.settings)
    except SettingsError as error:
        print(f"lacewinglift: {error.code}: {error}", file=sys.stderr)
        return EXIT_FAULTS
    output = start_logging(settings.instance, sys.stdout, options.log_level)
    try:
        instance = Instance(settings)
        instance.start()
    except OSError as error:
        print(
            f"lacewinglift: address: {error}; check caller_address and peer_address "
            f"in {options.settings}",
            file=sys.stderr,
        )
        return EXIT_ADDRESS_IN_USE
    code = wait_and_stop(instance)
    output.drain()
    return code


def wait_and_stop(instance: Instance) -> int:
    """Wait for a signal, stop gracefully and return the exit code.

    A second signal ends the graceful stop at once.
    """
    stop_requested = threading.Event()

    def handle_signal(number: int, frame: object) -> None:
        if stop_requested.is_set():
            instance.shutdown.force_stop()
        stop_requested.set()

    signal.signal(signal.SIGTERM, handle_signal)
    signal.signal(signal.SIGINT, handle_signal)
    stop_requested.wait()
    report = instance.stop()
    log_info("instance_stopped", cut_requests=report.cut_requests)
    return EXIT_REQUESTS_CUT if report.cut_requests else 0
