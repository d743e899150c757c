"""Measures how close the division of quotas comes to one ideal bucket.

The decision code is the real one; network, store and clock are the stand-ins of the
tests. Each case runs with the ledger and with a fixed division, in which each of N
instances has 1/N of rate and burst. Usage::

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
from testing.standins.quota_cell import QuotaCell, centres_of  # noqa: E402

INSTANCES = 40
WARM_UP_S = 40.0
# Tokens per second and burst; a few workspaces are large.
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
    """Requests of one workspace."""

    asked: int = 0
    admitted: int = 0
    due: int = 0
    """Admissions of an ideal bucket."""
    wrongful: int = 0
    """Refusals while the ideal bucket, used by those admitted, had a token."""


@define(eq=False)
class Division:
    """One way of dividing, with the ideal buckets that it is compared with."""

    name: str
    timers: ManualTimers
    ideal: dict[str, TokenBucket] = field(factory=dict)
    """Filled by what an ideal division would admit."""
    remaining: dict[str, TokenBucket] = field(factory=dict)
    """Used by what this division admits."""
    counts: dict[str, Count] = field(factory=dict)

    def prepare(self):
        """Make the ideal buckets, empty as those of instances that start."""
        for name, (rate, burst) in LIMITS.items():
            self.ideal[name] = TokenBucket(self.timers, rate, burst)
            self.remaining[name] = TokenBucket(self.timers, rate, burst)

    def start(self):
        """Begin counting, after the warm-up."""
        self.counts = {name: Count() for name in LIMITS}

    def note(self, workspace, admitted):
        due = self.ideal[workspace].try_acquire()
        possible = self.remaining[workspace].level() >= 1
        if admitted:
            self.remaining[workspace].try_acquire()
        if not self.counts:
            return
        count = self.counts[workspace]
        count.asked += 1
        count.due += due
        count.admitted += admitted
        count.wrongful += possible and not admitted

    def wrongful_share(self, over=()):
        """Return the part refused wrongly, of workspaces that ask within their rate."""
        counts = [count for name, count in self.counts.items() if name not in over]
        asked = sum(count.asked for count in counts)
        return sum(count.wrongful for count in counts) / asked

    def worst_served(self):
        return min(
            (count.admitted / count.due, name)
            for name, count in self.counts.items()
            if count.due
        )


class FixedDivision:
    """The baseline: a bucket of 1/N at each instance, without loans."""

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
            part = len(self.instances)
            bucket = TokenBucket(self.timers, rate / part, burst / part)
            self.buckets[instance, workspace] = bucket
        return bucket.try_acquire()


class Callers:
    """Callers of each workspace, who send to its home instances."""

    def __init__(self, cell, chance, rates):
        self.cell = cell
        self.random = chance
        self.rates = rates
        self.arrivals = []
        for name in rates:
            self.schedule(name, cell.timers.now())

    def schedule(self, name, now_s):
        rate = self.rates[name]
        if rate:
            due_s = now_s + self.random.expovariate(rate)
            heapq.heappush(self.arrivals, (due_s, name))

    def homes(self, name):
        live = {
            instance.name: instance.centre
            for instance in self.cell.instances.values()
            if instance.alive and instance.leaving_since_s is None
        }
        return home_instances(name, live, 2)[: max_homes(LIMITS[name][1])]

    def pick(self, name, skew):
        homes = self.homes(name)
        if skew is None or self.random.random() > 0.8:
            return self.random.choice(homes)
        return homes[skew % len(homes)]


def rates_of(case):
    factor = 0.9 if case != "overload" else 0.8
    rates = {name: rate * factor for name, (rate, _) in LIMITS.items()}
    if case == "overload":
        rates["w2"] = LIMITS["w2"][0] * 5.0
    return rates


def disturb(case, cell, baseline, second, chance):
    """Do what the case is about, once a second of the measured time."""
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
        name = home_instances("w1", centres_of(INSTANCES), 2)[second // 20]
        cell.instances[name].kill()
    if case == "outage" and second == 10:
        cell.store.up = False


def measure(case, duration_s, seed, load=None):
    logging.set_verbosity(logging.FATAL)
    timers = ManualTimers()
    chance = random.Random(seed)
    cell = QuotaCell(timers, chance, centres_of(INSTANCES), dict(LIMITS))
    cell.borrow_delay_s = 0.0
    baseline = FixedDivision(timers, cell.instances)
    divisions = [Division("ledger", timers), Division("fixed", timers)]
    for division in divisions:
        division.prepare()
    timers.advance(5.0)
    rates = rates_of(case)
    if load is not None:
        rates = {name: rate * load for name, (rate, _) in LIMITS.items()}
    callers = Callers(cell, chance, rates)
    started_s = timers.now() + WARM_UP_S
    end_s = started_s + duration_s
    second, writes, asked, lent = -1, 0, 0, 0
    while callers.arrivals[0][0] < end_s:
        due_s, workspace = heapq.heappop(callers.arrivals)
        timers.advance(max(due_s - timers.now(), 0.0))
        callers.schedule(workspace, due_s)
        passed = int(timers.now() - started_s)
        if second < 0 <= passed:
            for division in divisions:
                division.start()
            writes, asked, lent = cell.store.writes, cell.loans_asked, cell.tokens_lent
        if passed > second and passed >= 0:
            second = passed
            disturb(case, cell, baseline, second, chance)
        skew = max(second, 0) // 10 if case == "shifting" else None
        instance = callers.pick(workspace, skew)
        decision = cell.request(instance, workspace)
        divisions[0].note(workspace, decision is not None and decision.admitted)
        divisions[1].note(workspace, baseline.admit(instance, workspace))
    return divisions, {
        "writes": cell.store.writes - writes,
        "borrows_per_s": (cell.loans_asked - asked) / duration_s,
        "lent_per_s": (cell.tokens_lent - lent) / duration_s,
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--case", choices=CASES, action="append")
    parser.add_argument("--duration", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", type=float, help="part of the rate asked for")
    parser.add_argument("--details", action="store_true")
    options = parser.parse_args()
    print("case      division  wrongful    worst-served     writes  borrows/s  lent/s")
    for case in options.case or CASES:
        divisions, totals = measure(case, options.duration, options.seed, options.load)
        over = ("w2",) if case == "overload" else ()
        for division in divisions:
            ratio, name = division.worst_served()
            line = f"{case:9} {division.name:9} {division.wrongful_share(over):8.4%}"
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
