"""Addresses of the form ``host:port``."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address; an IPv6 host stands in brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
