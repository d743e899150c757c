"""How long a watch of the store may wait before another call takes its place.

The store may lose the response to a waiting watch, and answer all other calls. Only the
timeout of the watch shows it, and no change is seen until then.
"""

from attrs import frozen

from lacewinglift.kv import RESPONSE_TIMEOUT_S
from lacewinglift.mesh.members import STORE_CONTACT_MAX_AGE_S

# Time from the failure of a watch until a change that it has missed is in force
# everywhere: a retry, a listing and its way through the fleet.
CATCH_UP_S = 1.5
# A watch that waits longer without changes would count as lost contact to the store.
CONTACT_MARGIN_S = 0.5
MAX_WATCH_WAIT_S = STORE_CONTACT_MAX_AGE_S - RESPONSE_TIMEOUT_S - CONTACT_MARGIN_S
# A shorter wait would turn the watch into a poll.
MIN_WATCH_WAIT_S = 1.0


@frozen
class ChangeBounds:
    """How soon a change in the store has to be in force everywhere."""

    propagation_s: float = 2.0
    """Time from the acknowledgement of a change, while the store is undisturbed."""
    settling_s: float = 3.0
    """Time after a disturbance of the store from which that bound holds again."""

    def watch_wait_s(self) -> float:
        """Return how long a watch without changes waits for its answer, in seconds.

        A watch whose response is lost fails one response timeout later. Changes that
        are made once the bound holds again must still be seen in time.
        """
        wait_s = self.settling_s + self.propagation_s - CATCH_UP_S - RESPONSE_TIMEOUT_S
        return min(max(wait_s, MIN_WATCH_WAIT_S), MAX_WATCH_WAIT_S)
