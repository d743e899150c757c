"""Timer service: a clock, and scheduled callbacks."""

import heapq
import itertools
import threading
import time
from collections.abc import Callable
from typing import Protocol

from attrs import define, field

from lacewinglift.logs import log_exception

Callback = Callable[[], None]


@define(eq=False)
class Subscription:
    """A callback that runs every `interval_s`, or once if that is None."""

    callback: Callback
    interval_s: float | None
    cancelled: bool = False

    def cancel(self) -> None:
        """Stop further runs of the callback."""
        self.cancelled = True


@define(eq=False)
class Durations:
    """Number and sum of durations."""

    count: int = 0
    total_s: float = 0.0

    def record(self, duration_s: float) -> None:
        """Count one duration."""
        self.count += 1
        self.total_s += duration_s


class Timers(Protocol):
    """Clock and scheduler shared by all components.

    Callbacks run one at a time and must not block.
    """

    delays: Durations
    """Time by which callbacks started after they were due."""

    def now(self) -> float:
        """Return monotonic time in seconds; it advances while a process is paused."""
        ...

    def wall_ms(self) -> int:
        """Return the time of day in milliseconds since 1970."""
        ...

    def subscribe(self, interval_s: float, callback: Callback) -> Subscription:
        """Run `callback` every `interval_s` seconds."""
        ...

    def call_later(self, delay_s: float, callback: Callback) -> Subscription:
        """Run `callback` once after `delay_s` seconds."""
        ...


@define(eq=False)
class _Schedule:
    entries: list[tuple[float, int, Subscription]] = field(factory=list)
    counter: "itertools.count[int]" = field(factory=itertools.count)

    def add(self, due: float, subscription: Subscription) -> None:
        heapq.heappush(self.entries, (due, next(self.counter), subscription))

    def next_due(self) -> float | None:
        return self.entries[0][0] if self.entries else None

    def pop_due(self, now: float) -> tuple[float, Subscription] | None:
        if not self.entries or self.entries[0][0] > now:
            return None
        due, _, subscription = heapq.heappop(self.entries)
        return due, subscription


class ThreadTimers:
    """Timer service that runs callbacks in its own thread."""

    def __init__(self) -> None:
        self.schedule = _Schedule()
        self.delays = Durations()
        self.condition = threading.Condition()
        self.stopped = False
        self.thread = threading.Thread(target=self._run, name="timers", daemon=True)
        self.thread.start()

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall_ms(self) -> int:
        """Return the time of day in milliseconds since 1970."""
        return time.time_ns() // 1_000_000

    def subscribe(self, interval_s: float, callback: Callback) -> Subscription:
        """Run `callback` every `interval_s` seconds."""
        return self._add(interval_s, Subscription(callback, interval_s))

    def call_later(self, delay_s: float, callback: Callback) -> Subscription:
        """Run `callback` once after `delay_s` seconds."""
        return self._add(delay_s, Subscription(callback, None))

    def stop(self) -> None:
        """Stop the thread; no callback starts afterwards."""
        with self.condition:
            self.stopped = True
            self.condition.notify()
        if threading.current_thread() is not self.thread:
            self.thread.join()

    def _add(self, delay_s: float, subscription: Subscription) -> Subscription:
        with self.condition:
            self.schedule.add(self.now() + delay_s, subscription)
            self.condition.notify()
        return subscription

    def _run(self) -> None:
        while True:
            subscription = self._wait_for_due()
            if subscription is None:
                return
            if subscription.cancelled:
                continue
            if subscription.interval_s is not None:
                # The interval starts now, so that after a pause of the process the
                # callback does not run once for every missed interval.
                self._add(subscription.interval_s, subscription)
            try:
                subscription.callback()
            except Exception:
                log_exception("timer_callback_failed")

    def _wait_for_due(self) -> Subscription | None:
        with self.condition:
            while not self.stopped:
                now = self.now()
                popped = self.schedule.pop_due(now)
                if popped is not None:
                    due, subscription = popped
                    self.delays.record(now - due)
                    return subscription
                due = self.schedule.next_due()
                timeout = None if due is None else max(due - self.now(), 0.0)
                self.condition.wait(timeout)
        return None


class ManualTimers:
    """Timer service for tests; time advances only with `advance` and `pause`.

    Parameters
    ----------
    start_s : float, default=1000.0
        First value of `now`, in seconds.
    """

    def __init__(self, start_s: float = 1000.0) -> None:
        self.time_s = start_s
        self.schedule = _Schedule()
        self.delays = Durations()

    def now(self) -> float:
        """Return the current manual time in seconds."""
        return self.time_s

    def wall_ms(self) -> int:
        """Return the manual time in milliseconds."""
        return int(self.time_s * 1000)

    def subscribe(self, interval_s: float, callback: Callback) -> Subscription:
        """Run `callback` every `interval_s` seconds of manual time."""
        return self._add(interval_s, Subscription(callback, interval_s))

    def call_later(self, delay_s: float, callback: Callback) -> Subscription:
        """Run `callback` once after `delay_s` seconds of manual time."""
        return self._add(delay_s, Subscription(callback, None))

    def pause(self, duration_s: float) -> None:
        """Advance the clock without running callbacks, as if the process was paused."""
        self.time_s += duration_s

    def advance(self, duration_s: float) -> None:
        """Advance the clock and run all callbacks that become due, in order."""
        end = self.time_s + duration_s
        while True:
            popped = self.schedule.pop_due(end)
            if popped is None:
                break
            due, subscription = popped
            self.time_s = max(self.time_s, due)
            if subscription.cancelled:
                continue
            if subscription.interval_s is not None:
                self._add(subscription.interval_s, subscription)
            subscription.callback()
        self.time_s = end

    def _add(self, delay_s: float, subscription: Subscription) -> Subscription:
        self.schedule.add(self.time_s + delay_s, subscription)
        return subscription
