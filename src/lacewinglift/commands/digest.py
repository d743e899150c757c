"""``lacewinglift digest``: print the digest of a key for the configuration."""

import argparse
import sys

from lacewinglift.configuration import digest_key

MAX_KEY_BYTES = 4096
EXIT_REFUSED = 1


def register(subparsers: argparse._SubParsersAction) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "digest",
        help="print the digest of a key",
        description="Read a key from standard input and print the digest for "
        "key_digests in the base file. A line end after the key is ignored.",
        epilog="exit codes: 0 done, 1 the input is no usable key, 2 wrong use",
    )
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> int:
    """Print the digest of the key on standard input."""
    # One byte above the limit, and a line end of up to two bytes.
    data = sys.stdin.buffer.read(MAX_KEY_BYTES + 3)
    key = data.removesuffix(b"\n").removesuffix(b"\r")
    reason = _invalid_key_reason(key)
    if reason:
        print(f"lacewinglift: {reason}", file=sys.stderr)
        return EXIT_REFUSED
    print(digest_key(key.decode("utf-8", "surrogateescape")).hex())
    return 0


def _invalid_key_reason(key: bytes) -> str | None:
    if not key:
        return "standard input contains no key"
    if len(key) > MAX_KEY_BYTES:
        return f"the key is longer than {MAX_KEY_BYTES} bytes"
    if any(byte <= 0x20 or byte >= 0x7F for byte in key):
        return (
            "the key may contain only visible ASCII characters, no spaces or line ends"
        )
    return None
