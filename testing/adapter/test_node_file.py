import json
import pathlib
import re
import tomllib

import pytest
from adapter.node_file import METRICS_PORT, NodeFile
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from lacewinglift.errors import SettingsError
from lacewinglift.mesh.unreported_usage import RateTolerance
from lacewinglift.mesh.watch_timeouts import ChangeBounds

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
FIELDS = {
    "node": "frontend-milano-1",
    "ip_address": "10.1.0.37",
    "zone": "milano",
    "listen_addresses": {
        "frontend": "10.1.0.37:8388",
        "ready": "10.1.0.37:8384",
        "control": "10.1.0.37:8381",
        "directory": "10.1.0.37:8383",
    },
    "internal_port_range": [7560, 7575],
    "seeds": ["10.2.0.8:8381"],
    "bounds": [
        "budget_ratio=0.2",
        "budget_slack=58",
        "closed=false",
        "config_propagation_ms=2500",
        "drain_ms=1500",
        "grace_s=6",
        "quota_window_s=4",
        "stable_window_ms=4000",
    ],
    "platform": {"address": "10.200.1.7:8382"},
    "zones": {"milano": "south", "torino": 7},
    "unknown": {"new": "field"},
}


@pytest.fixture
def write(tmp_path):
    def write(fields):
        path = tmp_path / "boot.json"
        path.write_text(json.dumps(fields))
        return str(path)

    return write


def test_settings_come_from_the_fields(write):
    """Guards against an address that is read from the wrong field."""
    settings = NodeFile(write(FIELDS)).build_settings()
    assert_that(settings.change_bounds, Equals(ChangeBounds(1.5, 4.0)))
    assert_that(settings.caller_address, Equals("10.1.0.37:8388"))
    assert_that(settings.heartbeat_address, Equals("10.1.0.37:8381"))
    assert_that(settings.fetch_address, Equals("10.1.0.37:7560"))
    assert_that(settings.seeds, Equals(("10.2.0.8:8381",)))
    assert_that(settings.retry_limits.slack, Equals(58.0))
    assert_that(settings.rate_tolerance, Equals(RateTolerance(0.1, 20.0, 4.0)))
    assert_that(settings.regions, Equals({"milano": "south"}))
    assert settings.stop_bound_s < 6


@pytest.mark.parametrize(
    ("stated", "expected_s"), [(2500, 2.5), (None, 1.5), (0, 1.5), ("soon", 1.5)]
)
def test_heartbeat_interval_of_targets_is_read(write, stated, expected_s):
    """Guards against a time of expiry that holds for one deployment only."""
    fields = {**FIELDS, "heartbeat_interval_ms": stated}
    settings = NodeFile(write(fields)).build_settings()
    assert_that(settings.target_heartbeat_interval_s, Equals(expected_s))


@pytest.mark.parametrize(
    ("contracts", "expected"),
    [(["base", "pressure"], True), (["base", "quota"], False), (None, False)],
)
def test_overload_control_is_on_only_by_contract(write, contracts, expected):
    """Guards against requests that are refused where nobody asked for priorities."""
    settings = NodeFile(write({**FIELDS, "contracts": contracts})).build_settings()
    assert_that(settings.overload_control, Equals(expected))


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        ({"cpu_share": 0.43, "cpu_cores": 1, "link_mbps": 10}, (0.43, 1_250_000)),
        ({"cpu_share": "much", "cpu_cores": -1, "link_mbps": True}, (None, None)),
        ([], (None, None)),
    ],
)
def test_limits_that_are_no_positive_numbers_are_not_known(write, limits, expected):
    """Guards against an instance that does not start, or states a wrong capacity."""
    settings = NodeFile(write({**FIELDS, "limits": limits})).build_settings()
    found = (settings.processor_cores, settings.link_bytes_per_s)
    assert_that(found, Equals(expected))


def test_missing_field_is_reported(write):
    """Guards against an instance that starts without a required setting."""
    fields = {**FIELDS, "platform": {}}
    with pytest.raises(SettingsError) as caught:
        NodeFile(write(fields)).build_settings()
    assert_that(str(caught.value), Contains("platform.address"))


@pytest.mark.parametrize("text", ["", "[]", "{"])
def test_unreadable_file_is_an_error(tmp_path, text):
    """Guards against a traceback instead of an error that names the file."""
    path = tmp_path / "boot.json"
    path.write_text(text)
    with pytest.raises(SettingsError, match=re.escape("boot.json")):
        NodeFile(str(path))


def test_requirements_match_the_project_dependencies():
    """Guards against hosts that install other libraries than the tests use."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    listed = (ROOT / "requirements.txt").read_text().split()
    assert_that(sorted(listed), Equals(sorted(project["dependencies"])))


def test_deploy_file_uses_the_metrics_port():
    """Guards against metrics that are scraped from a port without a listener."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    metrics = deploy["roles"]["instance"]["metrics"]
    assert_that(metrics, Equals(f"{METRICS_PORT}/metrics"))
