"""Probes of targets: requests to the health path on new connections."""

import threading
from concurrent.futures import ThreadPoolExecutor

import urllib3

from lacewinglift.logs import log_info
from lacewinglift.targets import ProbeRequest, TargetTable
from lacewinglift.timers import Timers

# Interval at which due probes are looked for.
PROBE_CHECK_INTERVAL_S = 0.1
# A hung target holds a thread for the timeout of its probe, 1 s at most.
PROBE_THREADS = 4


class Prober:
    """Makes the probes that a table asks for, a bounded number at a time.

    Parameters
    ----------
    table : TargetTable
        Where due probes come from and results go to.
    timers : Timers
        Clock and source of the checks.
    threads : int, default=PROBE_THREADS
        Greatest number of probes at a time.
    """

    def __init__(
        self, table: TargetTable, timers: Timers, threads: int = PROBE_THREADS
    ) -> None:
        self.table = table
        self.timers = timers
        self.threads = threads
        self.lock = threading.Lock()
        self.running = 0
        self.waiting: list[ProbeRequest] = []
        self.stopped = False
        self.executor = ThreadPoolExecutor(threads, thread_name_prefix="probe")
        self.http = urllib3.PoolManager(
            num_pools=threads,
            retries=False,
            # An idle connection may have gone silent, so each probe opens its own.
            headers={"Connection": "close", "User-Agent": "lacewinglift-probe"},
        )
        self.subscription = timers.subscribe(
            PROBE_CHECK_INTERVAL_S, self.start_due_probes
        )

    def start_due_probes(self) -> None:
        """Start due probes while threads are free; the others wait."""
        due = self.table.probes_due()
        with self.lock:
            if self.stopped:
                return
            known = {(p.service, p.target) for p in self.waiting}
            self.waiting += [p for p in due if (p.service, p.target) not in known]
            while self.waiting and self.running < self.threads:
                self.running += 1
                self.executor.submit(self._run, self.waiting.pop(0))

    def stop(self) -> None:
        """Start no further probes; those that run end within their timeout."""
        self.subscription.cancel()
        with self.lock:
            self.stopped = True
            self.waiting.clear()
        self.executor.shutdown(wait=False, cancel_futures=True)
        self.http.clear()

    def _run(self, request: ProbeRequest) -> None:
        started_s = self.timers.now()
        try:
            ok = self._probe(request)
            self.table.record_probe_result(request, ok, self.timers.now() - started_s)
        finally:
            with self.lock:
                self.running -= 1

    def _probe(self, request: ProbeRequest) -> bool:
        try:
            answer = self.http.request(
                "GET",
                f"http://{request.address}{request.path}",
                timeout=urllib3.Timeout(total=request.timeout_s),
                redirect=False,
                preload_content=False,
            )
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            log_info(
                "probe_failed",
                service=request.service,
                target=request.target,
                error=type(error).__name__,
            )
            return False
        answer.close()
        return 200 <= answer.status < 400
