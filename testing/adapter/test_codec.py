import json

import pytest
from adapter.codec import PlatformCodec
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from lacewinglift.configuration import digest_key
from lacewinglift.errors import ConfigurationError
from lacewinglift.mesh.registry import RegisteredTarget

ENTRY = {
    "address": "10.128.0.9:8080",
    "born": 1700000000000,
    "server_info": {
        "service": "tills",
        "version": "v1",
        "zone": "milano",
        "slots": 6,
    },
    "status": {"state": "ready", "sequence": 4, "warmup_remaining_ms": 1500},
}


def make_route(**fields):
    specification = {
        "host": "Shop.example",
        "prefix": "/sales/",
        "kind": "unsafe",
        "timeout_ms": 4000,
        "target_latency_ms": 2000,
        "priority": 1,
        "service": "tills",
        "attempts": 2,
        "public": False,
    }
    return {
        "resource_kind": "routes",
        "metadata": {"name": "r-1"},
        "specification": {**specification, **fields},
    }


def make_configuration(*resources, version="r12"):
    tenant = {
        "resource_kind": "tenants",
        "metadata": {"name": "house"},
        "specification": {"api_keys": ["k1", "k2"], "rate_per_s": 34, "burst": 30},
    }
    fields = {"version": version, "resources": [tenant, *resources], "later": 1}
    return json.dumps(fields).encode()


@pytest.fixture
def codec():
    return PlatformCodec()


def test_route_fields_are_read(codec):
    """Guards against a field of a route that is read from the wrong name."""
    configuration = codec.read_configuration(make_configuration(make_route()))
    route = configuration.route_for("/sales/1", "shop.example")
    assert_that(configuration.generation, Equals(12))
    assert_that(route.service, Equals("tills"))
    assert_that(route.idempotent, Is(False))
    assert_that((route.timeout_s, route.objective_s), Equals((4.0, 2.0)))
    assert_that((route.max_attempts, route.priority), Equals((2, 1)))
    assert_that(route.open, Is(False))


@pytest.mark.parametrize("path", ["/sales", "/salesx/1", "/other/"])
def test_prefix_matches_only_with_its_trailing_slash(codec, path):
    """Guards against a match of `/sales` or `/salesx/` by the prefix `/sales/`."""
    configuration = codec.read_configuration(make_configuration(make_route()))
    assert_that(configuration.route_for(path, "shop.example"), Is(None))


def test_longest_prefix_of_the_host_is_chosen(codec):
    """Guards against the choice of another host's route or of a shorter prefix."""
    routes = [
        make_route(prefix="/"),
        make_route(prefix="/sales/old/", service="archive"),
        make_route(host="other.example", prefix="/sales/old/1/", service="other"),
    ]
    configuration = codec.read_configuration(make_configuration(*routes))
    route = configuration.route_for("/sales/old/1/2", "shop.example")
    assert_that(route.service, Equals("archive"))


@pytest.mark.parametrize("kind", ["safe", "download"])
def test_safe_and_download_routes_are_idempotent(codec, kind):
    """Guards against downloads that fail after the first truncated response."""
    route = make_route(kind=kind)
    configuration = codec.read_configuration(make_configuration(route))
    assert configuration.routes[0].idempotent


def test_traffic_split_is_read(codec):
    """Guards against a split that sends all requests to one service."""
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    route = make_route(traffic_split=split)
    del route["specification"]["service"]
    configuration = codec.read_configuration(make_configuration(route))
    parts = [(part.service, part.weight) for part in configuration.routes[0].split]
    assert_that(parts, Equals([("a", 90.0), ("b", 10.0)]))


@pytest.mark.parametrize("rate_per_s", [4.6, -1, float("nan"), "many", True])
def test_warmup_of_a_service_is_read(codec, rate_per_s):
    """Guards against a field read from the wrong name, and a number that limits all."""
    service = {
        "resource_kind": "services",
        "metadata": {"name": "tills"},
        "specification": {"warmup_s": 3.0, "warmup_per_s": rate_per_s},
    }
    route = make_route(allowed_regions=["south"])
    configuration = codec.read_configuration(make_configuration(service, route))
    read = configuration.services["tills"]
    expected = 4.6 if rate_per_s == 4.6 else 0.0
    assert_that((read.warmup_s, read.warmup_per_s), Equals((3.0, expected)))
    assert_that(configuration.routes[0].allowed_regions, Equals({"south"}))


@pytest.mark.parametrize("regions", ["south", [7]])
def test_unreadable_regions_are_an_error(codec, regions):
    """Guards against requests that leave their regions by a mistake in the field."""
    with pytest.raises(ConfigurationError):
        codec.read_configuration(
            make_configuration(make_route(allowed_regions=regions))
        )


def test_workspace_is_found_by_the_digest_of_its_key(codec):
    """Guards against API keys in clear text in memory, dumps or snapshots."""
    configuration = codec.read_configuration(make_configuration(make_route()))
    house = configuration.workspace_for_digest(digest_key("k2"))
    assert_that((house.name, house.rate_per_s, house.burst), Equals(("house", 34, 30)))


def test_routes_are_open_where_there_are_no_tenants(codec):
    """Guards against the refusal of all requests where no API keys exist."""
    fields = json.loads(make_configuration(make_route()))
    fields["resources"] = fields["resources"][1:]
    configuration = codec.read_configuration(json.dumps(fields).encode())
    assert configuration.routes[0].open


@pytest.mark.parametrize(
    "value", [b"", b"{", b"[]", b'{"version": 3, "resources": []}', b"\xff"]
)
def test_unreadable_configuration_is_an_error(codec, value):
    """Guards against an invalid value that replaces the configuration in force."""
    with pytest.raises(ConfigurationError):
        codec.read_configuration(value)


def test_target_entry_is_read(codec):
    """Guards against a field of a target that is read from the wrong name."""
    target = codec.read_target("i-1", json.dumps(ENTRY).encode())
    assert_that(
        target,
        Equals(
            RegisteredTarget(
                "i-1",
                "tills",
                "10.128.0.9:8080",
                "milano",
                6,
                1700000000000,
                4,
                warmup_s=1.5,
            )
        ),
    )


@pytest.mark.parametrize(
    "invalid_fields",
    [
        {"address": "nowhere"},
        {"address": 7},
        {"born": 1.5},
        {"server_info": {}},
        {"server_info": {**ENTRY["server_info"], "slots": "six"}},
        {"status": {**ENTRY["status"], "state": "gone"}},
        {"status": {**ENTRY["status"], "sequence": True}},
    ],
)
def test_invalid_target_entry_is_ignored(codec, invalid_fields):
    """Guards against requests sent to the address in an invalid entry."""
    value = json.dumps({**ENTRY, **invalid_fields}).encode()
    assert_that(codec.read_target("i-1", value), Is(None))
