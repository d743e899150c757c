"""Waits in a worker thread for what the overload control grants a request."""

from collections.abc import Callable

from lacewinglift.exchanges import Exchange
from lacewinglift.overload.control import OverloadControl
from lacewinglift.overload.wait_queue import Waiter

# Interval at which a waiting request checks what nobody reports: the end of a target's
# backoff, and the stop of the instance.
RECHECK_INTERVAL_S = 0.05


def wait_for_grant(
    control: OverloadControl,
    waiter: Waiter,
    exchange: Exchange,
    in_haste: Callable[[], bool],
) -> None:
    """Return when a request has got what it waits for, or must wait no longer.

    Parameters
    ----------
    control : OverloadControl
        Control that holds the waiting request.
    waiter : Waiter
        The waiting request.
    exchange : Exchange
        Its exchange, whose cancellation ends the wait.
    in_haste : callable
        Returns whether this instance stops.
    """
    exchange.on_cancel = waiter.wake.set
    try:
        while waiter.is_pending():
            waiter.wake.clear()
            if exchange.cancel_reason is not None:
                control.withdraw(waiter, "cancelled")
            elif in_haste():
                control.withdraw(waiter, "stopping")
            elif exchange.is_key_revoked():
                control.withdraw(waiter, "revoked")
            else:
                control.search(waiter)
                if waiter.is_pending():
                    waiter.wake.wait(RECHECK_INTERVAL_S)
    finally:
        exchange.on_cancel = None
