"""Rendezvous hashing: stable assignment without agreement."""

import hashlib
from collections.abc import Iterable, Mapping
from itertools import zip_longest


def rendezvous_score(key: str, candidate: str) -> int:
    """Return the score of `candidate` for `key`; the highest score wins."""
    text = f"{key}\0{candidate}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def rank_candidates(key: str, candidates: Iterable[str]) -> list[str]:
    """Return `candidates` ordered by falling score for `key`."""
    return sorted(
        candidates,
        key=lambda candidate: (rendezvous_score(key, candidate), candidate),
        reverse=True,
    )


def home_instances(
    workspace: str, data_centres: Mapping[str, str], per_data_centre: int
) -> list[str]:
    """Return the home instances of a workspace.

    Parameters
    ----------
    workspace : str
        Name of the workspace.

    data_centres : mapping of str to str
        Data centre of each instance that can be a home.

    per_data_centre : int
        Number of homes in each data centre.

    Returns
    -------
    homes : list of str
        The first of each data centre, then the second of each, and so on, so that
        a shortened list still covers as many data centres as it can.
    """
    by_centre: dict[str, list[str]] = {}
    for name, centre in data_centres.items():
        by_centre.setdefault(centre, []).append(name)
    ranked = [
        rank_candidates(workspace, by_centre[centre])[:per_data_centre]
        for centre in rank_candidates(workspace, by_centre)
    ]
    layers = zip_longest(*ranked)
    return [name for layer in layers for name in layer if name is not None]
