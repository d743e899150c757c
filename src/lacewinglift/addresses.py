"""Address list: the instances that a caller may use."""

import json
import random
from collections.abc import Callable

from lacewinglift.configuration import Configuration
from lacewinglift.generated import fleet_pb2
from lacewinglift.homes import home_instances, max_homes
from lacewinglift.member_views import MemberView
from lacewinglift.refusals import refuse

ADDRESSES_PATH = "/.lacewinglift/addresses"


class AddressBook:
    """Builds the lists of instance addresses for callers.

    Parameters
    ----------
    data_centre : str
        Data centre of this instance; the default for callers that specify none.
    live_members : callable
        Returns views of the members that are not suspected.
    shuffle : callable, default=random.shuffle
        Shuffles the members before they are sorted by data centre, so that callers
        that use the first address spread their requests.
    """

    def __init__(
        self,
        data_centre: str,
        live_members: Callable[[], list[MemberView]],
        shuffle: Callable[[list[MemberView]], None] = random.shuffle,
    ) -> None:
        self.data_centre = data_centre
        self.live_members = live_members
        self.shuffle = shuffle

    def build_response(
        self,
        configuration: Configuration,
        workspace: str | None,
        data_centre: str | None,
    ) -> bytes:
        """Return an address list as a JSON body.

        Parameters
        ----------
        configuration : Configuration
            The configuration in force.
        workspace : str or None
            Workspace whose home instances are listed; None lists all instances.
        data_centre : str or None
            Data centre of the caller; None means that of this instance.

        Raises
        ------
        RefusalError
            If no usable instance is known yet, or the data centre is unknown.
        """
        fleet = configuration.fleet
        if data_centre and fleet.data_centres and data_centre not in fleet.data_centres:
            known = ", ".join(fleet.data_centres)
            raise refuse("bad_request", f"data_centre is not one of {known}")
        members = [
            member
            for member in self.live_members()
            if member.state == fleet_pb2.LIVE and member.caller_address
        ]
        if not members:
            raise refuse("starting", "no live instance is known yet", retry_after_s=1)
        if workspace is not None:
            homes = _limited_homes(configuration, workspace, members)
            members = [member for member in members if member.instance in homes]
        near = data_centre or self.data_centre
        self.shuffle(members)
        members.sort(key=lambda member: member.data_centre != near)
        fields = {
            "workspace": workspace,
            "generation": configuration.generation,
            "lifetime_s": fleet.address_lifetime_s,
            "addresses": [
                {"address": member.caller_address, "data_centre": member.data_centre}
                for member in members
            ],
        }
        return json.dumps(fields).encode()


def _limited_homes(
    configuration: Configuration, workspace: str, members: list[MemberView]
) -> list[str]:
    centres = {member.instance: member.data_centre for member in members}
    per_data_centre = configuration.fleet.homes_per_data_centre
    homes = home_instances(workspace, centres, per_data_centre)
    return homes[: max_homes(configuration.workspaces[workspace].burst)]
