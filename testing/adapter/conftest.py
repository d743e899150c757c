import pytest

from testing.adapter.platform_fleet import PlatformFleet


@pytest.fixture
def fleet(tmp_path):
    fleet = PlatformFleet(tmp_path)
    yield fleet
    fleet.close()
