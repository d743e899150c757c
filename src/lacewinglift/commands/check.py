"""``lacewinglift check``: check configuration files without publishing them."""

import argparse

from lacewinglift.commands._files import (
    add_file_options,
    load_files,
    print_json,
    report_faults,
)
from lacewinglift.configuration import Configuration
from lacewinglift.errors import ConfigurationError
from lacewinglift.segments import encode_configuration


def register(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "check",
        help="check configuration files",
        description="Merge the base file and its overlays and check the result. "
        "Only files are read; every fault is printed with file and line.",
        epilog="exit codes: 0 no faults, 1 faults, 2 wrong use",
    )
    add_file_options(parser)
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Check the files and print the result."""
    try:
        configuration = load_files(options)
        # The size limits of values in the store can only be checked on the segments.
        encode_configuration(configuration, "check")
    except ConfigurationError as error:
        return report_faults(error, options.json)
    counts = count_entries(configuration)
    if options.json:
        print_json({"ok": True, "fleet": configuration.fleet.name, **counts})
    else:
        listed = ", ".join(f"{count} {name}" for name, count in counts.items())
        print(f"{configuration.fleet.name}: no faults; {listed}")
    return 0


def count_entries(configuration: Configuration) -> dict[str, int]:
    """Return how many entries of each kind the configuration has."""
    services = configuration.services.values()
    return {
        "services": len(configuration.services),
        "targets": sum(len(service.targets) for service in services),
        "routes": len(configuration.routes),
        "workspaces": len(configuration.workspaces),
        "keys": len(configuration.by_digest),
    }
