"""Arbitrary histories of a target table against a simple oracle of the floor."""

from fractions import Fraction

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from lacewinglift.configuration import Configuration, Fleet, Service, Target
from lacewinglift.generated.fleet_pb2 import Suspicion
from lacewinglift.outcomes import Outcome, OutcomeKind
from lacewinglift.targets import TargetTable
from lacewinglift.timers import ManualTimers

CENTRES = ("milano", "torino", "verona")
NAMES = [f"t{i}" for i in range(9)]
FAULTS = [
    (OutcomeKind.ERROR, 0.01),
    (OutcomeKind.TIMEOUT, 1.0),
    (OutcomeKind.CONNECT_FAILED, 0.05),
    (OutcomeKind.CUT, 0.02),
    (OutcomeKind.SUCCESS, 0.4),
]
UNHEALTHY = {"ejected", "probing", "leaving", "shedding"}
FLOORS = [Fraction(n, 10) for n in (0, 3, 5, 7, 9, 10)]


class FloorMachine(RuleBasedStateMachine):
    """Oracle: the targets, their marks and the floor, counted by hand."""

    @initialize(
        names=st.sets(st.sampled_from(NAMES), min_size=1),
        floor=st.sampled_from(FLOORS),
        centre=st.sampled_from(["milano", "nowhere"]),
        seed=st.integers(0, 1000),
    )
    def start(self, names, floor, centre, seed):
        self.timers = ManualTimers()
        self.table = TargetTable(self.timers, centre, "entry-1", seed=seed)
        self.targets = dict.fromkeys(names, False)
        self.ports = {name: 9000 + int(name[1:]) for name in NAMES}
        self.floor = floor
        self.waiting = []
        self.ejected = set()
        self.configured = False
        self.apply()
        self.send_healthy(80)

    def apply(self):
        targets = tuple(
            Target(
                name,
                f"127.0.0.1:{self.ports[name]}",
                CENTRES[int(name[1:]) % 3],
                6,
                330,
                leaving,
            )
            for name, leaving in sorted(self.targets.items())
        )
        service = Service("s", targets, float(self.floor), slow_start_s=2.0)
        fleet = Fleet("f", CENTRES)
        self.table.apply(Configuration(1, fleet, {"s": service}, (), {}))
        self.configured = True

    def required(self):
        # Fractions, so that the oracle has no rounding to share with the code.
        return -((-self.floor * len(self.targets)) // 1)

    def service(self):
        return self.table.dump()["s"]

    def states(self):
        return {n: t["state"] for n, t in self.service()["targets"].items()}

    def send(self, exclude=()):
        attempt = self.table.acquire("s", exclude)
        if attempt is None:
            return None
        name = attempt.target.name
        assert name in self.targets, "a removed target got work"
        assert not self.targets[name], "a leaving target got work"
        assert name not in exclude
        return attempt

    def send_healthy(self, count):
        for _ in range(count):
            attempt = self.send()
            self.timers.advance(0.02)
            if attempt is not None:
                attempt.finish(Outcome(OutcomeKind.SUCCESS, 0.02))

    @rule(count=st.integers(1, 60))
    def healthy_requests(self, count):
        self.send_healthy(count)

    @rule(
        faulty=st.sets(st.sampled_from(NAMES), min_size=1, max_size=4),
        shedding=st.sets(st.sampled_from(NAMES), max_size=4),
        fault=st.sampled_from(FAULTS),
        count=st.integers(40, 250),
    )
    def faulty_targets(self, faulty, shedding, fault, count):
        for _ in range(count):
            attempt = self.send()
            self.timers.advance(0.02)
            self.check_ejections()
            if attempt is None:
                continue
            outcome = Outcome(OutcomeKind.SUCCESS, 0.02)
            if attempt.target.name in shedding:
                outcome = Outcome(OutcomeKind.SHED, 0.001)
            elif attempt.target.name in faulty:
                outcome = Outcome(*fault)
            attempt.finish(outcome)
            self.check_ejections()

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 3))
    def hang(self, name, count):
        for _ in range(count):
            attempt = self.send(set(NAMES) - {name})
            if attempt is not None:
                self.waiting.append(attempt)
        self.send_healthy(30)

    @precondition(lambda self: getattr(self, "waiting", None))
    @rule(kind=st.sampled_from(list(OutcomeKind)), twice=st.booleans())
    def end_of_hang(self, kind, twice):
        attempt = self.waiting.pop()
        attempt.finish(Outcome(kind, self.timers.now() - attempt.started_s))
        if twice:
            attempt.finish(Outcome(kind, 0.1))

    @rule(names=st.sets(st.sampled_from(NAMES), min_size=1, max_size=9))
    def shed(self, names):
        for name in sorted(names):
            attempt = self.send(set(NAMES) - {name})
            if attempt is not None:
                attempt.finish(Outcome(OutcomeKind.SHED, 0.001))

    @rule(
        peers=st.integers(1, 39),
        scores=st.dictionaries(st.sampled_from(NAMES), st.integers(1, 100)),
    )
    def peers_suspect(self, peers, scores):
        suspicions = [
            Suspicion(service="s", target=name, score=score)
            for name, score in scores.items()
        ]
        for peer in range(peers):
            self.table.record_peer_suspicions(f"peer-{peer}", suspicions)
        self.timers.advance(0.1)

    @rule(ok=st.booleans())
    def probes(self, ok):
        for request in self.table.probes_due():
            self.table.record_probe_result(request, ok, 0.025)

    @rule(duration_s=st.sampled_from([0.05, 1.0, 10.0, 400.0]))
    def time_passes(self, duration_s):
        self.timers.advance(min(duration_s, 20.0))
        # The rest is skipped in one step, which the table sees as a pause.
        self.timers.pause(max(0.0, duration_s - 20.0))

    @rule(duration_s=st.sampled_from([0.3, 3.0, 60.0]))
    def pause(self, duration_s):
        self.timers.pause(duration_s)
        self.timers.advance(0.1)

    @rule(name=st.sampled_from(NAMES), moved=st.booleans())
    def add(self, name, moved):
        if moved:
            self.ports[name] += 100
        self.targets[name] = False
        self.apply()

    @precondition(lambda self: len(getattr(self, "targets", ())) > 1)
    @rule(data=st.data())
    def remove(self, data):
        del self.targets[data.draw(st.sampled_from(sorted(self.targets)))]
        self.apply()

    @rule(data=st.data(), leaving=st.booleans())
    def mark(self, data, leaving):
        self.targets[data.draw(st.sampled_from(sorted(self.targets)))] = leaving
        self.apply()

    @rule(floor=st.sampled_from(FLOORS))
    def change_floor(self, floor):
        self.floor = floor
        self.apply()

    def check_ejections(self):
        states = self.states()
        ejected = {n for n, s in states.items() if s in ("ejected", "probing")}
        if ejected - self.ejected:
            healthy = sum(s not in UNHEALTHY for s in states.values())
            assert healthy >= self.required(), (states, self.required())
        self.ejected = ejected

    @invariant()
    def ejection_respects_the_floor(self):
        """Check after every step; no step but `faulty_targets` ejects and sheds."""
        assert set(self.states()) == set(self.targets)
        self.check_ejections()

    @invariant()
    def enough_targets_stay_usable(self):
        service = self.service()
        usable = service["usable"]
        healthy = {n for n, s in self.states().items() if s not in UNHEALTHY}
        staying = [n for n, leaving in self.targets.items() if not leaving]
        assert not any(self.targets[name] for name in usable)
        assert healthy <= set(usable)
        assert len(set(usable)) >= min(self.required(), len(staying))
        if len(healthy) >= self.required():
            assert set(usable) == healthy

    @invariant()
    def work_in_flight_is_counted_and_bounded(self):
        targets = self.service()["targets"]
        for name, target in targets.items():
            assert 0 <= target["in_flight"] <= target["in_flight_limit"], name

    def teardown(self):
        """Check that a table without work in flight serves what is not leaving."""
        if not getattr(self, "configured", False):
            return
        for attempt in self.waiting:
            attempt.finish(Outcome(OutcomeKind.CANCELLED, 0.1))
        targets = self.service()["targets"].values()
        assert all(target["in_flight"] == 0 for target in targets)
        if self.required() > 0 and not all(self.targets.values()):
            assert self.send() is not None


TestFloor = FloorMachine.TestCase
TestFloor.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
