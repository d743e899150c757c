"""Compares the division of quotas among instances with one ideal token bucket.

The decision code is the real one; network, store and clock are the stand-ins of the
tests. Each case runs with the ledger and with a fixed division, in which each of N
instances has 1/N of the rate and burst. Usage::

    python tools/measure_quota.py [--case NAME] [--duration 60] [--seed 1]
"""

import argparse
import heapq
import random
import sys
from pathlib import Path

from absl import logging
from attrs import define, field

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "src")]

from lacewinglift.buckets import TokenBucket  # noqa: E402
from lacewinglift.homes import home_instances, max_homes  # noqa: E402
from lacewinglift.timers import ManualTimers  # noqa: E402
from testing.standins.quota_cell import QuotaCell, assign_data_centres  # noqa: E402

INSTANCES = 40
WARM_UP_S = 40.0
# Tokens per second and burst of each workspace. A few workspaces are large.
LIMITS = {
    "w1": (400, 400),
    "w2": (200, 200),
    "w3": (100, 100),
    "w4": (20, 20),
    "w5": (20, 20),
    "w6": (10, 20),
    "w7": (5, 10),
    "w8": (2, 10),
}
CASES = (
    "steady",
    "shifting",
    "overload",
    "replaced",
    "killed",
    "outage",
)


@define
class Count:
    """Counts of requests of one workspace."""

    asked: int = 0
    admitted: int = 0
    due: int = 0
    """Requests that an ideal bucket would have admitted."""
    wrongful: int = 0
    """Requests refused although the admitted ones left a token in an ideal bucket."""


@define(eq=False)
class DivisionResult:
    """Counts of one way to divide quotas, compared with ideal buckets."""

    name: str
    timers: ManualTimers
    ideal_buckets: dict[str, TokenBucket] = field(factory=dict)
    """Buckets from which each request takes a token, as with an ideal division."""
    remaining_buckets: dict[str, TokenBucket] = field(factory=dict)
    """Buckets from which only the requests admitted by this division take a token."""
    counts: dict[str, Count] = field(factory=dict)

    def create_buckets(self):
        """Create the ideal buckets, empty like those of instances that start."""
        for name, (rate, burst) in LIMITS.items():
            self.ideal_buckets[name] = TokenBucket(self.timers, rate, burst)
            self.remaining_buckets[name] = TokenBucket(self.timers, rate, burst)

    def start_counting(self):
        """Start counting, after the warm-up."""
        self.counts = {name: Count() for name in LIMITS}

    def record(self, workspace, admitted):
        """Count one request and take its token from the ideal buckets."""
        due = self.ideal_buckets[workspace].try_acquire()
        possible = self.remaining_buckets[workspace].level() >= 1
        if admitted:
            self.remaining_buckets[workspace].try_acquire()
        if not self.counts:
            return
        count = self.counts[workspace]
        count.asked += 1
        count.due += due
        count.admitted += admitted
        count.wrongful += possible and not admitted

    def wrongful_fraction(self, overloaded=()):
        """Return the fraction refused wrongly, leaving out `overloaded` workspaces."""
        counts = [
            count for name, count in self.counts.items() if name not in overloaded
        ]
        asked = sum(count.asked for count in counts)
        return sum(count.wrongful for count in counts) / asked

    def worst_served(self):
        """Return the lowest ratio of actual to ideal admissions, and its workspace."""
        return min(
            (count.admitted / count.due, name)
            for name, count in self.counts.items()
            if count.due
        )


class FixedDivision:
    """Baseline: each instance has a bucket with 1/N of the quota, without loans."""

    def __init__(self, timers, instances):
        self.timers = timers
        self.instances = instances
        self.buckets = {}

    def restart(self, instance):
        for workspace in LIMITS:
            self.buckets.pop((instance, workspace), None)

    def admit(self, instance, workspace):
        bucket = self.buckets.get((instance, workspace))
        if bucket is None:
            rate, burst = LIMITS[workspace]
            instance_count = len(self.instances)
            bucket = TokenBucket(
                self.timers, rate / instance_count, burst / instance_count
            )
            self.buckets[instance, workspace] = bucket
        return bucket.try_acquire()


class Callers:
    """Random requests of each workspace, sent to its home instances.

    With a preferred index, 80 % of the requests go to the home at that index and
    the rest to a random home.
    """

    def __init__(self, cell, rng, rates):
        self.cell = cell
        self.random = rng
        self.rates = rates
        self.arrivals = []
        for name in rates:
            self.schedule_next(name, cell.timers.now())

    def schedule_next(self, name, now_s):
        rate = self.rates[name]
        if rate:
            arrival_s = now_s + self.random.expovariate(rate)
            heapq.heappush(self.arrivals, (arrival_s, name))

    def homes(self, name):
        live = {
            instance.name: instance.data_centre
            for instance in self.cell.instances.values()
            if instance.alive and instance.leaving_since_s is None
        }
        return home_instances(name, live, 2)[: max_homes(LIMITS[name][1])]

    def choose_instance(self, name, preferred_index):
        homes = self.homes(name)
        if preferred_index is None or self.random.random() > 0.8:
            return self.random.choice(homes)
        return homes[preferred_index % len(homes)]


def request_rates(case):
    factor = 0.9 if case != "overload" else 0.8
    rates = {name: rate * factor for name, (rate, _) in LIMITS.items()}
    if case == "overload":
        rates["w2"] = LIMITS["w2"][0] * 5.0
    return rates


def inject_fault(case, cell, baseline, second, rng):
    """Apply the disturbance of a case; called once per second of measured time."""
    names = list(cell.instances)
    if case == "replaced" and second % 5 == 0:
        instance = cell.instances[names[(second // 5) % len(names)]]
        instance.leave()
    if case == "replaced":
        for instance in cell.instances.values():
            if not instance.alive:
                instance.boot()
                baseline.restart(instance.name)
    if case == "killed" and second in (10, 30):
        name = home_instances("w1", assign_data_centres(INSTANCES), 2)[second // 20]
        cell.instances[name].kill()
    if case == "outage" and second == 10:
        cell.store.up = False


def measure(case, duration_s, seed, load=None):
    logging.set_verbosity(logging.FATAL)
    timers = ManualTimers()
    rng = random.Random(seed)
    cell = QuotaCell(timers, rng, assign_data_centres(INSTANCES), dict(LIMITS))
    cell.borrow_delay_s = 0.0
    baseline = FixedDivision(timers, cell.instances)
    divisions = [DivisionResult("ledger", timers), DivisionResult("fixed", timers)]
    for division in divisions:
        division.create_buckets()
    timers.advance(5.0)
    rates = request_rates(case)
    if load is not None:
        rates = {name: rate * load for name, (rate, _) in LIMITS.items()}
    callers = Callers(cell, rng, rates)
    started_s = timers.now() + WARM_UP_S
    end_s = started_s + duration_s
    second, writes, loan_requests, tokens_lent = -1, 0, 0, 0
    while callers.arrivals[0][0] < end_s:
        arrival_s, workspace = heapq.heappop(callers.arrivals)
        timers.advance(max(arrival_s - timers.now(), 0.0))
        callers.schedule_next(workspace, arrival_s)
        elapsed_s = int(timers.now() - started_s)
        if second < 0 <= elapsed_s:
            for division in divisions:
                division.start_counting()
            writes, loan_requests, tokens_lent = (
                cell.store.writes,
                cell.loan_requests,
                cell.tokens_lent,
            )
        if elapsed_s > second and elapsed_s >= 0:
            second = elapsed_s
            inject_fault(case, cell, baseline, second, rng)
        preferred_index = max(second, 0) // 10 if case == "shifting" else None
        instance = callers.choose_instance(workspace, preferred_index)
        decision = cell.request(instance, workspace)
        divisions[0].record(workspace, decision is not None and decision.admitted)
        divisions[1].record(workspace, baseline.admit(instance, workspace))
    return divisions, {
        "writes": cell.store.writes - writes,
        "borrows_per_s": (cell.loan_requests - loan_requests) / duration_s,
        "lent_per_s": (cell.tokens_lent - tokens_lent) / duration_s,
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--case", choices=CASES, action="append")
    parser.add_argument("--duration", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", type=float, help="requests as a fraction of the rate")
    parser.add_argument("--details", action="store_true")
    options = parser.parse_args()
    print("case      division  wrongful    worst-served     writes  borrows/s  lent/s")
    for case in options.case or CASES:
        divisions, totals = measure(case, options.duration, options.seed, options.load)
        overloaded = ("w2",) if case == "overload" else ()
        for division in divisions:
            ratio, name = division.worst_served()
            line = (
                f"{case:9} {division.name:9} "
                f"{division.wrongful_fraction(overloaded):8.4%}"
            )
            line += f"    {ratio:.4f} ({name})"
            if division.name == "ledger":
                line += f"    {totals['writes']:6}"
                line += f"  {totals['borrows_per_s']:9.1f}"
                line += f"  {totals['lent_per_s']:6.1f}"
            print(line, flush=True)
            if options.details:
                for workspace, count in division.counts.items():
                    print("         ", workspace, count, flush=True)


if __name__ == "__main__":
    main()
