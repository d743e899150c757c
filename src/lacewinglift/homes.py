"""Home instances of a workspace: where its callers go and its shares are."""

from collections.abc import Mapping
from itertools import zip_longest

from lacewinglift.rendezvous import rank_candidates

# A holder can only use whole tokens, so a share of few tokens leaves a large part
# of the burst unused.
PREFERRED_SHARE_TOKENS = 16
MIN_SHARE_TOKENS = 4
# Callers are sent to two instances at least, so that one may fail.
MIN_HOMES = 2


def max_shares(burst: int) -> int:
    """Return how many instances a quota with this burst is divided among at most."""
    return max(
        burst // PREFERRED_SHARE_TOKENS, min(burst // MIN_SHARE_TOKENS, MIN_HOMES), 1
    )


def max_homes(burst: int) -> int:
    """Return how many home instances the callers of a workspace are sent to.

    These are the instances that can hold a share, so that a request rarely needs a
    loan.
    """
    return max(max_shares(burst), MIN_HOMES)


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
