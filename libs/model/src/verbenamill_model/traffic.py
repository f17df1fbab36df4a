"""Messages about traffic between calls, membership and moves."""

from datetime import timedelta
from enum import Enum, unique

from msgspec import Struct

from verbenamill_model.typing import (
    AvailabilityZone,
    Region,
    RouteName,
    ServiceName,
    UpstreamState,
    VersionName,
    VmId,
)


class Upstream(Struct, frozen=True, kw_only=True):
    """An upstream as announced by its daemon to the other daemons.

    :param slots: number of calls that it processes concurrently.
    :param connections: maximum number of open connections.
    """

    service: ServiceName
    version: VersionName
    state: UpstreamState
    slots: int
    connections: int


class Member(Struct, frozen=True, kw_only=True):
    """One daemon, with the upstream it owns.

    :param control: ``host:port`` of its links with other daemons.
    :param calls: ``host:port`` on which it accepts calls.
    :param admin: ``host:port`` of its admin API, for the operators' tool;
        empty if it is not announced.
    :param incarnation: increases with each change that the member itself
        makes; the record with the highest value is the valid one.
    """

    id: VmId
    availability_zone: AvailabilityZone
    region: Region
    control: str
    calls: str
    incarnation: int
    upstream: Upstream | None = None
    admin: str = ''


@unique
class Outcome(str, Enum):
    """Result of a call to an upstream, as counted for the evidence of a move.

    ``SHED`` is a call that an upstream refused before it ran, including by a
    closed port. It is not a failure of the version.
    """

    OK = 'ok'
    FAILED = 'failed'
    SHED = 'shed'
    CANCELLED = 'cancelled'


class Observation(Struct, frozen=True, kw_only=True):
    """A completed call, as observed by the owner of the upstream.

    :param latency: time from the first byte sent to the complete answer.
    """

    service: ServiceName
    version: VersionName
    route: RouteName
    outcome: Outcome
    latency: timedelta


#: Share of the calls of a service that each version gets; they add up to 1.
Shares = dict[VersionName, float]
