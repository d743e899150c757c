"""Measures the heartbeats of one instance by the size of its fleet, on simulated time.

The same callers use each fleet; operators send each instance one request a second.
Columns: instances; then number, datagrams a second and kilobytes a second of the
instances that serve callers, of the others, and of relays; kilobytes a second between
data centres; longest wait for a link.
"""

import argparse
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from testing.mesh.simulated_fleet import SimulatedFleet

LINK_BYTES_PER_S = 5_000_000 / 8
WARM_UP_S = 3.0
MEASURED_S = 3.0
# Instances that serve callers, other ones, and those that relay.
KINDS = ("active", "idle", "relay")


def measure(size: int, caller_rate_per_s: float, relay_min_instances: int) -> str:
    """Return a row of a Markdown table for a fleet of `size` instances."""
    fleet = SimulatedFleet(
        size, LINK_BYTES_PER_S, relay_min_instances=relay_min_instances
    )
    fleet.assume_request_rate(caller_rate_per_s)
    fleet.run(WARM_UP_S, caller_rate_per_s, 1.0)
    before = {each: _counts(each) for each in fleet.instances}
    fleet.run(MEASURED_S, caller_rate_per_s, 1.0)
    rates: dict[str, list[list[float]]] = {kind: [] for kind in KINDS}
    for each in fleet.instances:
        rates[_kind_of(each)].append(
            [
                (now - then) / MEASURED_S
                for now, then in zip(_counts(each), before[each], strict=True)
            ]
        )
    cells = [str(size)]
    for group in rates.values():
        count = max(len(group), 1)
        datagrams = sum(rate[0] for rate in group) / count
        kilobytes = sum(rate[1] for rate in group) / count / 1000
        cells += [str(len(group)), f"{datagrams:.0f}", f"{kilobytes:.1f}"]
    far = sum(rate[2] for group in rates.values() for rate in group)
    longest_wait_s = max(link.max_wait_s for link in fleet.links.values())
    cells += [f"{far / 1000:.1f}", f"{longest_wait_s:.2f}"]
    return " | ".join(["", *cells, ""]).strip()


def _kind_of(instance) -> str:
    if instance.relaying.relays_to:
        return "relay"
    return "active" if instance.is_active() else "idle"


def _counts(instance) -> tuple[int, int, int]:
    datagrams = instance.heartbeats.socket
    return datagrams.sent, datagrams.sent_bytes, datagrams.far_bytes


def main() -> None:
    """Print one row for each size."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("sizes", nargs="+", type=int, metavar="SIZE")
    parser.add_argument("--rate", type=float, default=344.0, help="requests a second")
    parser.add_argument(
        "--relays-from", type=int, default=60, help="instances; 0 is without relays"
    )
    arguments = parser.parse_args()
    for size in arguments.sizes:
        print(measure(size, arguments.rate, arguments.relays_from), flush=True)


if __name__ == "__main__":
    main()
