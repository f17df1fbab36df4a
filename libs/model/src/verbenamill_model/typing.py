"""Identifiers and enumerations that all libraries share."""

from enum import Enum, unique
from typing import NewType

VmId = NewType('VmId', str)
AvailabilityZone = NewType('AvailabilityZone', str)
RegionName = NewType('RegionName', str)
Region = NewType('Region', str)
ServiceName = NewType('ServiceName', str)
VersionName = NewType('VersionName', str)
RouteName = NewType('RouteName', str)
OrganisationName = NewType('OrganisationName', str)
RequestId = NewType('RequestId', str)
TicketNumber = NewType('TicketNumber', int)
#: Position of a record in a stream of the log.
Offset = NewType('Offset', int)
#: Offset of the record that created a snapshot; it only increases.
ConfigVersion = NewType('ConfigVersion', int)


@unique
class Priority(str, Enum):
    """Priority of a call that waits for a slot at its owner."""

    HIGH = 'high'
    NORMAL = 'normal'
    BULK = 'bulk'


@unique
class Profile(str, Enum):
    """How a move with inconclusive evidence is decided at its deadline."""

    ON_TIME = 'on-time'
    CAUTIOUS = 'cautious'


@unique
class VerdictKind(str, Enum):
    """Final outcome of a move."""

    DONE = 'done'
    TAKEN_BACK = 'taken-back'
    SUPERSEDED = 'superseded'
    ABORTED = 'aborted'


@unique
class UpstreamState(str, Enum):
    """Lifecycle state of an upstream as announced by its daemon."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'
