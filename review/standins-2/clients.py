"""Stand-ins for clients, which ask the directory where to connect."""

import http.client
import itertools
import threading
import time


class Clients:
    """Clients of one tenant that together send requests at a fixed rate.

    Each request goes out on a connection of its own, to one of the addresses that the
    directory of some machine has named last.
    """

    def __init__(self, deployment, record, host, path, key, per_s, senders=30):
        self.deployment, self.record = deployment, record
        self.host, self.path, self.key = host, path, key
        self.per_s, self.senders = per_s, senders
        self.numbers = itertools.count(1)
        self.sent = {}
        self.outcomes = {}
        self.answered = {}
        self.stopped = threading.Event()
        self.threads = [
            threading.Thread(target=self._send_all, args=(n,), daemon=True)
            for n in range(senders)
        ]

    def start(self):
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join(5.0)

    def _send_all(self, number):
        hosts = self.deployment.hosts
        interval_s = self.senders / self.per_s
        due = time.monotonic() + interval_s * number / self.senders
        addresses, asked = [], -10.0
        for turn in itertools.count(number):
            if self.stopped.wait(max(due - time.monotonic(), 0.0)):
                return
            due += interval_s
            if time.monotonic() - asked > 2.0:
                host = hosts[number % len(hosts)]
                addresses = self.deployment.resolve(host, self.host) or addresses
                asked = time.monotonic()
            if addresses:
                self._send(addresses[turn % len(addresses)])

    def _send(self, address):
        request_id = f"{next(self.numbers):016x}"
        self.sent[request_id] = time.monotonic()
        connection = http.client.HTTPConnection(address, timeout=4)
        headers = {
            "Host": self.host,
            "Request-Id": request_id,
            "Request-Deadline": "3000",
            "Authorization": f"Bearer {self.key}",
        }
        try:
            connection.request("POST", self.path, b"one donkey", headers)
            answer = connection.getresponse()
            answer.read()
            outcome = answer.status
        except (OSError, http.client.HTTPException) as error:
            outcome = repr(error)
        finally:
            connection.close()
        self.outcomes[request_id] = outcome
        self.answered[request_id] = time.monotonic()
        self.record.write(f"sent {request_id} to {address}: {outcome}")
