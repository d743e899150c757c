"""Model-based test: a target table against a simple model of the floor."""

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

DATA_CENTRES = ("milano", "torino", "verona")
NAMES = [f"t{i}" for i in range(9)]
FAULTS = [
    (OutcomeKind.ERROR, 0.01),
    (OutcomeKind.TIMEOUT, 1.0),
    (OutcomeKind.CONNECT_FAILED, 0.05),
    (OutcomeKind.CUT, 0.02),
    (OutcomeKind.SUCCESS, 0.4),
]
UNHEALTHY_STATES = {"ejected", "probing", "leaving", "shedding"}
FLOORS = [Fraction(n, 10) for n in (0, 3, 5, 7, 9, 10)]


class FloorMachine(RuleBasedStateMachine):
    """Model: the targets, which of them are leaving, and the floor."""

    @initialize(
        names=st.sets(st.sampled_from(NAMES), min_size=1),
        floor=st.sampled_from(FLOORS),
        centre=st.sampled_from(["milano", "nowhere"]),
        seed=st.integers(0, 1000),
    )
    def start(self, names, floor, centre, seed):
        self.timers = ManualTimers()
        self.table = TargetTable(self.timers, centre, "entry-1", seed=seed)
        self.leaving_by_name = dict.fromkeys(names, False)
        self.ports = {name: 9000 + int(name[1:]) for name in NAMES}
        self.floor = floor
        self.hung_attempts = []
        self.ejected = set()
        self.configured = False
        self.apply()
        self.send_healthy(80)

    def apply(self):
        targets = tuple(
            Target(
                name,
                f"127.0.0.1:{self.ports[name]}",
                DATA_CENTRES[int(name[1:]) % 3],
                6,
                330,
                leaving,
            )
            for name, leaving in sorted(self.leaving_by_name.items())
        )
        service = Service("s", targets, float(self.floor), slow_start_s=2.0)
        fleet = Fleet("f", DATA_CENTRES)
        self.table.apply(Configuration(1, fleet, {"s": service}, (), {}))
        self.configured = True

    def required(self):
        # Exact fractions, so that the model has none of the code's rounding errors.
        return -((-self.floor * len(self.leaving_by_name)) // 1)

    def service(self):
        return self.table.dump()["s"]

    def states(self):
        return {n: t["state"] for n, t in self.service()["targets"].items()}

    def send(self, exclude=()):
        attempt = self.table.acquire("s", exclude)
        if attempt is None:
            return None
        name = attempt.target.name
        assert name in self.leaving_by_name, "a removed target received a request"
        assert not self.leaving_by_name[name], "a leaving target received a request"
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
    def hang_requests(self, name, count):
        for _ in range(count):
            attempt = self.send(set(NAMES) - {name})
            if attempt is not None:
                self.hung_attempts.append(attempt)
        self.send_healthy(30)

    @precondition(lambda self: getattr(self, "hung_attempts", None))
    @rule(kind=st.sampled_from(list(OutcomeKind)), twice=st.booleans())
    def finish_hung_request(self, kind, twice):
        attempt = self.hung_attempts.pop()
        attempt.finish(Outcome(kind, self.timers.now() - attempt.started_s))
        if twice:
            attempt.finish(Outcome(kind, 0.1))

    @rule(names=st.sets(st.sampled_from(NAMES), min_size=1, max_size=9))
    def shed_requests(self, names):
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
    def complete_probes(self, ok):
        for request in self.table.probes_due():
            self.table.record_probe_result(request, ok, 0.025)

    @rule(duration_s=st.sampled_from([0.05, 1.0, 10.0, 400.0]))
    def advance_time(self, duration_s):
        self.timers.advance(min(duration_s, 20.0))
        # Skips the rest in one step, which the table treats as a pause of the process.
        self.timers.pause(max(0.0, duration_s - 20.0))

    @rule(duration_s=st.sampled_from([0.3, 3.0, 60.0]))
    def pause_process(self, duration_s):
        self.timers.pause(duration_s)
        self.timers.advance(0.1)

    @rule(name=st.sampled_from(NAMES), moved=st.booleans())
    def add_target(self, name, moved):
        if moved:
            self.ports[name] += 100
        self.leaving_by_name[name] = False
        self.apply()

    @precondition(lambda self: len(getattr(self, "leaving_by_name", ())) > 1)
    @rule(data=st.data())
    def remove_target(self, data):
        del self.leaving_by_name[
            data.draw(st.sampled_from(sorted(self.leaving_by_name)))
        ]
        self.apply()

    @rule(data=st.data(), leaving=st.booleans())
    def set_leaving(self, data, leaving):
        self.leaving_by_name[
            data.draw(st.sampled_from(sorted(self.leaving_by_name)))
        ] = leaving
        self.apply()

    @rule(floor=st.sampled_from(FLOORS))
    def change_floor(self, floor):
        self.floor = floor
        self.apply()

    def check_ejections(self):
        states = self.states()
        ejected = {n for n, s in states.items() if s in ("ejected", "probing")}
        if ejected - self.ejected:
            healthy = sum(s not in UNHEALTHY_STATES for s in states.values())
            assert healthy >= self.required(), (states, self.required())
        self.ejected = ejected

    @invariant()
    def ejection_respects_the_floor(self):
        """Check after each step.

        Only `faulty_targets` both ejects and sheds in one step, so it also checks
        within the step.
        """
        assert set(self.states()) == set(self.leaving_by_name)
        self.check_ejections()

    @invariant()
    def enough_targets_stay_usable(self):
        service = self.service()
        usable = service["usable"]
        healthy = {n for n, s in self.states().items() if s not in UNHEALTHY_STATES}
        staying = [n for n, leaving in self.leaving_by_name.items() if not leaving]
        assert not any(self.leaving_by_name[name] for name in usable)
        assert healthy <= set(usable)
        assert len(set(usable)) >= min(self.required(), len(staying))
        if len(healthy) >= self.required():
            assert set(usable) == healthy

    @invariant()
    def requests_in_flight_are_counted_and_bounded(self):
        targets = self.service()["targets"]
        for name, target in targets.items():
            assert 0 <= target["in_flight"] <= target["in_flight_limit"], name

    def teardown(self):
        """Check that an idle table still sends requests to targets that stay."""
        if not getattr(self, "configured", False):
            return
        for attempt in self.hung_attempts:
            attempt.finish(Outcome(OutcomeKind.CANCELLED, 0.1))
        targets = self.service()["targets"].values()
        assert all(target["in_flight"] == 0 for target in targets)
        if self.required() > 0 and not all(self.leaving_by_name.values()):
            assert self.send() is not None


TestFloor = FloorMachine.TestCase
TestFloor.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
