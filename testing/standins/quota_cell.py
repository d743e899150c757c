"""Simulates the instances of one cell with an in-memory network, store and clock.

The decision code is the real one; only transport, store and processes are stand-ins.
"""

import itertools

from lacewinglift.admission import (
    LENDER_LOAN_LIFETIME_S,
    TOTAL_BORROW_TIMEOUT_S,
    AdmissionController,
)
from lacewinglift.allocator import Allocator
from lacewinglift.configuration import Configuration, Fleet, Workspace
from lacewinglift.generated import fleet_pb2
from lacewinglift.identity import Identity
from lacewinglift.ledger import LocalLedger
from lacewinglift.members import Members
from lacewinglift.standing import Standing

CONTROL_STEP_S = 0.25
STEPS_PER_HEARTBEAT = 4
STORE_TIMEOUT_S = 1.0
LEAVE_TIMEOUT_S = 6.0


def make_configuration(generation, limits, homes_per_data_centre=2):
    """Return a configuration with workspaces of ``{name: (rate, burst)}``."""
    workspaces = {
        name: Workspace(name, rate, burst) for name, (rate, burst) in limits.items()
    }
    fleet = Fleet("f", homes_per_data_centre=homes_per_data_centre)
    return Configuration(generation, fleet, {}, (), workspaces)


class CellStore:
    """Store of one record with compare-and-swap."""

    def __init__(self):
        self.value = None
        self.revision = 0
        self.up = True
        self.replies_to_drop = 0
        self.writes = 0

    def compare_and_swap(self, value, expected):
        if expected != self.revision:
            return None
        self.value = value
        self.revision += 1
        self.writes += 1
        return self.revision


class CellInstance:
    """An instance, which has at most one simulated process at a time."""

    def __init__(self, cell, name, data_centre):
        self.cell = cell
        self.name = name
        self.data_centre = data_centre
        self.alive = False
        self.paused = False
        self.boot_count = 0
        self.inbox = []

    def boot(self):
        """Start a new process without any earlier state."""
        timers = self.cell.timers
        self.boot_count += 1
        self.alive, self.paused, self.inbox = True, False, []
        self.identity = Identity(
            self.name,
            "f",
            "main",
            self.data_centre,
            "",
            f"p-{self.name}",
            timers.wall_ms(),
        )
        self.identity.state = fleet_pb2.LIVE
        self.members = Members(self.identity, timers)
        self.standing = Standing(self.identity, self.members, timers)
        self.local_ledger = LocalLedger(self.identity, timers)
        self.admission = AdmissionController(
            self.local_ledger, timers, self.standing.refusal, self.borrow
        )
        self.allocator = Allocator()
        self.configuration = None
        self.store_ledger, self.store_revision = None, 0
        self.reading_until_s = self.writing_until_s = 0.0
        self.ledger_is_current = False
        self.leaving_since_s = None
        self.control_steps = self.cell.random.randrange(STEPS_PER_HEARTBEAT)

    def kill(self):
        self.alive = False

    def run_later(self, delay_s, action):
        """Run `action` in this process after a delay, or after its pause ends."""
        boot_count = self.boot_count

        def run():
            if not self.alive or self.boot_count != boot_count:
                return
            if self.paused:
                self.inbox.append(action)
            else:
                action()

        self.cell.timers.call_later(delay_s, run)

    def resume(self):
        self.paused = False
        inbox, self.inbox = self.inbox, []
        for action in inbox:
            action()

    def run_control_step(self):
        """Do what the control plane of an instance does in `CONTROL_STEP_S`."""
        self.control_steps += 1
        if self.control_steps % STEPS_PER_HEARTBEAT == 0:
            self.members.demands = {
                demand.workspace: demand.milli_tokens_per_s / 1000
                for demand in self.admission.demands()
            }
            self.members.tick()
            self.standing.update()
            self.send_heartbeats()
            watchers = self.members.store_watchers(self.data_centre, 2)
            if self.name in watchers or self.standing.refusal():
                self.read_store()
        self.allocate()
        self.finish_leave()

    def send_heartbeats(self):
        for peer in self.cell.instances.values():
            if peer is not self:
                heartbeat = self.members.build_heartbeat(peer.name, True)
                self.cell.send(self, peer, heartbeat)

    def receive(self, heartbeat):
        if not self.members.receive(heartbeat):
            return
        source = self.cell.instances[heartbeat.instance]
        if heartbeat.generation > self.members.generation:
            self.fetch_from(source, lambda: self.configure(source.configuration))
        if heartbeat.ledger_version > self.local_ledger.ledger().version:
            self.fetch_from(
                source, lambda: self.apply_ledger(source.local_ledger.ledger())
            )
        self.standing.update()

    def fetch_from(self, source, action):
        """Run `action` after a round trip to `source`, if it can be called."""
        if self.cell.can_call(self, source):
            self.run_later(2 * self.cell.delay(source, self), action)

    def configure(self, configuration):
        if configuration is None or configuration.generation <= self.members.generation:
            return
        self.configuration = configuration
        self.members.generation = configuration.generation
        self.admission.apply_configuration(configuration)
        self.standing.update()
        self.send_heartbeats()

    def apply_ledger(self, ledger):
        if not self.local_ledger.apply(ledger):
            return
        if self.local_ledger.is_fenced():
            self.identity.renew_incarnation(self.cell.timers.wall_ms())
            self.members.reset_echoes()
        self.members.apply_ledger_members(list(ledger.members))
        self.report_version()
        self.standing.apply_ledger(ledger)
        self.send_heartbeats()

    def report_version(self):
        self.members.ledger_version = self.local_ledger.effective_version()
        if self.local_ledger.effective_version() < self.local_ledger.ledger().version:
            self.run_later(LENDER_LOAN_LIFETIME_S, self.report_version)

    def read_store(self):
        now = self.cell.timers.now()
        if not self.cell.store_reachable(self) or now < self.reading_until_s:
            return
        store = self.cell.store
        value, revision = store.value, store.revision
        published = self.cell.published
        self.reading_until_s = now + STORE_TIMEOUT_S

        def on_reply():
            self.reading_until_s = 0.0
            self.ledger_is_current = self.is_allocator()
            if revision > self.store_revision:
                self.record_ledger(fleet_pb2.Ledger.FromString(value), revision)
            self.configure(published)
            self.members.record_store_contact(now)
            self.standing.update()

        self.run_later(self.cell.store_delay_s, on_reply)

    def record_ledger(self, ledger, revision):
        self.store_ledger, self.store_revision = ledger, revision
        self.apply_ledger(ledger)

    def is_allocator(self):
        return self.members.is_allocator()

    def allocate(self):
        now = self.cell.timers.now()
        if not self.is_allocator() or self.configuration is None:
            self.ledger_is_current = False
            return
        if now < self.writing_until_s:
            return
        if not self.ledger_is_current:
            self.read_store()
            return
        planned = self.allocator.plan(
            self.store_ledger, self.members.views(), self.configuration, now
        )
        if planned is not None:
            self.write_store(planned)

    def write_store(self, planned):
        # The record is read again unless the write is acknowledged.
        self.ledger_is_current = False
        self.writing_until_s = self.cell.timers.now() + STORE_TIMEOUT_S
        if not self.cell.store_reachable(self):
            return
        store = self.cell.store
        revision = store.compare_and_swap(
            planned.SerializeToString(), self.store_revision
        )
        if store.replies_to_drop:
            store.replies_to_drop -= 1
            return

        def on_acknowledged():
            self.writing_until_s = 0.0
            if revision is None:
                return
            self.ledger_is_current = True
            self.allocator.record_written(planned.version, self.cell.timers.now())
            if revision > self.store_revision:
                self.record_ledger(planned, revision)

        self.run_later(self.cell.store_delay_s, on_acknowledged)

    def borrow(self, member, workspace, tokens):
        lender = self.cell.instances[member.instance]
        self.cell.loan_requests += 1
        if not self.cell.can_call(self, lender) or lender.paused:
            self.cell.timers.pause(self.cell.borrow_delay_s)
            return 0
        self.cell.timers.pause(self.cell.borrow_delay_s / 2)
        request = fleet_pb2.BorrowRequest(
            workspace=workspace, tokens=tokens, instance=self.name
        )
        lent = lender.admission.lend(request).tokens
        self.cell.timers.pause(self.cell.borrow_delay_s / 2)
        if (
            self.cell.borrow_delay_s > TOTAL_BORROW_TIMEOUT_S
            and not self.cell.accept_late_replies
        ):
            return 0
        self.cell.tokens_lent += lent
        return lent

    def leave(self):
        if self.leaving_since_s is None:
            self.identity.state = fleet_pb2.LEAVING
            self.leaving_since_s = self.cell.timers.now()
            self.send_heartbeats()

    def finish_leave(self):
        if self.leaving_since_s is None:
            return
        leaving_s = self.cell.timers.now() - self.leaving_since_s
        listed = {member.instance for member in self.local_ledger.ledger().members}
        if leaving_s > LEAVE_TIMEOUT_S or (leaving_s > 2.0 and self.name not in listed):
            self.kill()


class QuotaCell:
    """The instances of a cell, with their network, store and faults."""

    def __init__(self, timers, random, data_centres, limits, homes_per_data_centre=2):
        self.timers = timers
        self.random = random
        self.store = CellStore()
        self.homes_per_data_centre = homes_per_data_centre
        self.published = make_configuration(1, limits, homes_per_data_centre)
        self.cut_links = set()
        self.cut_from_store = set()
        self.link_delays_s = {}
        self.store_delay_s = 0.005
        self.borrow_delay_s = 0.0
        self.accept_late_replies = False
        self.loan_requests = self.tokens_lent = 0
        self._last_delivery_s = {}
        self.instances = {
            name: CellInstance(self, name, data_centre)
            for name, data_centre in data_centres.items()
        }
        for instance in self.instances.values():
            instance.boot()
        timers.subscribe(CONTROL_STEP_S, self._run_control_steps)

    def _run_control_steps(self):
        for instance in self.instances.values():
            if instance.alive and not instance.paused:
                instance.run_control_step()

    def publish(self, limits, homes_per_data_centre=2):
        self.homes_per_data_centre = homes_per_data_centre
        generation = self.published.generation + 1
        self.published = make_configuration(generation, limits, homes_per_data_centre)
        for instance in self.instances.values():
            if instance.alive:
                published = self.published
                instance.run_later(
                    self.random.uniform(0.0, 1.5),
                    lambda i=instance, p=published: i.configure(p),
                )

    def send(self, source, peer, heartbeat):
        if (source.name, peer.name) in self.cut_links or not peer.alive:
            return
        key = (source.name, peer.name)
        delivery_s = self.timers.now() + self.delay(source, peer)
        # Messages of one stream are delivered in order.
        delivery_s = max(delivery_s, self._last_delivery_s.get(key, 0.0))
        self._last_delivery_s[key] = delivery_s
        peer.run_later(delivery_s - self.timers.now(), lambda: peer.receive(heartbeat))

    def delay(self, source, peer):
        return self.link_delays_s.get((source.name, peer.name), 0.002)

    def can_call(self, source, peer):
        pair = (source.name, peer.name)
        return peer.alive and not {pair, pair[::-1]} & self.cut_links

    def store_reachable(self, instance):
        return self.store.up and instance.name not in self.cut_from_store

    def cut_outgoing(self, name):
        self.cut_links |= {(name, other) for other in self.instances if other != name}

    def cut_incoming(self, name):
        self.cut_links |= {(other, name) for other in self.instances if other != name}

    def heal(self):
        self.cut_links.clear()
        self.cut_from_store.clear()
        self.link_delays_s.clear()
        self.store.up = True
        self.borrow_delay_s, self.accept_late_replies = 0.0, False
        for instance in self.instances.values():
            if instance.paused:
                instance.resume()
            if not instance.alive:
                instance.boot()

    def request(self, name, workspace_name):
        """Return the decision on one request, None if the instance cannot serve."""
        instance = self.instances[name]
        if not instance.alive or instance.paused or instance.configuration is None:
            return None
        workspace = instance.configuration.workspaces.get(workspace_name)
        if workspace is None:
            return None
        return instance.admission.admit(workspace)

    def granted_ppm(self, workspace):
        """Return the sum of the shares in the running instances' own ledgers."""
        return sum(
            instance.local_ledger.granted_ppm(workspace)
            for instance in self.instances.values()
            if instance.alive
        )


def assign_data_centres(count, data_centres=("dc-a", "dc-b", "dc-c")):
    """Return a mapping of instance names to data centres, assigned in turn."""
    turns = itertools.cycle(data_centres)
    return {f"i{number:02}": next(turns) for number in range(count)}
