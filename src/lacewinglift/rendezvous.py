"""Rendezvous hashing: every instance ranks the same names in the same order."""

import hashlib
from collections.abc import Iterable, Mapping
from itertools import zip_longest


def rank(names: Iterable[str], key: str) -> list[str]:
    """Return `names` ordered by their weight for `key`, the highest first."""

    def weight(name: str) -> bytes:
        # The length keeps ("ab", "c") apart from ("a", "bc").
        text = f"{len(key)}:{key}{name}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return sorted(names, key=lambda name: (weight(name), name), reverse=True)


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
        rank(by_centre[centre], workspace)[:per_data_centre]
        for centre in rank(by_centre, workspace)
    ]
    layers = zip_longest(*ranked)
    return [name for layer in layers for name in layer if name is not None]
