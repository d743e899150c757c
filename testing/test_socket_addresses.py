import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals

from lacewinglift.socket_addresses import split_address


@pytest.mark.parametrize(
    ("address", "parts"),
    [("127.0.0.1:80", ("127.0.0.1", 80)), ("[::1]:8080", ("::1", 8080))],
)
def test_address_is_split(address, parts):
    """Guards against a connection attempt to an IPv6 host with brackets."""
    assert_that(split_address(address), Equals(parts))
