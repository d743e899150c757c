"""Contact of one instance to the store, as far as its calls tell."""

import math
from collections.abc import Callable

from attrs import define

from lacewinglift.errors import StoreError
from lacewinglift.logs import log_info, log_warning
from lacewinglift.timers import Timers


@define(eq=False)
class StoreContact:
    """Time of the last answer of the store, and whether calls fail now."""

    timers: Timers
    min_outage_s: float = 0.0
    """Shortest time without an answer in which an entry can have expired."""
    last_answer_at_s: float = float("-inf")
    failing: bool = False
    era: int = 0
    """Newest era that the store has named."""
    on_change: Callable[[], None] = lambda: None
    """Called when calls begin to fail, and when the store answers again."""

    def record_answer(self, era: int) -> None:
        """Record that the store answered a call, and the era that it named."""
        self.last_answer_at_s = self.timers.now()
        if era > self.era:
            if self.era:
                log_warning("store_restored", previous=self.era, era=era)
            self.era = era
        if self.failing:
            self.failing = False
            log_info("store_regained")
            self.on_change()

    def record_failure(self, error: StoreError) -> None:
        """Record that a call failed."""
        if not self.failing:
            self.failing = True
            log_warning("store_lost", code=error.code, reason=error)
            self.on_change()

    def may_have_been_down(self, sent_at_s: float) -> bool:
        """Return whether entries may have expired before a call failed just now.

        Parameters
        ----------
        sent_at_s : float
            Time at which the call was sent. If the store has answered another call
            since, it was there; a call that an outage swallowed fails by its timeout,
            when the store may have been back for seconds.
        """
        if self.last_answer_at_s > sent_at_s:
            return False
        return self.timers.now() - self.last_answer_at_s >= self.min_outage_s

    def age_s(self) -> float:
        """Return the time since the last answer; infinite while calls fail."""
        if self.failing:
            return math.inf
        return self.timers.now() - self.last_answer_at_s
