"""What calls, membership and moves tell each other about traffic."""

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
    """An upstream as its daemon announces it to the other daemons.

    :param slots: calls it works on at a time.
    :param connections: open connections it allows.
    """

    service: ServiceName
    version: VersionName
    state: UpstreamState
    slots: int
    connections: int


class Member(Struct, frozen=True, kw_only=True):
    """One daemon, with the upstream it owns.

    :param control: ``host:port`` of its links with other daemons.
    :param calls: ``host:port`` where it takes calls.
    :param admin: ``host:port`` of its admin API, for the operators' tool;
        empty when it is not told.
    :param incarnation: grows with each change that the member itself makes;
        the higher one wins.
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
    """How a call to an upstream ended, as the evidence of a move counts it.

    ``SHED`` is a call that an upstream refused before it ran, also with a
    closed port, and no failure of the version.
    """

    OK = 'ok'
    FAILED = 'failed'
    SHED = 'shed'
    CANCELLED = 'cancelled'


class Observation(Struct, frozen=True, kw_only=True):
    """One call that an owner saw end.

    :param latency: from the first byte sent to the whole answer received.
    """

    service: ServiceName
    version: VersionName
    route: RouteName
    outcome: Outcome
    latency: timedelta


#: Share of the calls of a service that each version gets; adds up to 1.
Shares = dict[VersionName, float]
