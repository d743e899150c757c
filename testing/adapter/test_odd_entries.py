"""Entries of other writers among those of the targets."""

import json

import pytest
from adapter.codec import PlatformCodec
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is

from lacewinglift.errors import ConfigurationError
from testing.adapter.test_codec import ENTRY
from testing.adapter.watching_observer import make_entry
from testing.standins.proxy_harness import wait_until

DEPTH = 100_000
DEEPLY_NESTED = b"[" * DEPTH + b"]" * DEPTH
DEEPLY_NESTED_FIELD = b'{"status": ' + b'{"a":' * DEPTH + b"1" + b"}" * DEPTH + b"}"


def change(path, value):
    """Return an entry with one field changed."""
    entry = json.loads(json.dumps(ENTRY))
    *parents, name = path.split(".")
    fields = entry
    for parent in parents:
        fields = fields[parent]
    fields[name] = value
    return json.dumps(entry).encode()


ODD_ENTRIES = {
    "deeply nested": DEEPLY_NESTED,
    "deeply nested field": DEEPLY_NESTED_FIELD,
    "long number": b'{"born": ' + b"9" * 10_000 + b"}",
    "infinite number": json.dumps(ENTRY).encode().replace(b"6}", b"1e999}"),
    "large born": change("born", 2**64),
    "large slots": change("server_info.slots", 2**32),
    "large sequence": change("status.sequence", 10**30),
    "large port": change("address", "10.0.0.1:65536"),
    "port 0": change("address", "10.0.0.1:0"),
    "long port": change("address", "10.0.0.1:" + "9" * 5000),
    "superscript port": change("address", "10.0.0.1:²"),
    "host name": change("address", "host.example:80"),
    "host with spaces": change("address", "10.0.0.1 x:80"),
    "half a surrogate": change("server_info.zone", "\ud800"),
    "not UTF-8": b"\xff\xfe{}",
    "empty": b"",
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entry_names_no_target(name):
    """Guards against a process that ends at an entry which another writer left."""
    assert_that(PlatformCodec().read_target("i-1", ODD_ENTRIES[name]), Is(None))


@pytest.mark.parametrize("value", ["soon", True, -1, 3_600_000, 2**32, 1e999])
def test_odd_warmup_is_logged_once_and_taken_as_missing(value, caplog):
    """Guards against a target that is lost, or cold for an hour, by one odd number."""
    caplog.set_level("INFO")
    codec = PlatformCodec()
    entry = change("status.warmup_remaining_ms", value)
    for _ in range(3):
        target = codec.read_target("i-1", entry)
        assert_that(target.warmup_s, Is(None))
    lines = [record.getMessage() for record in caplog.records]
    assert_that([each for each in lines if "unreadable" in each], HasLength(1))


@pytest.mark.parametrize("value", [DEEPLY_NESTED, b'{"version": "r1", "a": 1e999}'])
def test_odd_configuration_is_an_error(value):
    """Guards against a watch of the configuration that ends at an odd value."""
    with pytest.raises(ConfigurationError):
        PlatformCodec().read_configuration(value)


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_target_after_an_odd_entry_becomes_known(name, watching):
    """Guards against an observer that stops following the list at an odd entry."""
    watching.store.put("servers/odd", ODD_ENTRIES[name])
    watching.store.put("servers/new", make_entry())
    assert wait_until(lambda: "new" in watching.registry.targets)
    assert_that(watching.registry.targets, Contains("old"))


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_snapshot_can_be_built_beside_an_odd_entry(name, watching):
    """Guards against an entry that observers can read and not pass on."""
    watching.store.put("servers/odd", ODD_ENTRIES[name])
    watching.store.put("servers/new", make_entry())
    assert wait_until(lambda: "new" in watching.registry.targets)
    names = {target.name for target in watching.registry.snapshot().targets}
    assert_that(names, Equals({"old", "new"}))
