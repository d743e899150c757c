"""Immutable records of the members of a cell, as one instance sees them."""

from attrs import field, frozen

from lacewinglift.generated import fleet_pb2


@frozen
class MemberId:
    """One incarnation of an instance."""

    instance: str
    incarnation: int


@frozen
class PromiseView:
    """A member's promise not to echo heartbeats of one incarnation of an instance."""

    instance: str
    incarnation: int
    until_s: float
    """Local monotonic time until which the promise is known to hold."""


@frozen
class MemberView:
    """State of one member as of its last heartbeat; this instance's is current."""

    instance: str
    incarnation: int
    state: fleet_pb2.InstanceState
    data_centre: str = ""
    caller_address: str = ""
    peer_address: str = ""
    generation: int = 0
    ledger_version: int = 0
    """Version of the ledger that the member has applied."""
    last_heartbeat_at_s: float = 0.0
    """Local monotonic time of the last heartbeat."""
    echoed_heartbeat_sent_at_s: float = 0.0
    """Local monotonic time at which the newest heartbeat that this incarnation has
    echoed was sent to it. The member was alive after this time, however long its reply
    took."""
    store_contact_age_s: float = 0.0
    """Age of the member's last contact with the store, at `last_heartbeat_at_s`."""
    standing: bool = False
    promises: tuple[PromiseView, ...] = ()
    """Promises that this member has made."""
    demands: dict[str, float] = field(factory=dict, hash=False)
    """Tokens per second requested at this member, by workspace name."""
