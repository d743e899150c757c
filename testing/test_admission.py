import threading

import pytest

from lacewinglift.admission import (
    RESPONSIVE_LENDERS_TIMEOUT_S,
    SWEEP_INTERVAL_S,
    TOTAL_BORROW_TIMEOUT_S,
    AdmissionController,
)
from lacewinglift.configuration import Workspace
from lacewinglift.errors import LedgerError
from lacewinglift.generated.fleet_pb2 import (
    Ledger,
    Member,
    Roster,
    Share,
    WorkspaceShares,
)
from lacewinglift.identity import Identity
from lacewinglift.ledger import LocalLedger
from lacewinglift.timers import ManualTimers

WORKSPACE = Workspace("w", 10.0, 20)


def make_ledger(version, own_ppm, other_ppm):
    return Ledger(
        version=version,
        members=[
            Member(instance="a", incarnation=1),
            Member(instance="b", incarnation=1),
        ],
        workspaces=[
            WorkspaceShares(
                workspace="w",
                shares=[
                    Share(member=0, granted_ppm=own_ppm, reserved_ppm=own_ppm),
                    Share(member=1, granted_ppm=other_ppm, reserved_ppm=other_ppm),
                ],
            )
        ],
        rosters=[Roster(version=1, instances=["a", "b"])],
    )


class AdmissionSetup:
    def __init__(self):
        self.timers = ManualTimers()
        self.refusal = None
        self.lend = lambda: 0
        identity = Identity("a", "f", "main", "dc", "", "", 1)
        self.local_ledger = LocalLedger(identity, self.timers)
        self.admission = AdmissionController(
            self.local_ledger, self.timers, lambda: self.refusal, lambda *_: self.lend()
        )
        self.admission.workspaces = {"w": WORKSPACE}


@pytest.fixture
def setup():
    return AdmissionSetup()


def test_nothing_is_admitted_when_standing_is_lost_while_borrowing(setup):
    """Guards against admitting on a loan that arrives after standing is lost."""

    def lend():
        setup.refusal = "isolated"
        return 1

    setup.lend = lend
    setup.local_ledger.apply(make_ledger(1, 0, 1_000_000))
    decision = setup.admission.admit(WORKSPACE)
    assert (decision.admitted, decision.code) == (False, "isolated")


def test_idle_bucket_is_removed_and_recreated_full(setup):
    """Guards against memory that grows with every workspace ever used."""
    setup.local_ledger.apply(make_ledger(1, 500_000, 500_000))
    assert not setup.admission.admit(WORKSPACE).admitted
    setup.timers.advance(60.0 + SWEEP_INTERVAL_S)
    assert setup.admission.dump() == {}
    admitted = [setup.admission.admit(WORKSPACE).admitted for _ in range(11)]
    assert admitted == [True] * 10 + [False]


def test_ledger_that_reserves_more_than_the_quota_is_refused(setup):
    """Guards against a corrupt ledger record that would exceed the quota."""
    with pytest.raises(LedgerError):
        setup.local_ledger.apply(make_ledger(1, 600_000, 500_000))
    assert setup.local_ledger.granted_ppm("w") == 0


def test_removed_incarnation_counts_as_fenced(setup):
    """Guards against using a share after the ledger has removed its holder."""
    setup.local_ledger.apply(make_ledger(1, 500_000, 500_000))
    ledger = Ledger(version=2, members=[Member(instance="b", incarnation=1)])
    ledger.rosters.add(version=2, instances=["b"])
    setup.local_ledger.apply(ledger)
    assert setup.local_ledger.is_fenced()
    assert setup.local_ledger.granted_ppm("w") == 0


def test_version_is_reported_after_loans_of_the_earlier_ledger_expired(setup):
    """Guards against giving a share to others while tokens lent from it are unused."""
    setup.local_ledger.apply(make_ledger(1, 1_000_000, 0))
    setup.timers.advance(5.0)
    state = setup.admission._find_or_add_workspace_state(WORKSPACE)
    assert state.bucket.lend(20, 0.3) == 20
    setup.local_ledger.apply(make_ledger(2, 0, 0))
    assert setup.local_ledger.effective_version() == 1
    setup.timers.advance(0.31)
    assert setup.local_ledger.effective_version() == 2


def test_request_that_waited_for_an_exhausted_loan_borrows_again(setup):
    """Guards against refusing requests within the rate when a loan is too small.

    Several requests arrive at the same time at an instance without a share, and
    each call to a lender returns one token.
    """
    lender_asked = threading.Event()
    second_waiting = threading.Event()

    def lend():
        lender_asked.set()
        second_waiting.wait(1.0)
        return 1

    setup.lend = lend
    setup.local_ledger.apply(make_ledger(1, 0, 1_000_000))
    decisions = []

    def admit():
        decisions.append(setup.admission.admit(WORKSPACE))

    threads = [threading.Thread(target=admit) for _ in range(2)]
    threads[0].start()
    assert lender_asked.wait(1.0)
    threads[1].start()
    threading.Timer(0.01, second_waiting.set).start()
    for thread in threads:
        thread.join()
    assert [decision.admitted for decision in decisions] == [True, True]


def test_unresponsive_lender_is_not_treated_as_empty(setup):
    """Guards against refusing a request within the rate because a call was lost."""
    replies = [None, 1]
    setup.lend = lambda: replies.pop(0)
    setup.local_ledger.apply(make_ledger(1, 0, 1_000_000))
    assert setup.admission.admit(WORKSPACE).admitted


def test_request_waits_for_a_slow_loan(setup):
    """Guards against refusing a request within the rate while a lender stalls."""
    replies = [None, 1]

    def lend():
        setup.timers.advance(0.1)
        return replies.pop(0)

    setup.lend = lend
    setup.local_ledger.apply(make_ledger(1, 0, 1_000_000))
    assert setup.admission.admit(WORKSPACE).admitted


@pytest.mark.parametrize(
    ("reply", "timeout_s"),
    [(0, RESPONSIVE_LENDERS_TIMEOUT_S), (None, TOTAL_BORROW_TIMEOUT_S)],
)
def test_request_is_refused_within_the_borrowing_timeout(setup, reply, timeout_s):
    """Guards against requests over the limit that occupy worker threads."""
    asked_at_s = []

    def lend():
        asked_at_s.append(setup.timers.now())
        setup.timers.advance(0.01)
        return reply

    setup.lend = lend
    setup.local_ledger.apply(make_ledger(1, 0, 1_000_000))
    started_s = setup.timers.now()
    assert not setup.admission.admit(WORKSPACE).admitted
    assert setup.timers.now() - started_s <= timeout_s + 0.01
    if reply is not None:
        assert len(asked_at_s) == 1
