"""Options and output shared by the commands that read configuration files."""

import argparse
import json
import pathlib
import sys

from lacewinglift.checks import listed_overlay_paths, load_configuration
from lacewinglift.configuration import Configuration
from lacewinglift.errors import ConfigurationError

EXIT_FAULTS = 1


def add_file_options(parser: argparse.ArgumentParser) -> None:
    """Add the arguments for the base file and its overlays, and `--json`."""
    parser.add_argument(
        "base", metavar="BASE", help="base file, for example base.jsonc"
    )
    parser.add_argument(
        "overlays",
        metavar="OVERLAY",
        nargs="*",
        help="overlays; without any, those of the sites that the base file lists, "
        "site-<name>.jsonc in its directory",
    )
    parser.add_argument("--json", action="store_true", help="print the result as JSON")


def load_files(options: argparse.Namespace) -> Configuration:
    """Return the configuration from the files given by the options.

    Raises
    ------
    ConfigurationError
        If the files have faults.
    """
    return load_configuration(options.base, *overlay_paths(options))


def overlay_paths(options: argparse.Namespace) -> list[pathlib.Path]:
    """Return the overlays given by the options, or those that the base file lists."""
    if options.overlays:
        return [pathlib.Path(path) for path in options.overlays]
    return listed_overlay_paths(options.base)


def print_json(result: dict[str, object]) -> None:
    """Print a machine-readable result."""
    print(json.dumps(result, indent=2))


def report_faults(error: ConfigurationError, as_json: bool) -> int:
    """Print all faults and return the exit code."""
    if as_json:
        faults = [
            {"file": fault.file, "line": fault.line, "message": fault.message}
            for fault in error.faults
        ]
        message = str(error)
        print_json(
            {"ok": False, "error": error.code, "message": message, "faults": faults}
        )
        return EXIT_FAULTS
    if not error.faults:
        print(f"lacewinglift: {error.code}: {error}", file=sys.stderr)
        return EXIT_FAULTS
    for fault in error.faults:
        print(fault, file=sys.stderr)
    count = len(error.faults)
    print(f"{count} fault{'s' if count > 1 else ''}", file=sys.stderr)
    return EXIT_FAULTS
