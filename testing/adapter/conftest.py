import pytest

from lacewinglift.mesh import observer_election
from testing.adapter.platform_fleet import PlatformFleet
from testing.adapter.watching_observer import Watching


@pytest.fixture
def fleet(tmp_path):
    fleet = PlatformFleet(tmp_path)
    yield fleet
    fleet.close()


@pytest.fixture
def watching(monkeypatch):
    """Observer of a store that holds one target and one configuration."""
    # There are no other instances to listen for.
    monkeypatch.setattr(observer_election, "INITIAL_LISTEN_S", 0.0)
    watching = Watching()
    yield watching
    watching.close()
