"""What one instance knows about the members of its cell."""

from attrs import field, frozen

from lacewinglift.generated import fleet_pb2


@frozen
class MemberId:
    """One incarnation of an instance."""

    instance: str
    incarnation: int


@frozen
class PromiseView:
    """A promise of a member not to echo one incarnation of another instance."""

    instance: str
    incarnation: int
    until_s: float
    """Local monotonic time until which the promise certainly holds."""


@frozen
class MemberView:
    """The last that was heard of one member; the own entry is always current."""

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
    """Local time of sending of the newest own heartbeat that this incarnation has
    echoed: the member was alive after it, however late its heartbeat came."""
    store_contact_age_s: float = 0.0
    """Age of the member's last contact with the store, at `last_heartbeat_at_s`."""
    standing: bool = False
    promises: tuple[PromiseView, ...] = ()
    """Promises that this member has made."""
    demands: dict[str, float] = field(factory=dict, hash=False)
    """Tokens per second asked for at this member, by name of workspace."""
