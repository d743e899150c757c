"""A target table under overload control, on manual time."""

from random import Random

from attrs import define

from lacewinglift.configuration import Configuration, Fleet, Route
from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.registry import RegisteredTarget
from lacewinglift.mesh.target_table import MeshTargetTable
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.overload.control import OverloadControl
from lacewinglift.overload.demands import Demand
from lacewinglift.timers import ManualTimers

SERVICE = "cassa"
RESPONSE_S = 0.2
OBJECTIVE_S = 0.8
SUCCESS = Outcome(OutcomeKind.SUCCESS, RESPONSE_S)
SHED = Outcome(OutcomeKind.SHED, 0.001)


def make_targets(count, slots=4):
    return [
        RegisteredTarget(f"t{n}", SERVICE, f"10.0.0.{n}:80", "milano", slots, 1, 1)
        for n in range(count)
    ]


def make_configuration(*priorities, generation=1):
    routes = [
        Route(f"/p{priority}", SERVICE, priority=priority, objective_s=OBJECTIVE_S)
        for priority in priorities
    ]
    return Configuration(generation, Fleet("f"), {}, tuple(routes), {})


@define(eq=False)
class ControlledTable:
    """A table and its control; loads of a peer fill the targets."""

    timers: ManualTimers
    table: MeshTargetTable
    control: OverloadControl

    @classmethod
    def make(cls, targets=2, priorities=(0, 1, 2), worker_threads=96):
        timers = ManualTimers()
        table = MeshTargetTable(timers, "a", "milano", random=Random(1))
        table.apply(make_targets(targets))
        control = OverloadControl(table, worker_threads)
        control.apply(make_configuration(*priorities))
        table.on_end = control.record_end
        table.on_loads = control.record_loads
        return cls(timers, table, control)

    @property
    def service(self):
        return self.control.services[SERVICE]

    def demand(self, priority, timeout_s=2.0, **fields):
        now = self.timers.now()
        fields.setdefault("objective_s", OBJECTIVE_S)
        deadline_s = now + timeout_s
        return Demand(SERVICE, f"/p{priority}", priority, now, deadline_s, **fields)

    def decide(self, priority, exclude=(), **fields):
        demand = self.demand(priority, **fields)
        return self.control.decide(demand, frozenset(exclude), False)

    def report_load(self, in_flight, peer="b", pause_s=0.11):
        """Apply a heartbeat of a peer with this many requests at each target."""
        heartbeat = beats_pb2.Beat(instance=peer, incarnation=1)
        if in_flight:
            for name in self.table.states:
                heartbeat.loads.add(target=name, in_flight=in_flight)
        self.table.record_peer_evidence(heartbeat, 0)
        # The estimate may be as old as this.
        self.timers.advance(pause_s)
