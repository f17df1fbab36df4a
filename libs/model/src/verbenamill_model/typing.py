"""Identifiers and states that all libraries share."""

from enum import Enum, unique
from typing import NewType

VmId = NewType('VmId', str)
AvailabilityZone = NewType('AvailabilityZone', str)
Region = NewType('Region', str)
ServiceName = NewType('ServiceName', str)
VersionName = NewType('VersionName', str)
RouteName = NewType('RouteName', str)
RequestId = NewType('RequestId', str)
TicketNumber = NewType('TicketNumber', int)
#: Position of a record on a stream of the log.
Offset = NewType('Offset', int)
#: Offset of the record that made a snapshot; snapshots only grow.
ConfigVersion = NewType('ConfigVersion', int)


@unique
class Priority(str, Enum):
    """Order in which an owner serves calls that wait for a slot."""

    HIGH = 'high'
    NORMAL = 'normal'
    BULK = 'bulk'


@unique
class Profile(str, Enum):
    """How doubt about a version is resolved at its deadline."""

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
    """Life of an upstream as its daemon announces it."""

    STARTING = 'starting'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'
