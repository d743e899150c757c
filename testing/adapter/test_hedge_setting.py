"""Limit of hedges of a process on the platform."""

import pytest
from adapter.hedge_setting import HedgeSetting
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.errors import SettingsError
from lacewinglift.hedging.hedger import Hedger
from lacewinglift.timers import ManualTimers


def test_limit_can_be_changed_at_runtime(tmp_path):
    """Guards against a wrong file that turns hedging off, or on without a limit."""
    path = tmp_path / "limit"
    setting = HedgeSetting([f"--hedge-limit-file={path}"])
    hedger = Hedger(ManualTimers(), setting.read_percent())
    limits = []
    for text in ("2\n", "two", "1.5", "off"):
        path.write_text(text)
        setting.reread(hedger)
        limits.append(hedger.limit_percent)
    assert_that(limits, Equals([2.0, 2.0, 1.5, None]))


def test_arguments_are_checked():
    """Guards against a start without the limit that the operator meant."""
    assert HedgeSetting([]).read_percent() is None
    assert_that(HedgeSetting(["--hedge-limit-percent", "2"]).read_percent(), Equals(2))
    for arguments in (["--hedge-limit", "2", "x"], ["--hedge-limit-percent"]):
        with pytest.raises(SettingsError):
            HedgeSetting(arguments)
    with pytest.raises(SettingsError):
        HedgeSetting(["--hedge-limit-percent=0"]).read_percent()
