import hypothesis.strategies as st
from hypothesis import given

from lacewinglift._division import Quota, homes_with_share, target_shares
from lacewinglift.ledger import TOTAL_PPM

NAMES = [f"i{number}" for number in range(8)]
DEMANDS = st.dictionaries(st.sampled_from(NAMES), st.floats(0, 1000), max_size=8)


@given(DEMANDS, st.integers(1, 500), st.integers(1, 6), st.floats(0.5, 1000))
def test_target_shares_are_valid(demands, burst, homes, rate):
    """Guards against shares that exceed the quota or hold no whole token."""
    quota = Quota(rate, burst, tuple(NAMES[:homes]), demands)
    targets = target_shares(quota)
    assert sum(targets.values()) <= TOTAL_PPM
    assert all(ppm * burst >= TOTAL_PPM for ppm in targets.values())
    assert set(homes_with_share(quota)) <= set(targets)


def test_home_below_equal_share_gets_its_demand():
    """Guards against an overloaded instance that reduces the shares of others."""
    demands = {"i0": 1000.0, "i1": 24.0, "i2": 25.0}
    targets = target_shares(Quota(100.0, 200, ("i0", "i1", "i2", "i3"), demands))
    assert targets["i1"] >= 239_999
    assert targets["i2"] >= 249_999
