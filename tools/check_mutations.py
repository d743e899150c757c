"""Show that tests notice faults: apply each known fault and expect a failure.

Each mutation is applied to a scratch copy of the tree, and the tests that guard
against it are run there. A mutation that no test notices is reported, and the
exit code is 1.
"""

import argparse
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time

from attrs import frozen

ROOT = pathlib.Path(__file__).resolve().parent.parent
PARTS = ("src", "testing", "examples", "schema", "tools", "pyproject.toml")
TIMEOUT_S = 600.0


@frozen
class Mutation:
    """A fault, and the tests that must fail with it."""

    name: str
    rule: str
    file: str
    old: str
    new: str
    tests: str
    """Arguments of pytest."""


MUTATIONS = (
    Mutation(
        "echo-age-ignored",
        "key-withdrawn",
        "standing.py",
        "ECHO_MAX_AGE_S = 4.0",
        "ECHO_MAX_AGE_S = 4000.0",
        "testing/test_control.py -k cut_off_from_all",
    ),
    Mutation(
        "silent-peers-still-echoed",
        "quota",
        "members.py",
        "        if self._has_promise(record.instance, record.incarnation, now):\n"
        "            return\n",
        "",
        "testing/test_standing.py -k no_echo",
    ),
    Mutation(
        "newest-ledger-not-needed",
        "quota",
        "standing.py",
        "            or version > self.members.ledger_version\n",
        "",
        "testing/test_standing.py -k needs_newest_ledger",
    ),
    Mutation(
        "newer-generation-not-needed",
        "configuration",
        "standing.py",
        "            or generation > self.members.generation\n",
        "",
        "testing/test_standing.py -k newer_generation",
    ),
    Mutation(
        "generation-may-fall",
        "configuration",
        "distribution.py",
        "if manifest.generation <= self.manifest.generation:",
        "if manifest.generation == self.manifest.generation:",
        "testing/test_control.py -k does_not_revert",
    ),
    Mutation(
        "fence-frees-at-once",
        "quota",
        "allocator.py",
        "settled = situation.settled() - newly_fenced",
        "settled = situation.settled()",
        "testing/test_allocator.py",
    ),
    Mutation(
        "no-wait-before-release",
        "quota",
        "_fencing.py",
        "FENCE_WAIT_S = 6.0",
        "FENCE_WAIT_S = 0.0",
        "testing/test_allocator.py -k after_the_wait",
    ),
    Mutation(
        "pause-not-noticed",
        "quota",
        "standing.py",
        "if self.lapsed or self.timers.now() > self.valid_until_s:",
        "if self.lapsed:",
        "testing/test_standing.py -k after_pause",
    ),
    Mutation(
        "standing-not-checked",
        "key-withdrawn",
        "standing.py",
        '            return "isolated"\n',
        "            return None\n",
        "testing/test_processes.py -k withdrawn_meanwhile",
    ),
    Mutation(
        "urllib3-resends",
        "at-most-once",
        "retries.py",
        "def may_resend(",
        "def may_resend(*arguments, **named) -> bool:\n"
        "    return True\n\n\n"
        "def _may_resend(",
        "testing/test_processes.py -k at_most_once",
    ),
)


def copy_tree(folder: pathlib.Path) -> None:
    """Copy what tests need."""
    for part in PARTS:
        source = ROOT / part
        if source.is_dir():
            ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
            shutil.copytree(source, folder / part, ignore=ignore)
        else:
            shutil.copy(source, folder / part)


def run_tests(folder: pathlib.Path, tests: str) -> tuple[bool, str]:
    """Return whether the tests passed, and the last line of their output."""
    command = [sys.executable, "-m", "pytest", "-x", "-p", "no:cacheprovider"]
    done = subprocess.run(
        [*command, *_arguments(tests)],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    lines = [line for line in done.stdout.splitlines() if line.startswith("FAILED")]
    return done.returncode == 0, lines[0] if lines else done.stdout[-200:].strip()


def _arguments(tests: str) -> list[str]:
    path, _, keyword = tests.partition(" -k ")
    return [path, "-k", keyword] if keyword else [path]


def check(mutation: Mutation) -> bool:
    """Apply one mutation; return whether tests noticed it."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        copy_tree(folder)
        file = folder / "src" / "lacewinglift" / mutation.file
        text = file.read_text()
        if mutation.old not in text:
            print(f"{mutation.name}: the code to change is not in {mutation.file}")
            return False
        file.write_text(text.replace(mutation.old, mutation.new))
        started_s = time.monotonic()
        passed, summary = run_tests(folder, mutation.tests)
    seconds = time.monotonic() - started_s
    verdict = "NOT NOTICED" if passed else "noticed"
    print(f"{mutation.name} [{mutation.rule}] {verdict} in {seconds:.0f} s: {summary}")
    return not passed


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="mutations; all without any")
    options = parser.parse_args()
    chosen = [m for m in MUTATIONS if not options.names or m.name in options.names]
    noticed = [check(mutation) for mutation in chosen]
    print(f"{sum(noticed)} of {len(noticed)} mutations were noticed")
    return 0 if all(noticed) else 1


if __name__ == "__main__":
    sys.exit(main())
