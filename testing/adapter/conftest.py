import pytest

from testing.adapter.machines import Machines


@pytest.fixture
def machines(tmp_path):
    machines = Machines(tmp_path)
    yield machines
    machines.close()
