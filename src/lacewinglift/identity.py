"""Identity of this instance in the fleet."""

from attrs import define

from lacewinglift.generated import fleet_pb2


@define(eq=False)
class Identity:
    """Names, addresses, incarnation and state of this instance."""

    instance: str
    fleet: str
    cell: str
    data_centre: str
    caller_address: str
    peer_address: str
    incarnation: int
    state: fleet_pb2.InstanceState = fleet_pb2.STARTING

    def renew_incarnation(self, wall_ms: int) -> None:
        """Set a higher incarnation: `wall_ms`, or the current one + 1 if greater."""
        self.incarnation = max(wall_ms, self.incarnation + 1)
