"""Open-loop load generator: requests at fixed times, whatever the answers do.

Latency counts from the time at which a request was to be sent, so a server that
stalls is charged for the requests that wait meanwhile. Run it as a process of its
own: `python -m testing.load.generator PLAN`, where PLAN is a JSON file; it prints
one JSON line with the results.
"""

import argparse
import contextlib
import itertools
import json
import pathlib
import random
import sys
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any

import urllib3
from attrs import asdict, define, field, frozen
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
DIGITS = 3
REQUEST_TIMEOUT_S = 10.0
# The interpreter's 5 ms would let one thread delay the sending of another.
SWITCH_INTERVAL_S = 0.0005


@frozen
class StreamPlan:
    """Requests of one kind.

    Parameters
    ----------
    name : str
        Name in the results.
    rate_per_s : float
        Requests per second.
    addresses : sequence of str
        Where requests go, in turn.
    path, method : str
        What is asked for.
    headers : dict
        Added to each request.
    workers : int
        Threads, so also the largest number of requests in progress.
    poisson : bool
        Random instead of equal distances.
    """

    name: str
    rate_per_s: float
    addresses: Sequence[str]
    path: str
    method: str = "GET"
    headers: dict[str, str] = field(factory=dict)
    workers: int = 16
    poisson: bool = True


@frozen
class LoadPlan:
    """All streams of one generator process."""

    start_s: float
    """Time on the monotonic clock, which all processes of a machine share."""
    duration_s: float
    warm_up_s: float
    """Requests of this time are sent and not counted."""
    seed: int
    streams: Sequence[StreamPlan]

    def to_json(self) -> str:
        """Return the plan as JSON."""
        return json.dumps(asdict(self))

    @classmethod
    def from_json(cls, text: str) -> "LoadPlan":
        """Return the plan that `to_json` wrote."""
        value = json.loads(text)
        streams = [StreamPlan(**each) for each in value.pop("streams")]
        return cls(streams=streams, **value)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, DIGITS)


def arrivals(stream: StreamPlan, plan: LoadPlan) -> Iterator[float]:
    """Yield the times of all requests of a stream, in seconds from the start."""
    pace = random.Random(f"{plan.seed}-{stream.name}")
    mean = 1 / stream.rate_per_s
    at = mean * pace.random()
    end = plan.warm_up_s + plan.duration_s
    while at < end:
        yield at
        at += pace.expovariate(1 / mean) if stream.poisson else mean


@define(eq=False)
class StreamRun:
    """One stream while it is sent."""

    stream: StreamPlan
    plan: LoadPlan
    histogram: HdrHistogram = field(factory=new_histogram)
    kinds: Counter[str] = field(factory=Counter)
    late: HdrHistogram = field(factory=new_histogram)
    """By how much requests were sent too late: the generator's own error."""
    lock: threading.Lock = field(factory=threading.Lock)
    threads: list[threading.Thread] = field(factory=list)
    schedule: Iterator[float] = field(init=False)
    targets: Iterator[str] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Prepare the schedule."""
        self.schedule = arrivals(self.stream, self.plan)
        self.targets = itertools.cycle(self.stream.addresses)

    def start(self) -> None:
        """Start the threads."""
        for _ in range(self.stream.workers):
            thread = threading.Thread(target=self._work, daemon=True)
            thread.start()
            self.threads.append(thread)

    def join(self) -> None:
        """Wait for the last answer."""
        for thread in self.threads:
            thread.join()

    def result(self) -> dict[str, Any]:
        """Return counts and histograms."""
        return {
            "kinds": dict(self.kinds),
            "histogram": self.histogram.encode().decode(),
            "late": self.late.encode().decode(),
        }

    def _work(self) -> None:
        with urllib3.PoolManager(
            num_pools=1000, retries=False, timeout=REQUEST_TIMEOUT_S
        ) as pool:
            while True:
                with self.lock:
                    at = next(self.schedule, None)
                    address = next(self.targets)
                if at is None:
                    return
                self._send(pool, address, at)

    def _send(self, pool: urllib3.PoolManager, address: str, at: float) -> None:
        due = self.plan.start_s + at
        delay = due - time.monotonic()
        if delay > 0:
            time.sleep(delay)
        sent = time.monotonic()
        kind = self._ask(pool, address)
        done = time.monotonic()
        if at < self.plan.warm_up_s:
            return
        with self.lock:
            self.kinds[kind] += 1
            self.late.record_value(_microseconds(sent - due))
            if kind == "ok":
                self.histogram.record_value(_microseconds(done - due))

    def _ask(self, pool: urllib3.PoolManager, address: str) -> str:
        url = f"http://{address}{self.stream.path}"
        try:
            reply = pool.request(
                self.stream.method, url, headers=self.stream.headers or None
            )
        except urllib3.exceptions.HTTPError as error:
            return type(error).__name__
        if reply.status == 200:
            return "ok"
        with contextlib.suppress(ValueError, AttributeError, KeyError):
            return f"{reply.status} {reply.json()['code']}"
        return str(reply.status)


def _microseconds(duration_s: float) -> int:
    return min(max(int(duration_s * 1e6), 1), MAX_LATENCY_US)


def run_plan(plan: LoadPlan) -> dict[str, Any]:
    """Send all streams of a plan; return the results by name."""
    sys.setswitchinterval(SWITCH_INTERVAL_S)
    runs = [StreamRun(stream, plan) for stream in plan.streams]
    for run in runs:
        run.start()
    for run in runs:
        run.join()
    return {run.stream.name: run.result() for run in runs}


def main() -> None:
    """Run the plan of a file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("plan", type=pathlib.Path)
    options = parser.parse_args()
    print(json.dumps(run_plan(LoadPlan.from_json(options.plan.read_text()))))


if __name__ == "__main__":
    main()
