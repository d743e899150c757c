"""Addresses of the form ``host:port``."""


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of an address; brackets of an IPv6 host are removed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
