"""Home instances of a workspace: they serve its callers and hold its quota."""

from collections.abc import Mapping
from itertools import zip_longest

from lacewinglift.rendezvous import rank_candidates

# A holder can use only whole tokens, so shares of a few tokens leave a large part of
# the burst unused. A quota is divided into shares of at least this many tokens of
# its burst, or of `MIN_SHARE_TOKENS` if there would be fewer than `MIN_HOMES`.
PREFERRED_SHARE_TOKENS = 16
MIN_SHARE_TOKENS = 4
# Callers are sent to at least two instances, so that one may fail.
MIN_HOMES = 2


def max_shares(burst: int) -> int:
    """Return the maximum number of shares of a quota with this burst."""
    return max(
        burst // PREFERRED_SHARE_TOKENS, min(burst // MIN_SHARE_TOKENS, MIN_HOMES), 1
    )


def max_homes(burst: int) -> int:
    """Return the maximum number of home instances that callers are sent to.

    It matches the number of instances that can hold a share, so that a request
    rarely needs a loan.
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
        The first instance of each data centre, then the second of each, and so on,
        so that a truncated list covers as many data centres as possible.
    """
    by_data_centre: dict[str, list[str]] = {}
    for name, data_centre in data_centres.items():
        by_data_centre.setdefault(data_centre, []).append(name)
    ranked = [
        rank_candidates(workspace, by_data_centre[data_centre])[:per_data_centre]
        for data_centre in rank_candidates(workspace, by_data_centre)
    ]
    rounds = zip_longest(*ranked)
    return [name for names in rounds for name in names if name is not None]
