"""Decides which instances relay heartbeats between data centres.

There is no vote. Each instance ranks those of a data centre by what it has heard of
them: the fastest links first, then by rendezvous rank. Two of them relay to each other
data centre. Views may differ for a moment; then more than two relay, and receivers
recognize repetitions by their sequence numbers.

Load: a relay, or all of a data centre, is killed or paused while callers are served,
or the whole fleet starts at once.
"""

from collections.abc import Callable

from attrs import define, field

from lacewinglift.generated import beats_pb2
from lacewinglift.mesh.members import Member, MemberTable
from lacewinglift.rendezvous import rendezvous_score
from lacewinglift.timers import Timers

# Relays to each other data centre. Both send, so that the loss of one delays nothing.
RELAYS_PER_PAIR = 2
# Interval of the heartbeats of a relay to its data centre.
RELAY_HEARTBEAT_INTERVAL_S = 0.25
# Time without a heartbeat of a relay after which others take its place. It covers two
# lost heartbeats. If all relays of a data centre are lost, those of their neighbours
# are late by this time, the interval of heartbeats and that of bundles; the sum must
# stay below the member timeout of 2.5 s.
RELAY_TIMEOUT_S = 0.7
# Time without a heartbeat of a relay of another data centre after which others there
# are tried. Bundles bring one each 0.5 s.
PEER_RELAY_TIMEOUT_S = 0.8
# Further delay for each candidate of a worse rank, as better ones may be lost as well.
RANK_DELAY_S = 0.1
MAX_RANK_DELAY_S = 0.5
# Instances send to another data centre themselves if no relay has been heard for this
# long. It leaves others the time to take over, so that the loss of all relays of a
# data centre does not make all its instances send to all of the fleet at once.
DIRECT_AFTER_S = 2.0
# Further receivers are tried while another data centre is silent, two in each such
# time, since its relays may be lost too.
TRY_NEXT_AFTER_S = 0.4
MAX_RECEIVERS = 8
# The fleet is counted again after this time.
VIEW_LIFETIME_S = 0.1

_STATE_ORDER = {beats_pb2.SERVING: 0, beats_pb2.BOOTING: 1, beats_pb2.DRAINING: 2}


@define(eq=False)
class RelayElection:
    """Decides whether this instance relays, and to whom.

    Attributes
    ----------
    members : MemberTable
        The other instances.
    data_centre : str
        Data centre of this instance.
    link_bytes_per_s : float
        Speed of the link of this instance; 0 if it is not known.
    min_instances : int
        Size of the fleet from which on heartbeats are relayed; 0 turns relays off.
    timers : Timers
        Clock.
    serving_state : callable
        Returns the serving state of this instance.
    """

    members: MemberTable
    data_centre: str
    link_bytes_per_s: float
    min_instances: int
    timers: Timers
    serving_state: Callable[[], int] = lambda: beats_pb2.SERVING
    by_data_centre: dict[str, list[Member]] = field(factory=dict)
    """Members that may relay, as of the last view."""
    is_large: bool = False
    viewed_at_s: float = float("-inf")
    relays_to: list[str] = field(factory=list)
    """Data centres to which this instance relays, its own one included."""
    covered_at_s: dict[str, float] = field(factory=dict)
    """Last time at which a relay to each other data centre was heard."""
    silent_since_s: dict[str, float] = field(factory=dict)
    """Time since which no relay of each other data centre has been heard."""
    few_since_s: dict[str, float] = field(factory=dict)
    """Time since which fewer relays than needed were heard, by data centre."""

    def is_on(self) -> bool:
        """Return whether the fleet is large enough to relay heartbeats."""
        self._update_view()
        return self.is_large

    def count_again(self) -> None:
        """Count the fleet again at the next question."""
        self.viewed_at_s = float("-inf")

    def others(self) -> list[str]:
        """Return the other data centres."""
        self._update_view()
        return sorted(self.by_data_centre.keys() - {self.data_centre})

    def update(self) -> list[str]:
        """Decide to which data centres this instance relays, and return them."""
        if not self.is_on():
            self.relays_to = []
            return self.relays_to
        # A data centre relays to itself too: its first relay collects the details of
        # its instances and passes them on.
        duties = [self.data_centre, *self.others()]
        self.relays_to = [other for other in duties if self._should_relay(other)]
        now = self.timers.now()
        for other in duties:
            if other in self.relays_to or self._fresh_relays(other):
                self.covered_at_s[other] = now
        return self.relays_to

    def sends_directly_to(self, data_centre: str) -> bool:
        """Return whether a data centre gets the details of this instance directly.

        Otherwise it gets them through relays.
        """
        if not self.is_on():
            return True
        covered_at_s = self.covered_at_s.get(data_centre, float("-inf"))
        return self.timers.now() - covered_at_s > DIRECT_AFTER_S

    def own_relays(self) -> list[Member]:
        """Return the other instances that relay for this data centre."""
        if not self.is_on():
            return []
        chosen = {}
        for other in [self.data_centre, *self.others()]:
            ranked = self.ranking(self.data_centre, other)[:RELAYS_PER_PAIR]
            for name in [*ranked, *(m.name for m in self._fresh_relays(other))]:
                chosen[name] = None
        by_name = {m.name: m for m in self.by_data_centre.get(self.data_centre, [])}
        return [by_name[name] for name in chosen if name in by_name]

    def position(self, other: str) -> int:
        """Return the rank of this instance among the relays for a data centre."""
        ranking = self.ranking(self.data_centre, other)
        fresh = {member.name for member in self._fresh_relays(other)}
        better = ranking[: ranking.index(self.members.own_name)]
        return len(fresh.intersection(better))

    def first_relays_of(self, data_centre: str, other: str) -> list[Member]:
        """Return the best ranked members that relay from a data centre to another."""
        by_name = {m.name: m for m in self.by_data_centre.get(data_centre, [])}
        ranking = self.ranking(data_centre, other)[:RELAYS_PER_PAIR]
        return [by_name[name] for name in ranking if name in by_name]

    def receivers(self, other: str) -> list[str]:
        """Return the addresses of those that get bundles for a data centre.

        The first relay here sends to the first one there, and the second to the
        second, so that the loss of one relay leaves a path. While fewer relays are
        heard from there, more candidates are tried.
        """
        now = self.timers.now()
        by_name = {m.name: m for m in self.by_data_centre.get(other, [])}
        ranked = [by_name[name] for name in self.ranking(other, self.data_centre)]
        heard = [
            member
            for member in ranked
            if self.data_centre in member.heartbeat.relays_to
            and member.silent_s(now) <= PEER_RELAY_TIMEOUT_S
        ]
        if len(heard) >= RELAYS_PER_PAIR:
            chosen = [heard[self.position(other) % RELAYS_PER_PAIR]]
        else:
            others = [member for member in ranked if member not in heard]
            chosen = [*heard, *others][: self._receiver_count(other, bool(heard))]
        return [member.description.beat_address for member in chosen]

    def _receiver_count(self, other: str, any_heard: bool) -> int:
        now = self.timers.now()
        if any_heard:
            self.silent_since_s[other] = now
            return RELAYS_PER_PAIR
        silent_s = now - self.silent_since_s.setdefault(other, now)
        tries = 2 + int(silent_s / TRY_NEXT_AFTER_S)
        return min(RELAYS_PER_PAIR * tries, MAX_RECEIVERS)

    def ranking(self, data_centre: str, other: str) -> list[str]:
        """Return the candidates of a data centre for relays to another one.

        The best candidates share the duties in turn: each is the first relay for one
        data centre and the second one for the next.
        """
        self._update_view()
        candidates = [
            (
                _STATE_ORDER.get(member.heartbeat.state, 1),
                -float(member.description.link_bytes_per_s),
                -rendezvous_score(f"relay {data_centre}", member.name),
                member.name,
            )
            for member in self.by_data_centre.get(data_centre, [])
            if not self._is_lost_relay(member)
        ]
        if data_centre == self.data_centre:
            name = self.members.own_name
            order = _STATE_ORDER.get(self.serving_state(), 1)
            score = -rendezvous_score(f"relay {data_centre}", name)
            candidates.append((order, -float(self.link_bytes_per_s), score, name))
        candidates.sort()
        data_centres = sorted({*self.by_data_centre, self.data_centre})
        count = _relay_count(candidates, len(data_centres))
        first = data_centres.index(other) % count if other in data_centres else 0
        names = [candidate[-1] for candidate in candidates]
        return [*names[first:count], *names[:first], *names[count:]]

    def _is_lost_relay(self, member: Member) -> bool:
        """Return whether a relay of the own data centre has become silent."""
        if member.description.data_centre != self.data_centre:
            return False
        relays = bool(member.heartbeat.relays_to)
        return relays and member.silent_s(self.timers.now()) > RELAY_TIMEOUT_S

    def _fresh_relays(self, other: str) -> list[Member]:
        now = self.timers.now()
        return [
            member
            for member in self.by_data_centre.get(self.data_centre, [])
            if other in member.heartbeat.relays_to
            and member.silent_s(now) <= RELAY_TIMEOUT_S
        ]

    def _should_relay(self, other: str) -> bool:
        now = self.timers.now()
        ranking = self.ranking(self.data_centre, other)
        rank = ranking.index(self.members.own_name)
        if rank < RELAYS_PER_PAIR:
            return True
        fresh = {member.name for member in self._fresh_relays(other)}
        if len(fresh.intersection(ranking[:rank])) >= RELAYS_PER_PAIR:
            self.few_since_s.pop(other, None)
            return False
        if other in self.relays_to:
            return True
        if len(fresh) >= RELAYS_PER_PAIR:
            self.few_since_s.pop(other, None)
            return False
        since_s = self.few_since_s.setdefault(other, now)
        delay_s = min(RANK_DELAY_S * rank, MAX_RANK_DELAY_S)
        return now - since_s >= RELAY_TIMEOUT_S + delay_s

    def _update_view(self) -> None:
        now = self.timers.now()
        if now - self.viewed_at_s < VIEW_LIFETIME_S:
            return
        self.viewed_at_s = now
        if self.min_instances <= 0:
            return
        known = self.members.known()
        centres = {member.description.data_centre for member in known}
        self.is_large = (
            len(known) + 1 >= self.min_instances
            and len(centres | {self.data_centre}) >= 2
            # Instances of an earlier build read no bundles.
            and all(member.description.bundles_heartbeats for member in known)
        )
        if not self.is_large:
            self.by_data_centre = {}
            self.covered_at_s.clear()
            self.few_since_s.clear()
            self.silent_since_s.clear()
            return
        by_data_centre: dict[str, list[Member]] = {}
        for member in self.members.reachable():
            centre = member.description.data_centre
            by_data_centre.setdefault(centre, []).append(member)
        self.by_data_centre = by_data_centre


def _relay_count(candidates: list[tuple], duties: int) -> int:
    """Return how many of the sorted candidates share the duties of relays.

    Those with much slower links get none, unless there are too few others.
    """
    if not candidates:
        return 1
    best_order, best_link = candidates[0][:2]
    similar = [
        candidate
        for candidate in candidates
        if candidate[0] == best_order and candidate[1] <= best_link / 2
    ]
    return max(min(duties, max(len(similar), RELAYS_PER_PAIR), len(candidates)), 1)
