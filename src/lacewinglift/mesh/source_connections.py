"""Connects to the first of several instances that answers.

Load: a third of the fleet is cut off while a version spreads. An instance that is cut
off counts as reachable until its member timeout, and a connection to it hangs.
"""

import asyncio
from collections.abc import Sequence

from grpclib.client import Channel

from lacewinglift.socket_addresses import split_address

# A connection opens within milliseconds. On a full link it takes longer; a second one
# costs a few packets, since the snapshot is sent over one of them only.
NEXT_CONNECTION_DELAY_S = 0.3


async def connect_to_first(addresses: Sequence[str]) -> Channel:
    """Return a channel to the first instance that accepts the connection.

    Parameters
    ----------
    addresses : sequence of str
        ``host:port`` of the instances, in the order in which they are tried.

    Raises
    ------
    OSError
        If none of the connections can be opened.
    """
    waiting = list(addresses)
    opening: dict[asyncio.Task, Channel] = {}
    error: BaseException = ConnectionError("no instance to connect to")
    try:
        while waiting or opening:
            if waiting:
                channel = Channel(*split_address(waiting.pop(0)))
                opening[asyncio.create_task(_open(channel))] = channel
            done, _ = await asyncio.wait(
                opening,
                timeout=NEXT_CONNECTION_DELAY_S if waiting else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                channel = opening.pop(task)
                if task.exception() is None:
                    return channel
                channel.close()
                error = task.exception()
        raise error
    finally:
        for task, channel in opening.items():
            task.add_done_callback(_ignore_failure)
            task.cancel()
            channel.close()


async def _open(channel: Channel) -> None:
    # The library opens the connection with the first request otherwise.
    await channel.__connect__()


def _ignore_failure(task: asyncio.Task) -> None:
    if not task.cancelled():
        task.exception()
