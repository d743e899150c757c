"""Child processes that never outlive this one."""

import ctypes
import json
import os
import pathlib
import random
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Sequence
from typing import Any

from attrs import define, field

ROOT = pathlib.Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 15.0
KILL_TIMEOUT_S = 5.0
# Below the usual range of ephemeral ports, so that no outgoing connection takes a
# chosen port before its process listens on it.
_PORT_RANGE = (12000, 32000)
_PR_SET_PDEATHSIG = 1
_LIBC = ctypes.CDLL(None)


class FleetError(Exception):
    """The fleet cannot run; the message names what to look at."""


def die_with_parent() -> None:
    """Have the kernel kill this process when its parent is killed."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def child_environment() -> dict[str, str]:
    """Return an environment in which this tree's packages are found first."""
    paths = [str(ROOT / "src"), str(ROOT), os.environ.get("PYTHONPATH", "")]
    environment = dict(os.environ)
    environment["PYTHONPATH"] = os.pathsep.join(path for path in paths if path)
    return environment


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on now."""
    low, high = _PORT_RANGE
    port = random.randrange(low, high)
    ports: list[int] = []
    for _ in range(high - low):
        port = port + 1 if port + 1 < high else low
        if _is_free(port):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise FleetError(f"no {count} free ports between {low} and {high}")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def python_command(module: str, *arguments: object) -> list[str]:
    """Return the command line of a module of this tree."""
    return [sys.executable, "-m", module, *map(str, arguments)]


@define(eq=False)
class Child:
    """One child process with a log file."""

    name: str
    process: subprocess.Popen
    log: pathlib.Path
    expected_to_end: bool = False

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    def is_running(self) -> bool:
        """Return whether the process has not ended; reaps it if it has."""
        return self.process.poll() is None

    def read_ready_line(self, timeout_s: float = START_TIMEOUT_S) -> dict[str, Any]:
        """Return the JSON object that the process prints when it is ready."""
        stdout = self.process.stdout
        readable, _, _ = select.select([stdout], [], [], timeout_s)
        line = stdout.readline() if readable else b""
        if not line:
            raise FleetError(f"{self.name} did not start:\n{self.log_tail()}")
        return json.loads(line)

    def log_tail(self, lines: int = 20) -> str:
        """Return the end of the log."""
        text = self.log.read_text(errors="replace") if self.log.exists() else ""
        return "\n".join(text.splitlines()[-lines:])


@define(eq=False)
class Children:
    """All children of one run; `stop` ends every one of them."""

    folder: pathlib.Path
    children: list[Child] = field(factory=list)

    def start(
        self, name: str, command: Sequence[str], prints_ready_line: bool = False
    ) -> Child:
        """Start a process; its output goes to a log file.

        With `prints_ready_line`, standard output can be read instead.
        """
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE if prints_ready_line else output,
                stderr=output,
                env=child_environment(),
                cwd=self.folder,
                # A Ctrl-C in the terminal goes to this process only, which then
                # stops the others in order.
                start_new_session=True,
                preexec_fn=die_with_parent,
            )
        child = Child(name, process, log)
        self.children.append(child)
        return child

    def running(self) -> list[Child]:
        """Return the children that have not ended."""
        return [child for child in self.children if child.is_running()]

    def ended_unexpectedly(self) -> list[Child]:
        """Return children that ended without having been told to, once each."""
        ended = [
            child
            for child in self.children
            if not child.expected_to_end and not child.is_running()
        ]
        for child in ended:
            child.expected_to_end = True
        return ended

    def stop(self, children: Sequence[Child], grace_s: float) -> None:
        """End processes: SIGTERM, and SIGKILL after `grace_s`."""
        for child in children:
            child.expected_to_end = True
            _signal(child, signal.SIGTERM)
        deadline = time.monotonic() + grace_s
        try:
            for child in children:
                _wait(child, deadline - time.monotonic())
        finally:
            for child in children:
                _signal(child, signal.SIGKILL)
            for child in children:
                _wait(child, KILL_TIMEOUT_S)
                _close_output(child)


def _close_output(child: Child) -> None:
    if child.process.stdout is not None:
        child.process.stdout.close()


def _signal(child: Child, number: int) -> None:
    # Popen sends nothing to a process that it has reaped, so a reused id is safe.
    if child.is_running():
        child.process.send_signal(number)


def _wait(child: Child, timeout_s: float) -> None:
    try:
        child.process.wait(max(timeout_s, 0.0))
    except subprocess.TimeoutExpired:
        return
