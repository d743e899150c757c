"""Measures the cost of logging: CPU time, latency, lines, and a stalled reader.

Each case runs the request handling of an instance in its own process, with targets and
callers in the same process, and sends requests at a constant rate.
"""

import argparse
import json
import os
import pathlib
import statistics
import subprocess
import sys
import threading
import time

from attrs import asdict, define

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT)]

from lacewinglift import logs  # noqa: E402
from lacewinglift.log_output import start_logging  # noqa: E402
from testing.standins.proxy_harness import request_bytes, running_proxy  # noqa: E402
from testing.standins.scripted_targets import (  # noqa: E402
    ScriptedTarget,
    make_response,
    serve_responses,
)

CASES = ("off", "on", "stalled")
CALLER_COUNT = 4
WARM_UP_REQUESTS = 50


class RejectAllLines(logs.LogRateLimiter):
    """Rate limiter that admits no line."""

    def admit(self, event: str) -> bool:
        return False


@define
class CaseResult:
    """Measurements of one case."""

    case: str
    rate_per_s: float
    requests: int
    processor_us: float
    """CPU time per request in microseconds, including callers and targets."""
    p50_ms: float
    p99_ms: float
    lines_per_s: float
    left_out: int
    dropped: int


def send_requests(
    proxy, count: int, interval_s: float, latencies_s: list[float]
) -> None:
    with proxy.connect() as sock:
        due_s = time.monotonic()
        for number in range(count):
            time.sleep(max(due_s - time.monotonic(), 0.0))
            due_s += interval_s
            started_s = time.monotonic()
            headers = [f"X-Request-Id: {threading.get_ident()}-{number}"]
            sock.sendall(request_bytes("GET", "/cassa", *headers))
            sock.recv(65536)
            latencies_s.append(time.monotonic() - started_s)


def run_callers(proxy, rate_per_s: float, duration_s: float) -> list[float]:
    latencies_s: list[float] = []
    count = int(rate_per_s * duration_s / CALLER_COUNT)
    threads = [
        threading.Thread(
            target=send_requests,
            args=(proxy, count, CALLER_COUNT / rate_per_s, latencies_s),
        )
        for _ in range(CALLER_COUNT)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return latencies_s


def run_case(case: str, rate_per_s: float, duration_s: float) -> CaseResult:
    output = start_logging("a", sys.stdout, "error" if case == "off" else "info")
    if case == "off":
        logs.LOG_RATE_LIMITER = RejectAllLines()
    target = ScriptedTarget(serve_responses(lambda seen: make_response(200, b"sold")))
    with running_proxy([target.address]) as proxy:
        run_callers(proxy, rate_per_s, WARM_UP_REQUESTS / rate_per_s)
        lines_before = sum(
            written for written, _ in logs.LOG_RATE_LIMITER.totals().values()
        )
        started_s = time.process_time()
        latencies_s = run_callers(proxy, rate_per_s, duration_s)
        cpu_time_s = time.process_time() - started_s
        totals = logs.LOG_RATE_LIMITER.totals().values()
    target.close()
    percentiles = statistics.quantiles(latencies_s, n=100)
    return CaseResult(
        case,
        rate_per_s,
        len(latencies_s),
        cpu_time_s / len(latencies_s) * 1e6,
        percentiles[49] * 1000,
        percentiles[98] * 1000,
        (sum(written for written, _ in totals) - lines_before) / duration_s,
        sum(left_out for _, left_out in totals),
        output.dropped,
    )


def measure(case: str, options: argparse.Namespace, rate_per_s: float) -> dict:
    """Run a case in a subprocess; its output is read unless the case is `stalled`."""
    command = [sys.executable, __file__, "--case", case, "--rate", str(rate_per_s)]
    command += ["--duration", str(options.duration)]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True
    )
    if case != "stalled":
        drain = threading.Thread(target=process.stdout.read, daemon=True)
        drain.start()
    result = json.loads(process.stderr.readline())
    process.kill()
    process.wait()
    return result


def parse_options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=20.0, help="requests a second")
    parser.add_argument("--duration", type=float, default=10.0, help="seconds a case")
    parser.add_argument("--case", choices=CASES, help="run one case in this process")
    return parser.parse_args()


def main() -> int:
    options = parse_options()
    if options.case is not None:
        result = run_case(options.case, options.rate, options.duration)
        print(json.dumps(asdict(result)), file=sys.stderr, flush=True)
        os._exit(0)
    for rate_per_s in (options.rate, options.rate * 10):
        for case in CASES:
            print(json.dumps(measure(case, options, rate_per_s)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
