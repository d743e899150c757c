"""What was sent, answered and run, for the check and for `record.txt`."""

import threading
import time

from attrs import frozen


@frozen
class Run:
    """A request that a backend has begun to work on."""

    at_s: float
    request_id: str
    backend: str
    state: str
    tenant: str | None
    path: str


@frozen
class Answer:
    """A request of a client and its answer; status 0 stands for none."""

    sent_s: float
    ended_s: float
    request_id: str
    instance: str
    key: str
    path: str
    status: int
    body: bytes
    headers: dict


class Record:
    """Collects events of all threads; times are in seconds since its start."""

    def __init__(self):
        self.began_s = time.monotonic()
        self.lock = threading.Lock()
        self.lines = []
        self.runs = []
        self.answers = []

    def now(self):
        return time.monotonic() - self.began_s

    def since_start(self, monotonic_s):
        return monotonic_s - self.began_s

    def note(self, text, at_s=None):
        with self.lock:
            self.lines.append((self.now() if at_s is None else at_s, text))

    def run(self, request_id, backend, state, tenant, path):
        run = Run(self.now(), request_id, backend, state, tenant, path)
        with self.lock:
            self.runs.append(run)
        self.note(f"run     {request_id} at {backend} ({state}) for {tenant}", run.at_s)

    def answer(self, answer):
        with self.lock:
            self.answers.append(answer)
        self.note(f"sent    {answer.request_id} to {answer.instance}", answer.sent_s)
        self.note(
            f"answer  {answer.request_id} {answer.status or 'none'}", answer.ended_s
        )

    def write(self, path, verdict):
        with self.lock, open(path, "w") as file:
            for at_s, text in sorted(self.lines):
                file.write(f"{at_s:9.3f} {text}\n")
            file.write(f"{verdict}\n")
