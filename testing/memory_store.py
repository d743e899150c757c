"""Store in memory whose replies can be lost and whose calls can be preceded."""

from collections.abc import Awaitable, Callable

from attrs import define, field

from lacewinglift.errors import StoreUnavailableError
from lacewinglift.store import Entry


@define(eq=False)
class MemoryStore:
    """Has the calls of `Store` that publishing uses.

    Parameters
    ----------
    before_write : callable, default=None
        Awaited once, with the key, before the next write of a manifest.
    """

    entries: dict[str, Entry] = field(factory=dict)
    revision: int = 0
    down: bool = False
    lost_replies: int = 0
    """Manifest writes that take effect and are not answered."""
    lost_requests: int = 0
    """Manifest writes that neither take effect nor are answered."""
    down_after_lost_reply: bool = False
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
        """Write `value` if the revision is the expected one."""
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
        if is_manifest and self.lost_replies:
            self.lost_replies -= 1
            self.down = self.down_after_lost_reply
            raise StoreUnavailableError("lost reply")
        return self.revision

    def put(self, key, value):
        """Write without a comparison, as the platform does."""
        self.revision += 1
        self.entries[key] = Entry(key, value, self.revision)
        self.writes.append(key)

    def _require_up(self):
        if self.down:
            raise StoreUnavailableError("down")
