"""Rate at which one instance uses the slots of a service.

Load: demand above the capacity of a service, from many instances. Loads in heartbeats
are up to a second old, several times as long as a response. If all instances admitted
requests by these loads alone, they would fill free slots together, and stop together
until the next news. So each one admits at the rate of its own share of the slots.
"""

from attrs import define

from lacewinglift.timers import Timers

# Slots are handed out for this long in advance, so that a few requests that arrive
# together need not wait.
BURST_S = 0.3
# Requests that may be admitted at once by an instance with a small share.
BURST_REQUESTS = 2.0
# Change of the rate in a second for each unit by which the mean load differs. It is
# slow against the age of the loads, or the rate would oscillate.
CORRECTION_PER_S = 0.3
CORRECTION_MIN = 0.5
CORRECTION_MAX = 2.0
# Time after the last request without tokens in which the rate is corrected.
LIMITING_S = 1.0
# Part of the wanted load from which on slots are handed out; below, there is room for
# any request.
FREE_FRACTION = 0.7


@define(eq=False)
class SlotBudget:
    """Token bucket whose tokens are slots times seconds.

    The most urgent requests take tokens that are not there yet, which leaves nothing to
    the others. The less urgent a request, the more tokens must be left over.
    """

    timers: Timers
    rate: float = 0.0
    """Slots that this instance may use on average."""
    burst: float = 0.0
    level: float = 0.0
    refilled_at_s: float = 0.0
    correction: float = 1.0
    """Factor that keeps the mean load near the wanted one."""
    limited_at_s: float = float("-inf")
    updated_at_s: float = 0.0

    def set_share(
        self, slots: float, response_s: float, mean_load: float, wanted_load: float
    ) -> None:
        """Set the share of this instance in the slots of the service.

        Parameters
        ----------
        slots : float
            Slots of the usable targets that this instance may use on average.
        response_s : float
            Mean time of a response.
        mean_load : float
            Requests in flight for each slot, over all instances.
        wanted_load : float
            Mean load to be kept while there is more demand than capacity.
        """
        self.refill()
        self._correct(wanted_load - mean_load)
        self.rate = slots * self.correction
        self.burst = max(self.rate * BURST_S, response_s * BURST_REQUESTS)
        self.level = min(self.level, self.burst)

    def _correct(self, error: float) -> None:
        now = self.timers.now()
        elapsed_s = min(now - self.updated_at_s, LIMITING_S)
        self.updated_at_s = now
        if now - self.limited_at_s > LIMITING_S:
            # What was learned from a full service says nothing about the next burst.
            self.correction = 1.0
            return
        error = max(min(error, 1.0), -1.0)
        self.correction *= 1 + error * CORRECTION_PER_S * elapsed_s
        bounded = max(self.correction, CORRECTION_MIN)
        self.correction = min(bounded, CORRECTION_MAX)

    def refill(self) -> None:
        """Add the tokens since the last refill."""
        now = self.timers.now()
        self.level += (now - self.refilled_at_s) * self.rate
        self.level = min(self.level, self.burst)
        self.refilled_at_s = now

    def missing(self, urgency: float) -> float:
        """Return the tokens that are missing for a request; 0 if it may run.

        Parameters
        ----------
        urgency : float
            1 for the most urgent and 0 for the least urgent requests.
        """
        self.refill()
        if urgency >= 1:
            return 0.0
        missing = max(self.burst * 0.5 * (1 - urgency) - self.level, 0.0)
        if missing:
            self.limited_at_s = self.timers.now()
        return missing

    def take(self, response_s: float) -> None:
        """Take the tokens of a request."""
        self.refill()
        # With more debt, others would be refused after the urgent requests are gone.
        self.level = max(self.level - response_s, -response_s)
