"""In-memory store for tests of publishing, with faults."""

from collections.abc import Awaitable, Callable

from attrs import define, field

from lacewinglift.errors import StoreUnavailableError
from lacewinglift.store import Entry


@define(eq=False, slots=False)
class MemoryStore:
    """Implements the methods of `Store` that publishing uses.

    Parameters
    ----------
    before_write : callable, default=None
        Awaited once, with the key, before the next write of a manifest: a test can
        change the store between a read and the write that follows it.
    """

    entries: dict[str, Entry] = field(factory=dict)
    revision: int = 0
    down: bool = False
    lost_replies: int = 0
    """Number of manifest writes that take effect but whose reply is lost."""
    lost_requests: int = 0
    """Number of manifest writes that are lost before they take effect."""
    down_after_lost_reply: bool = False
    down_after_write: bool = False
    before_write: Callable[[str], Awaitable[None]] | None = None
    writes: list[str] = field(factory=list)

    async def get(self, key):
        """Return the entry of `key`."""
        self._require_up()
        return self.entries.get(key)

    async def list_prefix(self, prefix):
        """Return the entries below `prefix`."""
        self._require_up()
        return [entry for key, entry in self.entries.items() if key.startswith(prefix)]

    async def compare_and_swap(self, key, value, expected_revision):
        """Write `value` if the revision of `key` is `expected_revision`."""
        self._require_up()
        is_manifest = key.endswith("/manifest")
        if is_manifest and self.before_write is not None:
            hook, self.before_write = self.before_write, None
            await hook(key)
        if is_manifest and self.lost_requests:
            self.lost_requests -= 1
            raise StoreUnavailableError("lost request")
        known = self.entries.get(key)
        if (known.revision if known else 0) != expected_revision:
            return None
        self.put(key, value)
        self.down = self.down or (is_manifest and self.down_after_write)
        if is_manifest and self.lost_replies:
            self.lost_replies -= 1
            self.down = self.down_after_lost_reply
            raise StoreUnavailableError("lost reply")
        return self.revision

    def put(self, key, value):
        """Write unconditionally, as the platform does."""
        self.revision += 1
        self.entries[key] = Entry(key, value, self.revision)
        self.writes.append(key)

    def _require_up(self):
        if self.down:
            raise StoreUnavailableError("down")
