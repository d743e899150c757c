"""Instances of one cell with an in-memory network and store, on manual time.

The decision code is the real one; only transport, store and process are stand-ins.
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

STEP_S = 0.25
STEPS_PER_HEARTBEAT = 4
STORE_TIMEOUT_S = 1.0
LEAVE_BOUND_S = 6.0


def make_configuration(generation, limits, homes_per_data_centre=2):
    """Return a configuration with workspaces of ``{name: (rate, burst)}``."""
    workspaces = {
        name: Workspace(name, rate, burst) for name, (rate, burst) in limits.items()
    }
    fleet = Fleet("f", homes_per_data_centre=homes_per_data_centre)
    return Configuration(generation, fleet, {}, (), workspaces)


class CellStore:
    """Compare-and-swap of one record."""

    def __init__(self):
        self.value = None
        self.revision = 0
        self.up = True
        self.replies_to_lose = 0
        self.writes = 0

    def compare_and_swap(self, value, expected):
        if expected != self.revision:
            return None
        self.value = value
        self.revision += 1
        self.writes += 1
        return self.revision


class CellInstance:
    """One process at a time under one name."""

    def __init__(self, cell, name, centre):
        self.cell = cell
        self.name = name
        self.centre = centre
        self.alive = False
        self.paused = False
        self.boots = 0
        self.inbox = []

    def boot(self):
        """Start a new process, which knows nothing."""
        timers = self.cell.timers
        self.boots += 1
        self.alive, self.paused, self.inbox = True, False, []
        self.identity = Identity(
            self.name, "f", "main", self.centre, "", f"p-{self.name}", timers.wall_ms()
        )
        self.identity.state = fleet_pb2.LIVE
        self.members = Members(self.identity, timers)
        self.standing = Standing(self.identity, self.members, timers)
        self.holder = LocalLedger(self.identity, timers)
        self.admission = AdmissionController(
            self.holder, timers, self.standing.refusal, self.borrow
        )
        self.allocator = Allocator()
        self.configuration = None
        self.store_ledger, self.store_revision = None, 0
        self.reading_until_s = self.writing_until_s = 0.0
        self.allocating = False
        self.leaving_since_s = None
        self.steps = self.cell.random.randrange(STEPS_PER_HEARTBEAT)

    def kill(self):
        self.alive = False

    def later(self, delay_s, action):
        """Run `action` in this process, after its pause if it is paused."""
        boots = self.boots

        def run():
            if not self.alive or self.boots != boots:
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

    def step(self):
        """Do what the control half does in a quarter of a second."""
        self.steps += 1
        if self.steps % STEPS_PER_HEARTBEAT == 0:
            self.members.demands = {
                demand.workspace: demand.milli_tokens_per_s / 1000
                for demand in self.admission.demands()
            }
            self.members.tick()
            self.standing.update()
            self.send_heartbeats()
            watchers = self.members.store_watchers(self.centre, 2)
            if self.name in watchers or self.standing.refusal():
                self.read_store()
        self.allocate()
        self.finish_leaving()

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
            self.fetch(source, lambda: self.configure(source.configuration))
        if heartbeat.ledger_version > self.holder.ledger().version:
            self.fetch(source, lambda: self.apply_ledger(source.holder.ledger()))
        self.standing.update()

    def fetch(self, source, action):
        """Call `source` and use its answer."""
        if self.cell.can_call(self, source):
            self.later(2 * self.cell.delay(source, self), action)

    def configure(self, configuration):
        if configuration is None or configuration.generation <= self.members.generation:
            return
        self.configuration = configuration
        self.members.generation = configuration.generation
        self.admission.apply_configuration(configuration)
        self.standing.update()
        self.send_heartbeats()

    def apply_ledger(self, ledger):
        if not self.holder.apply(ledger):
            return
        if self.holder.is_fenced():
            self.identity.renew_incarnation(self.cell.timers.wall_ms())
            self.members.reset_echoes()
        self.members.apply_ledger_members(list(ledger.members))
        self.report_version()
        self.standing.apply_ledger(ledger)
        self.send_heartbeats()

    def report_version(self):
        self.members.ledger_version = self.holder.effective_version()
        if self.holder.effective_version() < self.holder.ledger().version:
            self.later(LENDER_LOAN_LIFETIME_S, self.report_version)

    def read_store(self):
        now = self.cell.timers.now()
        if not self.cell.store_reachable(self) or now < self.reading_until_s:
            return
        store = self.cell.store
        value, revision = store.value, store.revision
        published = self.cell.published
        self.reading_until_s = now + STORE_TIMEOUT_S

        def answered():
            self.reading_until_s = 0.0
            self.allocating = self.is_allocator()
            if revision > self.store_revision:
                self.note_ledger(fleet_pb2.Ledger.FromString(value), revision)
            self.configure(published)
            self.members.record_store_contact(now)
            self.standing.update()

        self.later(self.cell.store_delay_s, answered)

    def note_ledger(self, ledger, revision):
        self.store_ledger, self.store_revision = ledger, revision
        self.apply_ledger(ledger)

    def is_allocator(self):
        return self.members.is_allocator()

    def allocate(self):
        now = self.cell.timers.now()
        if not self.is_allocator() or self.configuration is None:
            self.allocating = False
            return
        if now < self.writing_until_s:
            return
        if not self.allocating:
            self.read_store()
            return
        planned = self.allocator.plan(
            self.store_ledger, self.members.views(), self.configuration, now
        )
        if planned is not None:
            self.write_store(planned)

    def write_store(self, planned):
        self.allocating = False  # reads again unless the write is acknowledged
        self.writing_until_s = self.cell.timers.now() + STORE_TIMEOUT_S
        if not self.cell.store_reachable(self):
            return
        store = self.cell.store
        revision = store.compare_and_swap(
            planned.SerializeToString(), self.store_revision
        )
        if store.replies_to_lose:
            store.replies_to_lose -= 1
            return

        def acknowledged():
            self.writing_until_s = 0.0
            if revision is None:
                return
            self.allocating = True
            self.allocator.record_written(planned.version, self.cell.timers.now())
            if revision > self.store_revision:
                self.note_ledger(planned, revision)

        self.later(self.cell.store_delay_s, acknowledged)

    def borrow(self, member, workspace, tokens):
        lender = self.cell.instances[member.instance]
        self.cell.loans_asked += 1
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
            and not self.cell.late_replies
        ):
            return 0
        self.cell.tokens_lent += lent
        return lent

    def leave(self):
        if self.leaving_since_s is None:
            self.identity.state = fleet_pb2.LEAVING
            self.leaving_since_s = self.cell.timers.now()
            self.send_heartbeats()

    def finish_leaving(self):
        if self.leaving_since_s is None:
            return
        leaving_s = self.cell.timers.now() - self.leaving_since_s
        named = {member.instance for member in self.holder.ledger().members}
        if leaving_s > LEAVE_BOUND_S or (leaving_s > 2.0 and self.name not in named):
            self.kill()


class QuotaCell:
    """The instances of a cell and what lies between them."""

    def __init__(self, timers, random, centres, limits, homes=2):
        self.timers = timers
        self.random = random
        self.store = CellStore()
        self.homes = homes
        self.published = make_configuration(1, limits, homes)
        self.cuts = set()
        self.store_cuts = set()
        self.delays_s = {}
        self.store_delay_s = 0.005
        self.borrow_delay_s = 0.0
        self.late_replies = False
        self.loans_asked = self.tokens_lent = 0
        self._due_s = {}
        self.instances = {
            name: CellInstance(self, name, centre) for name, centre in centres.items()
        }
        for instance in self.instances.values():
            instance.boot()
        timers.subscribe(STEP_S, self._step)

    def _step(self):
        for instance in self.instances.values():
            if instance.alive and not instance.paused:
                instance.step()

    def publish(self, limits, homes=2):
        self.homes = homes
        generation = self.published.generation + 1
        self.published = make_configuration(generation, limits, homes)
        for instance in self.instances.values():
            if instance.alive:
                published = self.published
                instance.later(
                    self.random.uniform(0.0, 1.5),
                    lambda i=instance, p=published: i.configure(p),
                )

    def send(self, source, peer, heartbeat):
        if (source.name, peer.name) in self.cuts or not peer.alive:
            return
        key = (source.name, peer.name)
        due_s = self.timers.now() + self.delay(source, peer)
        due_s = max(due_s, self._due_s.get(key, 0.0))  # a stream keeps its order
        self._due_s[key] = due_s
        peer.later(due_s - self.timers.now(), lambda: peer.receive(heartbeat))

    def delay(self, source, peer):
        return self.delays_s.get((source.name, peer.name), 0.002)

    def can_call(self, source, peer):
        pair = (source.name, peer.name)
        return peer.alive and not {pair, pair[::-1]} & self.cuts

    def store_reachable(self, instance):
        return self.store.up and instance.name not in self.store_cuts

    def cut_out(self, name):
        self.cuts |= {(name, other) for other in self.instances if other != name}

    def cut_in(self, name):
        self.cuts |= {(other, name) for other in self.instances if other != name}

    def heal(self):
        self.cuts.clear()
        self.store_cuts.clear()
        self.delays_s.clear()
        self.store.up = True
        self.borrow_delay_s, self.late_replies = 0.0, False
        for instance in self.instances.values():
            if instance.paused:
                instance.resume()
            if not instance.alive:
                instance.boot()

    def request(self, name, workspace_name):
        """Ask for one admission and return the decision, None if it cannot be."""
        instance = self.instances[name]
        if not instance.alive or instance.paused or instance.configuration is None:
            return None
        workspace = instance.configuration.workspaces.get(workspace_name)
        if workspace is None:
            return None
        return instance.admission.admit(workspace)

    def granted_ppm(self, workspace):
        """Return what the instances that run believe to hold together."""
        return sum(
            instance.holder.granted_ppm(workspace)
            for instance in self.instances.values()
            if instance.alive
        )


def centres_of(count, centres=("dc-a", "dc-b", "dc-c")):
    """Return names of instances with data centres in turn."""
    turns = itertools.cycle(centres)
    return {f"i{number:02}": next(turns) for number in range(count)}
