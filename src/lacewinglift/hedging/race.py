"""A late request at two targets, of which the first complete response is used.

One thread serves the request: it waits for both connections and reads one of them at a
time. The response of the other one stays in the buffers of its socket, so that a hedge
needs no more memory than a request that is sent to one target.
"""

import select
from typing import Protocol

from lacewinglift.attempt_calls import AttemptCall, AttemptFailedError
from lacewinglift.attempts import Attempt, RetryBudgetProtocol, TargetSelector
from lacewinglift.hedging.hedger import Hedger
from lacewinglift.logs import log_info
from lacewinglift.outcomes import OutcomeKind


class RequestAttempts(Protocol):
    """The attempts of a request, as far as a hedge takes part in them."""

    call: AttemptCall
    """The attempt whose response is read next."""
    budget: RetryBudgetProtocol
    tried_targets: set[str]
    target_selector: TargetSelector
    logged_id: str

    def may_hedge(self) -> bool:
        """Return whether the request may be sent to one more target meanwhile."""
        ...

    def remaining_s(self) -> float:
        """Return the time until the deadline."""
        ...

    def open_call(self, attempt: Attempt) -> AttemptCall:
        """Send the request to a second target; raises AttemptFailedError."""
        ...


class HedgeRace:
    """The second target of one request.

    Parameters
    ----------
    hedger : Hedger
        Decides on hedges.
    attempts : RequestAttempts
        Attempts of the request.
    service : str
        Name of the service.
    """

    def __init__(self, hedger: Hedger, attempts: RequestAttempts, service: str) -> None:
        self.hedger = hedger
        self.attempts = attempts
        self.service = service
        self.hedge: AttemptCall | None = None
        """Attempt at the second target, also after its end."""
        self.other: AttemptCall | None = None
        """The one of two attempts in progress that is not read now."""
        self.considered = False
        """Whether it was decided on a hedge of this request."""
        self.result: str | None = None
        """What became of the hedge; None if there was none."""

    def await_response(self) -> None:
        """Wait until a target responds; send a hedge if the first one is late.

        Afterwards, `attempts.call` is the attempt whose response is to be read. If no
        target responds in time, it is the first one.
        """
        if self.other is None:
            self._send_if_late()
        if self.other is not None:
            self._choose_first()

    def _send_if_late(self) -> None:
        if self.considered or not self.attempts.may_hedge():
            return
        delay_s = self.hedger.delay_s(self.service)
        if delay_s is None:
            return
        self.considered = True
        first = self.attempts.call
        self.hedger.record_sent(self.service, first.attempt.target.data_centre)
        left_s = self.attempts.remaining_s()
        wait_s = min(delay_s - first.elapsed_s(), left_s)
        if _readable([first], wait_s) or self.attempts.remaining_s() <= 0:
            return
        attempt, reason = self.hedger.acquire(
            self.service,
            first.attempt,
            self.attempts.remaining_s(),
            delay_s,
            self.attempts.budget,
            self.attempts.target_selector,
            self.attempts.tried_targets,
        )
        if attempt is None:
            log_info(
                "hedge_withheld",
                id=self.attempts.logged_id,
                service=self.service,
                why=reason,
                after_s=self._after_s(),
            )
            return
        self._send(attempt, first)

    def _send(self, attempt: Attempt, first: AttemptCall) -> None:
        self.attempts.tried_targets.add(attempt.target.name)
        log_info(
            "hedge_sent",
            id=self.attempts.logged_id,
            service=self.service,
            target=attempt.target.name,
            first=first.target_name,
            after_s=self._after_s(),
        )
        try:
            self.hedge = self.attempts.open_call(attempt)
        except AttemptFailedError:
            self._end("failed")
        else:
            self.other = self.hedge
        finally:
            self.attempts.call = first

    def _choose_first(self) -> None:
        """Swap the two attempts if the other one responds first."""
        calls = [self.attempts.call, self.other]
        ready = _readable(calls, self.attempts.remaining_s())
        if ready and ready[0] is self.other:
            self.swap()

    def swap(self) -> None:
        """Read the response of the other attempt next."""
        self.other, self.attempts.call = self.attempts.call, self.other
        self.other.park()

    def record_failure(self) -> None:
        """Record that the attempt whose response was to be read has failed."""
        if self.hedge is not None and self.attempts.call is self.hedge:
            self._end("failed")

    def take_other(self) -> bool:
        """Read the other attempt after a failed one; return whether there is one."""
        if self.other is None:
            return False
        self.attempts.call, self.other = self.other, None
        return True

    def finish(self, answered: bool, cancelled: bool) -> None:
        """Cancel the attempt that is not needed, and record what became of the hedge.

        Parameters
        ----------
        answered : bool
            Whether the caller gets the response of `attempts.call`.
        cancelled : bool
            Whether the caller left or the request was cancelled otherwise.
        """
        if self.other is not None:
            self._cancel_other(answered)
        if self.hedge is None or self.result is not None:
            return
        if cancelled:
            self._end("cancelled")
        elif not answered:
            self._end("failed")
        else:
            self._end("won" if self.attempts.call is self.hedge else "lost")

    def _cancel_other(self, answered: bool) -> None:
        other, self.other = self.other, None
        if answered and other is not self.hedge:
            self.hedger.record_latency(self.service, other.elapsed_s())
        # The target drops the request when its connection closes.
        other.finish(OutcomeKind.CANCELLED)
        other.close()

    def _end(self, result: str) -> None:
        self.result = result
        self.hedger.count(self.service, result)
        log_info(
            "hedge_ended",
            id=self.attempts.logged_id,
            service=self.service,
            target="-" if self.hedge is None else self.hedge.target_name,
            result=result,
            after_s=self._after_s(),
        )

    def _after_s(self) -> float:
        return self.attempts.call.elapsed_s()


def _readable(calls: list[AttemptCall], timeout_s: float) -> list[AttemptCall]:
    """Wait until one of the connections has data or ends, and return those."""
    poll = select.poll()
    by_descriptor = {}
    for call in calls:
        descriptor = call.connection.sock.fileno()
        by_descriptor[descriptor] = call
        poll.register(descriptor, select.POLLIN)
    ready = {by_descriptor[each] for each, _ in poll.poll(max(timeout_s, 0.0) * 1000)}
    return [call for call in calls if call in ready]
