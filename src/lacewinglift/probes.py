"""Probes of targets: requests to the health check path on new connections."""

import threading
from concurrent.futures import ThreadPoolExecutor

import urllib3

from lacewinglift.logs import log_info
from lacewinglift.targets import ProbeRequest, TargetTable
from lacewinglift.timers import Timers

# Interval at which due probes are started.
PROBE_CHECK_INTERVAL_S = 0.1
# A hung target occupies a thread until its probe times out, for at most 1 s.
PROBE_THREADS = 4


class Prober:
    """Runs the due probes of a target table in a bounded number of threads.

    Parameters
    ----------
    table : TargetTable
        Source of due probes; receives their results.
    timers : Timers
        Clock, and source of the periodic checks for due probes.
    threads : int, default=PROBE_THREADS
        Maximum number of concurrent probes.
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
            # An idle connection may be dead, so each probe opens a new one.
            headers={"Connection": "close", "User-Agent": "lacewinglift-probe"},
        )
        self.subscription = timers.subscribe(
            PROBE_CHECK_INTERVAL_S, self.start_due_probes
        )

    def start_due_probes(self) -> None:
        """Start due probes while threads are free and queue the others."""
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
        """Start no more probes; running probes end within their timeout."""
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
            response = self.http.request(
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
        response.close()
        return 200 <= response.status < 400
