"""An observer that watches a stand-in of the platform's store."""

from adapter.codec import PlatformCodec
from adapter.store_client import PlatformStoreClient

from lacewinglift.mesh.members import MemberTable
from lacewinglift.mesh.observer_election import ObserverElection
from lacewinglift.mesh.observers import Observer
from lacewinglift.mesh.registry import TargetRegistry
from lacewinglift.timers import ThreadTimers
from testing.standins.platform_store import PlatformStoreStandIn
from testing.standins.proxy_harness import wait_until

# Writes that are lost, and as many that follow the restore.
LOST_WRITES = 10


def make_entry(state="ready", sequence=1, born_ms=1):
    return {
        "address": "10.0.0.1:80",
        "born": born_ms,
        "server_info": {"service": "tills", "zone": "milano", "slots": 4},
        "status": {"state": state, "sequence": sequence},
    }


class Watching:
    """An observer of a store that holds one target and one configuration."""

    def __init__(self):
        self.store = PlatformStoreStandIn()
        self.store.put("op/config", b"first")
        self.store.put("servers/old", make_entry())
        self.timers = ThreadTimers()
        self.registry = TargetRegistry(self.timers)
        self.configurations = []
        self.observer = Observer(
            PlatformStoreClient(self.store.address),
            PlatformCodec(),
            self.registry,
            ObserverElection(MemberTable("self", self.timers), "milano", self.timers),
            self.configurations.append,
            lambda addresses: None,
            "127.0.0.1:81",
            self.timers,
            is_started=lambda: True,
            read_immediately=False,
        )
        self.observer.start()
        assert wait_until(lambda: self.configurations and self.registry.ready)

    def lose_writes(self):
        """Let the observer see writes that a restore will undo; return the copy."""
        copy = self.store.copy()
        for sequence in range(LOST_WRITES):
            self.store.put("servers/lost", make_entry(sequence=sequence + 1))
        assert wait_until(lambda: self.registry.revision == self.store.revision)
        return copy

    def close(self):
        self.observer.stop()
        self.timers.stop()
        self.store.close()
