"""Rendezvous hashing: a stable assignment that needs no coordination."""

import hashlib
from collections.abc import Iterable


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the score of `candidate` for `key`; the highest score wins."""
    text = f"{key}\0{candidate}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Return `candidates` in descending order of their score for `key`."""
    return sorted(
        candidates,
        key=lambda candidate: (rendezvous_score(key, candidate), candidate),
        reverse=True,
    )
