"""Limits on the number of requests in progress at this instance."""

import contextlib
import threading
from collections.abc import Iterator

from lacewinglift.configuration import Service, Workspace
from lacewinglift.refusals import refuse


class ConcurrencyLimiter:
    """Limits requests in progress per service, per workspace and in total.

    A service can occupy at most half of the worker threads, and all services
    together leave an eighth of them free. Refusals, address queries and other
    services therefore stay fast while the targets of a service are slow.

    Parameters
    ----------
    worker_threads : int
        Number of worker threads.
    """

    def __init__(self, worker_threads: int) -> None:
        self.max_per_service = max(1, worker_threads // 2)
        self.max_total = max(1, worker_threads - max(1, worker_threads // 8))
        self.in_progress = 0
        self.in_progress_by_service: dict[str, int] = {}
        self.in_progress_by_workspace: dict[str, int] = {}
        self._lock = threading.Lock()

    @contextlib.contextmanager
    def request_slot(
        self, service: Service, workspace: Workspace | None
    ) -> Iterator[None]:
        """Occupy a slot for one request until the context ends.

        Raises
        ------
        RefusalError
            If a limit is reached.
        """
        self._acquire(service, workspace)
        try:
            yield
        finally:
            self._release(service, workspace)

    def _acquire(self, service: Service, workspace: Workspace | None) -> None:
        with self._lock:
            reached_limit = self._reached_limit(service, workspace)
            if reached_limit is not None:
                message = f"{reached_limit} has too many requests in progress here"
                raise refuse("concurrency", message, retry_after_s=1)
            self.in_progress += 1
            _add(self.in_progress_by_service, service.name, 1)
            if workspace is not None:
                _add(self.in_progress_by_workspace, workspace.name, 1)

    def _reached_limit(
        self, service: Service, workspace: Workspace | None
    ) -> str | None:
        """Return the name of what has reached its limit, or None."""
        if self.in_progress >= self.max_total:
            return "this instance"
        max_in_progress = min(service.max_concurrent, self.max_per_service)
        if self.in_progress_by_service.get(service.name, 0) >= max_in_progress:
            return service.name
        if workspace is None:
            return None
        if (
            self.in_progress_by_workspace.get(workspace.name, 0)
            >= workspace.max_concurrent
        ):
            return workspace.name
        return None

    def _release(self, service: Service, workspace: Workspace | None) -> None:
        with self._lock:
            self.in_progress -= 1
            _add(self.in_progress_by_service, service.name, -1)
            if workspace is not None:
                _add(self.in_progress_by_workspace, workspace.name, -1)


def _add(counts: dict[str, int], name: str, change: int) -> None:
    count = counts.get(name, 0) + change
    if count:
        counts[name] = count
    else:
        counts.pop(name, None)
