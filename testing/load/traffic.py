"""Bytes that processes exchange over TCP, from the kernel's counters by `ss`."""

import re
import subprocess
from collections.abc import Collection

from attrs import frozen

# IPv4 and TCP headers with timestamps.
SEGMENT_OVERHEAD_BYTES = 52

_PID = re.compile(r"pid=(\d+)")
_COUNTER = re.compile(r"\b(bytes_sent|bytes_received|segs_out|segs_in):(\d+)")


@frozen
class Traffic:
    """Bytes of one socket with the headers of their segments."""

    sent: int
    received: int


def peer_traffic(pids: Collection[int], ports: Collection[int]) -> dict[tuple, Traffic]:
    """Return the counters of the sockets of `pids` that end at one of `ports`.

    Returns
    -------
    dict
        By process, local and remote address.
    """
    done = subprocess.run(
        ["ss", "-tinpHO", "state", "established"],
        capture_output=True,
        text=True,
        check=True,
    )
    found = {}
    for line in done.stdout.splitlines():
        pid = _PID.search(line)
        fields = line.split()
        if pid is None or int(pid.group(1)) not in pids:
            continue
        local, remote = fields[2], fields[3]
        if not {_port(local), _port(remote)} & set(ports):
            continue
        counters = {name: int(value) for name, value in _COUNTER.findall(line)}
        found[(int(pid.group(1)), local, remote)] = _traffic(counters)
    return found


def sum_by_process(
    before: dict[tuple, Traffic], after: dict[tuple, Traffic]
) -> dict[int, Traffic]:
    """Return what each process exchanged between two readings.

    Sockets that were opened or closed in between are left out.
    """
    sums: dict[int, Traffic] = {}
    for key in before.keys() & after.keys():
        total = sums.get(key[0], Traffic(0, 0))
        sums[key[0]] = Traffic(
            total.sent + after[key].sent - before[key].sent,
            total.received + after[key].received - before[key].received,
        )
    return sums


def _port(address: str) -> int:
    return int(address.rpartition(":")[2])


def _traffic(counters: dict[str, int]) -> Traffic:
    sent = counters.get("bytes_sent", 0)
    received = counters.get("bytes_received", 0)
    return Traffic(
        sent + SEGMENT_OVERHEAD_BYTES * counters.get("segs_out", 0),
        received + SEGMENT_OVERHEAD_BYTES * counters.get("segs_in", 0),
    )
