"""Asyncio event loops that run in separate threads."""

import asyncio
import threading
from collections.abc import Awaitable, Callable

from lacewinglift.logs import log_exception


class LoopRunner:
    """Runs one coroutine in an event loop; call `start`, then `stop` once.

    Parameters
    ----------
    name : str
        Name of the thread.
    main : callable
        Returns the coroutine. It must set `started` once it listens, and return when
        `stopping` is set.
    """

    def __init__(self, name: str, main: Callable[[], Awaitable[None]]) -> None:
        self.main = main
        self.loop = asyncio.new_event_loop()
        self.stopping = asyncio.Event()
        self.started = threading.Event()
        self.failure: BaseException | None = None
        self.thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the loop and wait until it listens; raise its error if it fails."""
        self.thread.start()
        self.started.wait()
        if self.failure is not None:
            raise self.failure

    def stop(self) -> None:
        """Set `stopping` and wait until the coroutine has returned."""
        if self.thread.is_alive():
            self.loop.call_soon_threadsafe(self.stopping.set)
            self.thread.join()

    def _run(self) -> None:
        asyncio.set_event_loop(self.loop)
        try:
            self.loop.run_until_complete(self.main())
        except BaseException as error:
            self.failure = error
            log_exception("loop_failed", thread=self.thread.name)
        finally:
            self.started.set()
            self._cancel_remaining_tasks()
            self.loop.close()

    def _cancel_remaining_tasks(self) -> None:
        """End the tasks that the coroutine did not await, such as late handlers.

        A task that still waits when its loop closes raises in whatever thread collects
        it.
        """
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
