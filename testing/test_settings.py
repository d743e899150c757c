import pytest

from lacewinglift.errors import SettingsError
from lacewinglift.settings import load_settings

GOOD = """{
  "instance": "milano-1", // unique
  "fleet": "pilarossi",
  "data_centre": "milano",
  "caller_address": "127.0.0.1:8080",
  "peer_address": "[::1]:8081",
  "store_address": "localhost:2379",
  "seeds": ["127.0.0.1:8091"]
}"""


def load(tmp_path, text):
    path = tmp_path / "settings.jsonc"
    path.write_text(text)
    return load_settings(path)


def faults_of(tmp_path, text):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, text)
    return [(fault.line, fault.message) for fault in caught.value.faults]


def test_settings_have_defaults(tmp_path):
    """Guards against a setting that is lost or has the wrong type."""
    settings = load(tmp_path, GOOD)
    assert settings.instance == "milano-1"
    assert settings.seeds == ("127.0.0.1:8091",)
    assert settings.cell == "main"
    assert "127.0.0.0/8" in settings.operator_networks


def test_all_faults_are_reported(tmp_path):
    """Guards against a file that has to be corrected one fault at a time."""
    text = GOOD.replace('"fleet"', '"fleat"').replace(
        '["127.0.0.1:8091"]',
        '["nowhere", "127.0.0.1:8091", 3],\n"stop_bound_ms": 5,\n"worker_threads": "8"',
    )
    faults = faults_of(tmp_path, text)
    assert [line for line, _ in faults] == [1, 3, 8, 8, 9, 10]
    assert "'fleet' is missing" in faults[0][1]
    assert "did you mean 'fleet'?" in faults[1][1]
    assert "use 'stop_bound_s': seconds" in faults[4][1]
    assert "without quotes" in faults[5][1]


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("127.0.0.1:8080", "127.0.0.1:80800", "65535"),
        ('["127.0.0.1:8091"]', '[], "operator_networks": ["10.0.0.1/8"]', "host bits"),
    ],
)
def test_values_that_the_schema_cannot_validate(tmp_path, old, new, message):
    """Guards against an invalid address or network found only at its first use."""
    [(_, text)] = faults_of(tmp_path, GOOD.replace(old, new))
    assert message in text


def test_absent_file_is_a_fault(tmp_path):
    """Guards against a traceback for a wrong file name."""
    with pytest.raises(SettingsError, match="No such file"):
        load_settings(tmp_path / "none.jsonc")
