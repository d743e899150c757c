"""Starts stand-ins and instances, publishes, and stops all of them."""

import json
import pathlib
import shlex
import shutil
import subprocess
import tempfile
import time
from collections import Counter
from typing import Any

import urllib3
from attrs import define, field

from testing.fleet.deployment import (
    DATA_CENTRES,
    FLEET,
    KEY_HEADER,
    ROUTES,
    SERVICES,
    ConfigurationFolder,
    Deployment,
    behaviour,
    target_names,
)
from testing.fleet.processes import (
    Child,
    Children,
    FleetError,
    child_environment,
    free_ports,
    python_command,
)
from testing.standins.control import call_control

ADDRESSES_PATH = "/.lacewinglift/addresses"
READY_TIMEOUT_S = 60.0
PUBLISH_TIMEOUT_S = 60.0
PUBLISH_PEERS = 3
STAND_IN_GRACE_S = 3.0
STOP_BOUND_S = 15.0


@define
class FleetOptions:
    """What to run.

    Parameters
    ----------
    instances : int, default=6
        Number of instances.
    address_lifetime_s : float, default=2.0
        Lifetime of address answers, so also how long a graceful stop takes.
    list_lag_s : float, default=5.0
        Lag of the platform's list of instances.
    worker_threads : int, default=64
        Threads of each instance for callers' requests.
    target_processes : int, default=1
        Processes that share the stand-ins for targets.
    rate_scale : float, default=1.0
        Factor of all workspaces' rates.
    serve_command : list of str
        Command line of an instance, without `--settings FILE`.
    publish_command : list of str
        Command line of a publication, without its options.
    """

    instances: int = 6
    address_lifetime_s: float = 2.0
    list_lag_s: float = 5.0
    worker_threads: int = 64
    target_processes: int = 1
    rate_scale: float = 1.0
    serve_command: list[str] = field(
        factory=lambda: python_command("lacewinglift", "serve")
    )
    publish_command: list[str] = field(
        factory=lambda: python_command("lacewinglift", "publish")
    )


@define(eq=False)
class Instance:
    """One instance of the fleet."""

    name: str
    data_centre: str
    address: str
    peer_address: str
    settings: pathlib.Path
    child: Child


class Fleet:
    """A running fleet; use it in a `with` block, which stops it in any case."""

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        self.deployment = Deployment(
            options.instances, options.address_lifetime_s, options.rate_scale
        )
        self.instances: list[Instance] = []
        self.targets: dict[str, str] = {}
        self.store_address = ""
        self.store_control = ""
        self.target_controls: dict[str, str] = {}
        self.http = urllib3.PoolManager(retries=False, timeout=2.0)

    def __enter__(self) -> "Fleet":
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="lacewinglift-fleet-"))
        self.children = Children(self.folder)
        self.configuration = ConfigurationFolder(self.folder / "config")
        self.configuration.folder.mkdir()
        try:
            self._start()
        except BaseException:
            self.stop(grace_s=STAND_IN_GRACE_S)
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self, grace_s: float = STOP_BOUND_S) -> None:
        """End all processes and remove the folder."""
        instances = [instance.child for instance in self.instances]
        others = [child for child in self.children.children if child not in instances]
        try:
            self.children.stop(instances, grace_s)
        finally:
            self.children.stop(others, STAND_IN_GRACE_S)
            self.http.clear()
            shutil.rmtree(self.folder, ignore_errors=True)

    def publish(self) -> subprocess.CompletedProcess:
        """Publish the files in the configuration folder.

        Raises
        ------
        FleetError
            If the command fails; the message has its output.
        """
        done = subprocess.run(
            self.publish_arguments(),
            capture_output=True,
            text=True,
            env=child_environment(),
            timeout=PUBLISH_TIMEOUT_S,
        )
        if done.returncode != 0:
            raise FleetError(
                f"publish ended with {done.returncode}:\n{done.stdout}{done.stderr}"
            )
        return done

    def publish_arguments(self) -> list[str]:
        """Return the command line of a publication."""
        # The platform's list lags, so that it may not have the instances yet.
        peers = [each.peer_address for each in self.instances[:PUBLISH_PEERS]]
        return [
            *self.options.publish_command,
            "--store",
            self.store_address,
            *(part for peer in peers for part in ("--peer", peer)),
            str(self.configuration.base),
            str(self.configuration.overlay),
        ]

    def description(self) -> dict[str, Any]:
        """Return what others need to use this fleet."""
        return {
            "instances": [instance.address for instance in self.instances],
            "key_header": KEY_HEADER,
            "keys": self.deployment.keys,
            "key_format": "Bearer {key}",
            "routes": [
                {"path": route.path, "service": route.service, "open": route.open}
                for route in ROUTES
            ],
            "store": self.store_address,
            "pids": {each.address: each.child.pid for each in self.instances},
            "config": str(self.configuration.folder),
            "publish": shlex.join(self.publish_arguments()),
            "controls": {"store": self.store_control, **self.target_controls},
        }

    def control_store(self, command: str, /, **parameters: Any) -> Any:
        """Run a command of the store's stand-in."""
        return call_control(self.store_control, command, **parameters)

    def control_target(self, command: str, /, target: str, **parameters: Any) -> Any:
        """Run a command of the stand-in for one target."""
        control = self.target_controls[target]
        return call_control(control, command, target=target, **parameters)

    def duplicates(self) -> dict[str, int]:
        """Return how often requests ran, for the ids that ran more than once."""
        total: Counter[str] = Counter()
        for control in set(self.target_controls.values()):
            total.update(call_control(control, "executions"))
        return {name: n for name, n in total.items() if n > 1}

    def restart(self, instance: Instance) -> None:
        """Start an instance again that has ended, with the same settings."""
        instance.child = self.children.start(
            instance.name, self._serve_arguments(instance.settings)
        )

    def is_serving(self, instance: Instance) -> bool:
        """Return whether an instance knows all others and serves keyed requests."""
        try:
            return self._lists_all(instance) and self._answers(instance)
        except (urllib3.exceptions.HTTPError, ValueError, KeyError):
            return False

    def wait_until_serving(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until every instance serves."""
        deadline = time.monotonic() + timeout_s
        missing = list(self.instances)
        while missing:
            missing = [each for each in missing if not self.is_serving(each)]
            ended = self.children.ended_unexpectedly()
            if ended:
                raise FleetError(f"{ended[0].name} ended:\n{ended[0].log_tail()}")
            if missing and time.monotonic() > deadline:
                names = ", ".join(each.name for each in missing)
                tail = missing[0].child.log_tail()
                raise FleetError(f"not serving after {timeout_s:g} s: {names}\n{tail}")
            time.sleep(0.1 if missing else 0.0)

    def _start(self) -> None:
        self._start_store()
        self._start_targets()
        self.configuration.write_base(self.deployment.base())
        self.configuration.write_overlay(self.deployment.overlay(self.targets))
        self._start_instances()
        self._wait_until_listening()
        self.publish()
        self.wait_until_serving()

    def _start_store(self) -> None:
        command = python_command(
            "testing.standins.store", "--list-lag-s", self.options.list_lag_s
        )
        ready = self.children.start("store", command, True).read_ready_line()
        self.store_address = ready["address"]
        self.store_control = ready["control"]

    def _start_targets(self) -> None:
        plan = [
            {"name": name, "behaviour": behaviour(service)}
            for service in SERVICES
            for name in target_names(service)
        ]
        count = self.options.target_processes
        for number in range(count):
            self._start_target_process(f"targets-{number + 1}", plan[number::count])

    def _start_target_process(self, name: str, plan: list[dict[str, Any]]) -> None:
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(plan))
        command = python_command("testing.standins.target", file)
        ready = self.children.start(name, command, True).read_ready_line()
        self.targets.update(ready["targets"])
        for target in ready["targets"]:
            self.target_controls[target] = ready["control"]

    def _start_instances(self) -> None:
        ports = free_ports(2 * self.options.instances)
        peers = [f"127.0.0.1:{port}" for port in ports[::2]]
        for number, peer_address in enumerate(peers):
            address = f"127.0.0.1:{ports[2 * number + 1]}"
            # An instance that starts while the store is down needs someone to ask.
            seeds = [peer for peer in peers if peer != peer_address][:6]
            self._start_instance(number, address, peer_address, seeds)

    def _start_instance(
        self, number: int, address: str, peer_address: str, seeds: list[str]
    ) -> None:
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        name = f"{data_centre}-{number // len(DATA_CENTRES) + 1}"
        settings = self.folder / f"{name}.jsonc"
        value = {
            "instance": name,
            "fleet": FLEET,
            "data_centre": data_centre,
            "caller_address": address,
            "peer_address": peer_address,
            "store_address": self.store_address,
            "seeds": seeds,
            "worker_threads": self.options.worker_threads,
            "stop_bound_s": STOP_BOUND_S - 2,
        }
        settings.write_text(json.dumps(value, indent=2))
        instance = Instance(
            name,
            data_centre,
            address,
            peer_address,
            settings,
            self.children.start(name, self._serve_arguments(settings)),
        )
        self.instances.append(instance)
        self.control_store(
            "enter_instance",
            instance=name,
            address=address,
            peer_address=peer_address,
            data_centre=data_centre,
        )

    def _serve_arguments(self, settings: pathlib.Path) -> list[str]:
        return [*self.options.serve_command, "--settings", str(settings)]

    def _wait_until_listening(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        for instance in self.instances:
            while not self._is_listening(instance):
                if not instance.child.is_running() or time.monotonic() > deadline:
                    tail = instance.child.log_tail()
                    raise FleetError(f"{instance.name} did not start:\n{tail}")
                time.sleep(0.1)

    def _is_listening(self, instance: Instance) -> bool:
        try:
            self.http.request("GET", f"http://{instance.address}{ADDRESSES_PATH}")
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def _lists_all(self, instance: Instance) -> bool:
        url = f"http://{instance.address}{ADDRESSES_PATH}"
        reply = self.http.request("GET", url)
        if reply.status != 200:
            return False
        listed = {entry["address"] for entry in reply.json()["addresses"]}
        return listed >= {each.address for each in self.instances}

    def _answers(self, instance: Instance) -> bool:
        key = next(iter(self.deployment.keys.values()))
        reply = self.http.request(
            "GET",
            f"http://{instance.address}{ROUTES[0].path}",
            headers={KEY_HEADER: f"Bearer {key}"},
        )
        return reply.status == 200
