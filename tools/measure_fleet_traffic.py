"""Measures the heartbeats of one instance by the size of its fleet, on simulated time.

The same callers use each fleet; operators send each instance one request a second.
"""

import argparse
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from testing.mesh.simulated_fleet import SimulatedFleet

LINK_BYTES_PER_S = 5_000_000 / 8
WARM_UP_S = 3.0
MEASURED_S = 3.0


def measure(size: int, caller_rate_per_s: float) -> str:
    """Return a row of a Markdown table for a fleet of `size` instances."""
    fleet = SimulatedFleet(size, LINK_BYTES_PER_S)
    fleet.assume_request_rate(caller_rate_per_s)
    fleet.run(WARM_UP_S, caller_rate_per_s, 1.0)
    before = {each: _counts(each) for each in fleet.instances}
    far_before = {each: _far_bytes(each) for each in fleet.instances}
    fleet.run(MEASURED_S, caller_rate_per_s, 1.0)
    cells = [str(size)]
    for active in (True, False):
        rates = [
            [
                (now - then) / MEASURED_S
                for now, then in zip(_counts(each), before[each], strict=True)
            ]
            for each in fleet.instances
            if each.is_active() is active
        ]
        datagrams = sum(rate[0] for rate in rates) / max(len(rates), 1)
        kilobytes = sum(rate[1] for rate in rates) / max(len(rates), 1) / 1000
        cells += [str(len(rates)), f"{datagrams:.0f}", f"{kilobytes:.1f}"]
    far = sum(_far_bytes(each) - far_before[each] for each in fleet.instances)
    cells.append(f"{far / MEASURED_S / 1000:.1f}")
    longest_wait_s = max(link.max_wait_s for link in fleet.links.values())
    return " | ".join(["", *cells, f"{longest_wait_s:.2f}", ""]).strip()


def _counts(instance) -> tuple[int, int]:
    datagrams = instance.heartbeats.socket
    return datagrams.sent, datagrams.sent_bytes


def _far_bytes(instance) -> int:
    return instance.heartbeats.socket.far_bytes


def main() -> None:
    """Print one row for each size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("sizes", nargs="+", type=int, metavar="SIZE")
    parser.add_argument("--rate", type=float, default=344.0, help="requests a second")
    arguments = parser.parse_args()
    for size in arguments.sizes:
        print(measure(size, arguments.rate), flush=True)


if __name__ == "__main__":
    main()
