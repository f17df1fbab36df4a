"""Selection of the daemons that this one talks to."""

from datetime import timedelta
from random import Random

from returns.result import Failure, Result

from verbenamill_mesh.links import Links
from verbenamill_mesh.members import Members
from verbenamill_mesh.messages import Reply, Request
from verbenamill_mesh.ring import neighbours
from verbenamill_model.traffic import Member
from verbenamill_model.typing import AvailabilityZone, VmId


class Peers:
    """The other daemons, by their role."""

    def __init__(
        self,
        members: Members,
        links: Links,
        random: Random,
    ) -> None:
        self._members = members
        self._links = links
        self._random = random

    @property
    def own_member(self) -> Member:
        """This daemon."""
        return self._members.own_member

    @property
    def is_reader(self) -> bool:
        """Whether this daemon reads the log for its availability zone."""
        return self.own_member.id in self._own_readers()

    @property
    def is_primary(self) -> bool:
        """Whether this daemon is the primary reader of its zone."""
        return self._own_readers()[:1] == (self.own_member.id,)

    async def send_request(
        self,
        member: VmId,
        request: Request,
        *,
        timeout: timedelta | None = None,
    ) -> Result[Reply, str]:
        """Send a request to a member."""
        record = self._members.record(member)
        if record is None:
            return Failure(f'{member} is not a known member')
        return await self._links.send_request(
            record.member.control,
            request,
            timeout=timeout,
        )

    def zone_peers(self) -> tuple[VmId, ...]:
        """The other members in the own availability zone."""
        zone = self._members.in_zone(self.own_member.availability_zone)
        return tuple(member for member in zone if member != self.own_member.id)

    def neighbours(self) -> tuple[VmId, ...]:
        """The few members of the own availability zone to probe."""
        return neighbours(self.own_member.id, self.zone_peers())

    def choose_neighbours(self, count: int) -> list[VmId]:
        """Choose some of the neighbours at random."""
        found = self.neighbours()
        return self._random.sample(found, min(count, len(found)))

    def other_zones(self) -> tuple[AvailabilityZone, ...]:
        """The other availability zones with members alive."""
        own = self.own_member.availability_zone
        return tuple(zone for zone in self._members.zones() if zone != own)

    def gateways(self, zone: AvailabilityZone) -> tuple[VmId, ...]:
        """Members to contact in another availability zone, in order.

        The last one is any member: the zone may have replaced its readers
        while it was cut off, and only other members known here are left.
        """
        found = tuple(self._members.in_zone(zone))
        if not found:
            # All its members left after the caller chose the zone, as happens
            # when the whole mesh is stopped at once.
            return ()
        readers = self._members.readers(zone)
        random_member = self._random.choice(found)
        return tuple(dict.fromkeys((*readers, random_member)))

    def alternative_address(self, excluded: VmId) -> str:
        """Address of a random peer to which a refused daemon is referred.

        :param excluded: the refused daemon.
        """
        zone_peers = [peer for peer in self.zone_peers() if peer != excluded]
        if not zone_peers:
            return ''
        record = self._members.record(self._random.choice(zone_peers))
        return record.member.control if record else ''

    def _own_readers(self) -> tuple[VmId, ...]:
        return self._members.readers(self.own_member.availability_zone)
