"""One proxy instance: builds, starts and stops its components."""

import json
import time

from lacewinglift.addresses import AddressBook
from lacewinglift.concurrency import ConcurrencyLimiter
from lacewinglift.control import ControlPlane
from lacewinglift.dumps import dump_instance
from lacewinglift.exchanges import ExchangeMonitor
from lacewinglift.forwarder import Forwarder
from lacewinglift.frontend import Frontend
from lacewinglift.generated import fleet_pb2
from lacewinglift.identity import Identity
from lacewinglift.logs import LEFT_OUT_REPORT_INTERVAL_S, log_info, report_left_out
from lacewinglift.metrics import Metrics
from lacewinglift.probes import Prober
from lacewinglift.request_handler import RequestComponents
from lacewinglift.settings import Settings
from lacewinglift.shutdown import Shutdown, StopReport
from lacewinglift.targets import TargetTable
from lacewinglift.timers import ThreadTimers

READY_CHECK_INTERVAL_S = 0.1
DEFAULT_ADDRESS_LIFETIME_S = 10.0


def make_identity(settings: Settings) -> Identity:
    """Return the identity of a process that has just started."""
    return Identity(
        instance=settings.instance,
        fleet=settings.fleet,
        cell=settings.cell,
        data_centre=settings.data_centre,
        caller_address=settings.caller_address,
        peer_address=settings.peer_address,
        incarnation=time.time_ns() // 1_000_000,
    )


class Instance:
    """One proxy instance; call `start`, then `stop` once."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.timers = ThreadTimers()
        self.identity = make_identity(settings)
        self.metrics = Metrics()
        self.targets = TargetTable(self.timers, settings.data_centre, settings.instance)
        self.control = ControlPlane(
            self.identity,
            settings.store_address,
            list(settings.seeds),
            self.targets,
            self.timers,
        )
        self.prober = Prober(self.targets, self.timers)
        self.forwarder = Forwarder(
            self.targets,
            self.timers,
            on_attempt=self.metrics.record_attempt,
            on_retry=self.metrics.record_retry,
            on_connection=self.metrics.record_connection,
        )
        self.shutdown = Shutdown(
            self.timers,
            self.address_lifetime_s,
            self.announce_leaving,
            settings.stop_bound_s,
        )
        self.components = RequestComponents(
            timers=self.timers,
            distribution=self.control.distribution,
            standing=self.control.standing,
            admission=self.control.admission,
            forwarder=self.forwarder,
            address_book=AddressBook(
                settings.data_centre, self.control.members.addressable
            ),
            shutdown=self.shutdown,
            concurrency_limiter=ConcurrencyLimiter(settings.worker_threads),
            exchange_monitor=ExchangeMonitor(self.timers),
            operator_networks=settings.operator_networks,
            metrics=self.metrics,
        )
        self.frontend = Frontend(settings, self.components)
        self.control.dump_state = self.dump

    def start(self) -> None:
        """Listen for callers and peers; raise OSError if an address is in use."""
        self.frontend.start()
        self.control.start()
        self.ready_check = self.timers.subscribe(
            READY_CHECK_INTERVAL_S, self.announce_live
        )
        self.timers.subscribe(LEFT_OUT_REPORT_INTERVAL_S, report_left_out)
        log_info(
            "instance_started",
            incarnation=self.identity.incarnation,
            callers=self.identity.caller_address,
        )

    def stop(self) -> StopReport:
        """Stop gracefully and return a report of the requests that were cancelled."""
        self.ready_check.cancel()
        report = self.shutdown.run(self.frontend)
        self.control.wait_for_share_release()
        self.prober.stop()
        self.control.stop()
        self.timers.stop()
        return report

    def announce_live(self) -> None:
        """Announce this instance as live once it can serve requests with a key."""
        if self.identity.state != fleet_pb2.STARTING:
            return
        if self.control.standing.refusal() is not None:
            return
        self.control.set_state(fleet_pb2.LIVE)
        self.ready_check.cancel()
        log_info("instance_live", generation=self.control.distribution.generation())

    def announce_leaving(self) -> None:
        """Announce that this instance leaves the list of live instances."""
        self.control.set_state(fleet_pb2.LEAVING)

    def address_lifetime_s(self) -> float:
        """Return how long callers may use an address list that they received."""
        configuration = self.control.distribution.current()
        if configuration is None:
            return DEFAULT_ADDRESS_LIFETIME_S
        return configuration.fleet.address_lifetime_s

    def dump(self) -> str:
        """Return the state of all components as JSON, without keys."""
        return json.dumps(dump_instance(self), default=str)
