"""Reply to GetStatus: the state of this instance and of its peers."""

from lacewinglift.generated import fleet_pb2
from lacewinglift.member_views import MemberView
from lacewinglift.members import SUSPECT_AFTER_S, Members

# Greatest value of the uint32 fields. Also stands for the age of a contact that never
# took place.
UNKNOWN_AGE_MS = 2**32 - 1


def status_reply(members: Members, now_s: float) -> fleet_pb2.GetStatusReply:
    """Return the reply to GetStatus, with this instance as `self`."""
    own, *peers = members.views()
    return fleet_pb2.GetStatusReply(
        self=instance_status(own, now_s),
        peers=[instance_status(view, now_s) for view in peers],
    )


def instance_status(view: MemberView, now_s: float) -> fleet_pb2.InstanceStatus:
    """Return the status message for one member, with ages as of `now_s`."""
    age_s = max(now_s - view.last_heartbeat_at_s, 0.0)
    contact_age_s = view.store_contact_age_s + age_s
    return fleet_pb2.InstanceStatus(
        instance=view.instance,
        incarnation=view.incarnation,
        data_centre=view.data_centre,
        caller_address=view.caller_address,
        peer_address=view.peer_address,
        state=view.state,
        generation=view.generation,
        ledger_version=view.ledger_version,
        standing=view.standing,
        age_ms=_bounded_ms(age_s),
        store_contact_age_ms=_bounded_ms(contact_age_s),
        suspected=age_s > SUSPECT_AFTER_S,
    )


def _bounded_ms(age_s: float) -> int:
    return int(min(age_s * 1000, UNKNOWN_AGE_MS))
