"""Callers that ask the fleet for addresses and use them as long as they may."""

import itertools
import json
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Sequence

import urllib3
from attrs import define, field, frozen

from testing.fleet.launcher import ADDRESSES_PATH

REQUEST_TIMEOUT_S = 8.0
# Part of an address answer's lifetime after which it is asked for again.
REFRESH_FRACTION = 0.8


@frozen
class Result:
    """What a caller saw of one request."""

    kind: str
    """ok, refused, error, cut, unreachable or wrong_answer."""
    at_s: float
    latency_s: float
    address: str
    detail: str = ""


class Caller:
    """A caller with one key; used by one thread.

    Parameters
    ----------
    seeds : sequence of str
        Addresses for the first question.
    key : str
        The caller's key.
    """

    def __init__(self, seeds: Sequence[str], key: str) -> None:
        self.seeds = list(seeds)
        self.headers = {"Authorization": f"Bearer {key}"}
        self.addresses: list[str] = []
        self.valid_until_s = 0.0
        self.http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S)

    def close(self) -> None:
        """Close all connections."""
        self.http.clear()

    def choose(self) -> str:
        """Return an address that may be used now."""
        if time.monotonic() >= self.valid_until_s:
            self._refresh()
        return random.choice(self.addresses)

    def request(
        self, method: str, path: str, request_id: str, body: bytes | None = None
    ) -> Result:
        """Carry out one request and check its answer."""
        started = time.monotonic()
        address = ""
        try:
            address = self.choose()
            return self._request(address, method, path, request_id, body)
        except urllib3.exceptions.NewConnectionError as error:
            kind, detail = "unreachable", str(error)
        except urllib3.exceptions.TimeoutError as error:
            kind, detail = "error", f"timeout: {error}"
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            kind, detail = "cut", repr(error)
        now = time.monotonic()
        return Result(kind, now, now - started, address, detail)

    def _request(
        self, address: str, method: str, path: str, request_id: str, body: bytes | None
    ) -> Result:
        started = time.monotonic()
        reply = self.http.request(
            method,
            f"http://{address}{path}",
            headers={**self.headers, "X-Request-Id": request_id},
            body=body,
        )
        now = time.monotonic()
        kind, detail = classify(reply, path, request_id)
        return Result(kind, now, now - started, address, detail)

    def _refresh(self) -> None:
        known = self.addresses + random.sample(self.seeds, len(self.seeds))
        for address in known:
            asked_s = time.monotonic()
            try:
                reply = self.http.request(
                    "GET",
                    f"http://{address}{ADDRESSES_PATH}",
                    headers=self.headers,
                    timeout=1.0,
                )
            except urllib3.exceptions.HTTPError:
                continue
            if reply.status == 200:
                self._take(reply.json(), asked_s)
                return
        raise ValueError("no instance gave addresses")

    def _take(self, answer: dict, asked_s: float) -> None:
        self.addresses = [entry["address"] for entry in answer["addresses"]]
        self.valid_until_s = asked_s + REFRESH_FRACTION * answer["lifetime_s"]


def classify(
    reply: urllib3.BaseHTTPResponse, path: str, request_id: str
) -> tuple[str, str]:
    """Return the kind of an answer, with details of what is not good."""
    if reply.status != 200:
        body = reply.data[:200].decode(errors="replace")
        kind = "refused" if is_refusal(reply.data) else "error"
        return kind, f"{reply.status} {body}"
    answer = reply.json()
    ids = [value for name, value in answer["headers"] if name == "X-Request-Id"]
    if answer["path"] != path or ids != [request_id]:
        return "wrong_answer", f"{path} {request_id}: {answer}"
    return "ok", answer["target"]


def is_refusal(body: bytes) -> bool:
    """Return whether a body is that of a refusal that says `not_run`."""
    try:
        return json.loads(body).get("verdict") == "not_run"
    except (ValueError, AttributeError):
        return False


@define(eq=False)
class Load:
    """Callers that send requests at a steady pace, each on a thread of its own.

    Parameters
    ----------
    make_caller : callable
        Returns a caller for the thread with a number.
    paths : sequence of (str, str)
        Methods and paths, used in turn.
    threads : int
        Number of callers.
    interval_s : float
        Time between two requests of one caller.
    """

    make_caller: Callable[[int], Caller]
    paths: Sequence[tuple[str, str]]
    threads: int
    interval_s: float
    results: list[Result] = field(factory=list)
    stopping: threading.Event = field(factory=threading.Event)
    workers: list[threading.Thread] = field(factory=list)

    def __enter__(self) -> "Load":
        for number in range(self.threads):
            worker = threading.Thread(target=self._run, args=(number,), daemon=True)
            worker.start()
            self.workers.append(worker)
        return self

    def __exit__(self, *_: object) -> None:
        self.stopping.set()
        for worker in self.workers:
            worker.join()

    def kinds(self, since_s: float = 0.0) -> Counter[str]:
        """Return how often each kind of result was seen since a time."""
        return Counter(r.kind for r in list(self.results) if r.at_s >= since_s)

    def failures(self, since_s: float = 0.0) -> list[Result]:
        """Return results that are not good."""
        return [r for r in list(self.results) if r.at_s >= since_s and r.kind != "ok"]

    def latency_s(self, quantile: float, since_s: float = 0.0) -> float:
        """Return a quantile of the latency of good answers."""
        values = sorted(
            r.latency_s
            for r in list(self.results)
            if r.at_s >= since_s and r.kind == "ok"
        )
        return values[int(quantile * (len(values) - 1))] if values else 0.0

    def _run(self, number: int) -> None:
        caller = self.make_caller(number)
        paths = itertools.cycle(self.paths)
        # Callers start at different moments of the interval.
        due = time.monotonic() + self.interval_s * number / self.threads
        for count in itertools.count():
            if self.stopping.wait(max(due - time.monotonic(), 0.0)):
                break
            method, path = next(paths)
            body = b"sale" if method == "POST" else None
            request_id = f"{method}-{number}-{count}-{random.getrandbits(48):x}"
            self.results.append(caller.request(method, path, request_id, body))
            due = max(due + self.interval_s, time.monotonic())
        caller.close()
