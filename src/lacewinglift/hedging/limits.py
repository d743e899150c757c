"""Limit of the hedges of a service, as a share of its requests over all instances.

Load: instances that join, restart or are lost while many requests are late.
"""

from attrs import define

# Hedges that may be saved up while no request is late. More would let the hedges of a
# few seconds exceed their share of the requests of those seconds by far.
MAX_SAVED_HEDGES = 2.0


@define(eq=False)
class HedgeAllowance:
    """Hedges that an instance may send, earned by its own requests alone.

    Each instance stays within the share of its own requests from its start on, so the
    fleet does too, whichever instances join or are lost, and without any message.
    """

    earned: float = 0.0

    def record_request(self, limit_percent: float) -> None:
        """Add what one request earns."""
        self.earned = min(self.earned + limit_percent / 100, MAX_SAVED_HEDGES)

    def may_hedge(self) -> bool:
        """Return whether a hedge is left."""
        # Sums of small fractions fall short of a whole number.
        return self.earned >= 1.0 - 1e-9

    def take(self) -> None:
        """Use a hedge."""
        self.earned -= 1.0
