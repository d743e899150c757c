"""A fleet of adapter processes, each on a loopback address of its own."""

import contextlib
import http.client
import json
import os
import pathlib
import subprocess
import sys

from testing.standins.platform_store import PlatformStoreStandIn
from testing.standins.proxy_harness import wait_until
from testing.standins.scripted_targets import (
    ScriptedTarget,
    make_response,
    serve_responses,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# One loopback address per instance, since all instances listen on the same ports.
HOSTS = ("127.0.3.1", "127.0.3.2", "127.0.3.3")
PORTS = {"frontend": 18388, "ready": 18384, "control": 18381, "directory": 18383}
START_TIMEOUT_S = 20.0


def make_sold_response(received):
    """Return a successful response that echoes the request ID."""
    ids = [f"Request-Id: {value}" for value in received.values("request-id")]
    return make_response(200, b"sold", "Server-Signature: s", *ids)


class PlatformFleet:
    """Instances on loopback addresses with a shared store and one target.

    Parameters
    ----------
    folder : pathlib.Path
        Directory for the settings files and logs.
    """

    def __init__(self, folder):
        self.folder = folder
        self.store = PlatformStoreStandIn()
        self.respond = make_sold_response
        self.target = ScriptedTarget(serve_responses(lambda seen: self.respond(seen)))
        self.processes = {}
        self.store_addresses = dict.fromkeys(HOSTS, self.store.address)
        self.put_configuration(1)
        self.put_target("i-1")

    def put_configuration(self, version, rate_per_s=100, **route):
        specification = {
            "host": "shop.example",
            "prefix": "/sales/",
            "kind": "unsafe",
            "timeout_ms": 14_000,
            "service": "tills",
            "attempts": 2,
            **route,
        }
        resources = [
            {
                "resource_kind": "routes",
                "metadata": {"name": "r"},
                "specification": specification,
            },
            {
                "resource_kind": "tenants",
                "metadata": {"name": "house"},
                "specification": {"api_keys": ["key-1"], "rate_per_s": rate_per_s},
            },
        ]
        fields = {"version": f"r{version}", "resources": resources}
        self.store.put("op/config", fields)

    def put_target(self, name, state="ready", sequence=1):
        info = {"service": "tills", "version": "v1", "zone": "milano", "slots": 4}
        status = {"state": state, "sequence": sequence, "warmup_remaining_ms": 0}
        entry = {
            "address": self.target.address,
            "born": 1,
            "server_info": info,
            "status": status,
        }
        self.store.put(f"servers/{name}", entry)

    def start(self, host, *arguments):
        """Start the process of a host, by default from the adapter's script."""
        path = self.folder / f"{host}.json"
        fields = {
            "node": f"frontend-{host}",
            "ip_address": host,
            "zone": "milano",
            "listen_addresses": {k: f"{host}:{v}" for k, v in PORTS.items()},
            "internal_port_range": [17560, 17575],
            "seeds": [f"{HOSTS[0]}:{PORTS['control']}"],
            "bounds": ["grace_s=6", "budget_ratio=0.2", "budget_slack=20"],
            "platform": {"address": self.store_addresses[host]},
        }
        path.write_text(json.dumps(fields))
        log = open(self.folder / f"{host}.log", "ab")  # noqa: SIM115
        self.processes[host] = subprocess.Popen(
            [sys.executable, *(arguments or ["platform/serve.py"])],
            cwd=ROOT,
            env={**os.environ, "LACEWINGLIFT_NODE_FILE": str(path)},
            stdout=log,
            stderr=log,
        )
        return self.processes[host]

    def start_all(self):
        for host in HOSTS:
            self.start(host)
        for host in HOSTS:
            self.wait_ready(host)

    def wait_ready(self, host):
        assert wait_until(lambda: self.is_ready(host), START_TIMEOUT_S)

    def wait_joined(self):
        """Wait until the directory of each instance lists all instances."""
        for host in HOSTS:
            assert wait_until(
                lambda host=host: len(self.resolve(host).get("addresses", [])) == 3
            )

    def is_ready(self, host):
        with contextlib.suppress(OSError):
            return self.get(host, "ready", "/readiness")[0] == 200
        return False

    def get(self, host, port, path, method="GET", **headers):
        connection = http.client.HTTPConnection(host, PORTS[port], timeout=15)
        try:
            connection.request(method, path, headers=headers)
            response = connection.getresponse()
            return response.status, response.read(), response.headers
        finally:
            connection.close()

    def send_request(
        self, host, request_id="r-1", key="key-1", path="/sales/1", deadline_ms=3000
    ):
        headers = {
            "Host": "shop.example",
            "Request-Id": request_id,
            "Request-Deadline": str(deadline_ms),
            "Authorization": f"Bearer {key}",
        }
        return self.get(host, "frontend", path, "POST", **headers)

    def count_threads(self, host):
        """Return the number of threads of an instance."""
        return len(os.listdir(f"/proc/{self.processes[host].pid}/task"))

    def read_log(self, host):
        """Return the log of an instance."""
        return (self.folder / f"{host}.log").read_text()

    def explain(self, request_id):
        """Run `lacewinglift explain` for a request on all logs and return its JSON."""
        paths = sorted(str(path) for path in self.folder.glob("*.log"))
        command = [sys.executable, "-m", "lacewinglift", "explain", "--json"]
        done = subprocess.run(
            [*command, "--id", request_id, *paths], capture_output=True, check=True
        )
        return json.loads(done.stdout)

    def resolve(self, host):
        path = "/resolution?name=shop.example&region=nord&zone=milano"
        status, body, _ = self.get(host, "directory", path)
        return json.loads(body) if status == 200 else {}

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.target.close()
        self.store.close()
