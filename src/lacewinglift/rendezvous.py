"""Rendezvous hashing: the same choice of names in every instance."""

import hashlib
from collections.abc import Iterable


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` in the order in which they are preferred for `key`.

    A name that is added or removed changes nothing in the order of the others.
    """

    def weight(name: str) -> bytes:
        return hashlib.sha256(f"{key}\0{name}".encode()).digest()

    return sorted(names, key=weight, reverse=True)
