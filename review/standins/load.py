"""Clients in a process of their own: sends requests at a steady rate.

Arguments: the addresses of the instances, separated by commas; the seconds to run;
and for each kind of request RATE/GROUP/KEY/PATH: requests a second, mean number that
arrive at the same moment, key, and path. Prints one line a request: time sent
(monotonic), ID, key, and status or `-`.
"""

import http.client
import random
import sys
import threading
import time

import harness

DEADLINE_MS = 3000


def arrivals(rate, group, until):
    """Yield times of arrival until a time, in groups."""
    at = time.monotonic()
    while at < until:
        at += random.expovariate(rate / group)
        yield from [at] * random.randint(1, 2 * group - 1)


def main(addresses, seconds, kinds):
    lock = threading.Lock()

    def one(identity, address, key, path):
        host, port = address.split(":")
        headers = {
            "Host": harness.HOST_NAME,
            "Request-Id": identity,
            "Request-Deadline": str(DEADLINE_MS),
            "Authorization": f"Bearer {key}",
        }
        at = time.monotonic()
        status = "-"
        connection = http.client.HTTPConnection(host, int(port), timeout=4)
        try:
            connection.request("POST", path, headers=headers)
            response = connection.getresponse()
            response.read()
            status = response.status
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        with lock:
            print(f"{at:.4f} {identity} {key} {status}", flush=True)

    def send_kind(rate, group, key, path):
        until = time.monotonic() + seconds
        for number, at in enumerate(arrivals(rate, group, until), 1):
            time.sleep(max(at - time.monotonic(), 0))
            # Callers spread evenly over the addresses that they know.
            address = addresses[number % len(addresses)]
            identity = f"{key}-{number}"
            threading.Thread(
                target=one, args=(identity, address, key, path), daemon=True
            ).start()

    threads = [threading.Thread(target=send_kind, args=kind) for kind in kinds]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    time.sleep(DEADLINE_MS / 1000 + 1)


if __name__ == "__main__":
    rows = [each.split("/", 3) for each in sys.argv[3:]]
    main(
        sys.argv[1].split(","),
        float(sys.argv[2]),
        [(float(rate), int(group), key, f"/{path}") for rate, group, key, path in rows],
    )
