"""Who this instance is."""

from attrs import define

from lacewinglift.generated import fleet_pb2


@define(eq=False)
class Identity:
    """Names and addresses of this instance, and its current incarnation."""

    instance: str
    fleet: str
    cell: str
    data_centre: str
    caller_address: str
    peer_address: str
    incarnation: int
    state: fleet_pb2.InstanceState = fleet_pb2.STARTING

    def renew_incarnation(self, wall_ms: int) -> None:
        """Take a new incarnation number, above the current one."""
        self.incarnation = max(wall_ms, self.incarnation + 1)
