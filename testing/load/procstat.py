"""Processor time and memory of processes, from /proc."""

import os
import pathlib
import time
from collections.abc import Sequence

from attrs import define, field

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, all threads together."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    # The name of the program is in parentheses and may contain spaces.
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def status_number(pid: int, name: str) -> int:
    """Return a number of /proc/PID/status, such as VmRSS in KiB or Threads."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        key, _, value = line.partition(":")
        if key == name:
            return int(value.split()[0])
    raise ValueError(f"/proc/{pid}/status has no {name}")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    return status_number(pid, "VmRSS") * 1024 / 1e6


@define(eq=False)
class CpuMeter:
    """Share of one core that each of some processes uses."""

    pids: Sequence[int]
    started_s: float = field(init=False)
    before: dict[int, float] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start the measurement."""
        self.restart()

    def restart(self) -> None:
        """Measure from now on."""
        self.started_s = time.monotonic()
        self.before = {pid: cpu_seconds(pid) for pid in self.pids}

    def shares(self) -> dict[int, float]:
        """Return processor time by elapsed time since the start, by process."""
        elapsed = time.monotonic() - self.started_s
        return {
            pid: (cpu_seconds(pid) - before) / elapsed
            for pid, before in self.before.items()
        }
