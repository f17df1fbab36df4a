"""Interfaces of the daemon to the platform that it runs on.

An adapter implements them for one platform. It knows the names and formats of
that platform and makes no decisions.
"""

from collections import Counter
from collections.abc import Callable, Collection
from enum import Enum, unique
from typing import Protocol

from msgspec import Struct
from returns.result import Result

from verbenamill_model.typing import AvailabilityZone, ServiceName, VmId
from verbenamill_policy.evacuations import Evacuation
from verbenamill_policy.fingerprints import Fingerprint
from verbenamill_policy.heartbeats import Heartbeat
from verbenamill_policy.members import MemberRecord
from verbenamill_policy.quarantine import Suspect
from verbenamill_policy.rollouts import Order, SettledOrder
from verbenamill_policy.routes import Configuration


class HeaderNames(Struct, frozen=True, kw_only=True):
    """Names of the headers that callers and upstreams use, in lower case.

    :param request_id: identifies one try of a caller; upstreams echo it.
    :param deadline: time left for the request, in milliseconds.
    :param seal: on an answer, marks the body as complete and the upstream's
        own.
    :param instance: on a request, the only upstream that may run it.
    :param load: on an answer, the load that the upstream reports.
    :param not_run: on an answer, that the request was not run.
    :param caller: service of the VM on which the request originated.
    :param limit: on an answer, requests per second that the upstream accepts.
    :param leaving: on an answer, that the upstream is leaving.
    :param cold: on the answer to a health check, how long the upstream stays
        cold, in milliseconds.
    :param instance_id: on the answer to a health check, the upstream itself.
    :param key: on a request of a caller, the key of its organisation; never
        forwarded.
    :param organisation: on a request to an upstream, the name of the
        organisation that the caller belongs to.
    """

    request_id: bytes
    deadline: bytes
    seal: bytes
    instance: bytes
    load: bytes
    not_run: bytes
    caller: bytes
    limit: bytes
    leaving: bytes
    cold: bytes
    instance_id: bytes
    key: bytes
    organisation: bytes


@unique
class StoreFault(Enum):
    """Why a call to the store failed.

    After ``UNKNOWN`` a write may have taken effect or may still do so.
    """

    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    CONFLICT = 'conflict'
    EXPIRED = 'expired'


@unique
class StorePurpose(Enum):
    """Purpose of a call to the store, as it is counted."""

    PUBLISHED = 'published'
    FOLLOW = 'follow'
    SETTLEMENTS = 'settlements'
    SETTLE = 'settle'
    MEMBERS = 'members'
    ANNOUNCE = 'announce'
    SAVE_ZONE = 'save-zone'
    SAVE_SUSPECTS = 'save-suspects'
    JOIN = 'join'


class PublishedRecords(Struct, frozen=True, kw_only=True):
    """Records that operators have published, as one read returns them.

    :param next_position: position after these records, for the next read.
    :param configuration: the newest configuration among them, if any.
    :param evacuations: evacuations that begin, or that end.
    :param listed_until: end of the log if this is a complete listing of the
        newest records, from which a removed record is absent; else ``None``.
    :param faults: for each unreadable record, why it could not be read.
    """

    next_position: int
    configuration: Configuration | None = None
    orders: tuple[Order, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()
    listed_until: int | None = None
    faults: tuple[str, ...] = ()


class ReportedVerdicts(Struct, frozen=True, kw_only=True):
    """The verdicts that operators were last told, by service.

    :param end: position after the newest one, for a conditional write.
    """

    end: int
    settled: dict[ServiceName, SettledOrder]


class SavedState(Struct, frozen=True, kw_only=True):
    """What daemons save in the store for daemons that start later.

    :param members: records of daemons that have not left.
    :param suspects: requests that are blocked, or that an operator cleared.
    """

    members: tuple[MemberRecord, ...] = ()
    suspects: tuple[Suspect, ...] = ()


class Store(Protocol):
    """The operations of the platform's store that the daemon uses."""

    @property
    def calls(self) -> Counter[StorePurpose]:
        """Calls made since the start, by purpose."""

    async def read_newest(self) -> Result[PublishedRecords, StoreFault]:
        """Read the newest record of each kind that operators published."""

    async def read_from(
        self,
        position: int,
        wait: float,
    ) -> Result[PublishedRecords, StoreFault]:
        """Read what operators published from a position on.

        :param wait: longest time to wait for a record, in seconds.
        """

    async def read_verdicts(self) -> Result[ReportedVerdicts, StoreFault]:
        """Read the verdict that operators were last told for each service."""

    async def record_verdict(
        self,
        settled: SettledOrder,
        *,
        end: int,
    ) -> Result[None, StoreFault]:
        """Write a verdict, unless another was written since ``end``."""

    async def read_saved_state(self) -> Result[SavedState, StoreFault]:
        """Read what daemons saved for daemons that start later."""

    async def announce_member(
        self, member: MemberRecord
    ) -> Result[None, StoreFault]:
        """Announce a daemon until its zone is saved."""

    async def save_zone(
        self,
        zone: AvailabilityZone,
        members: Collection[MemberRecord],
        *,
        announced: Collection[VmId],
        gone: Collection[VmId],
    ) -> Result[None, StoreFault]:
        """Replace the saved records of a zone.

        :param announced: daemons whose announcements are no longer needed.
        :param gone: daemons whose own records are dropped.
        """

    async def save_suspects(
        self,
        suspects: Collection[Suspect],
        *,
        forgotten: Collection[Fingerprint] = (),
    ) -> Result[None, StoreFault]:
        """Save the records of suspected requests.

        :param forgotten: requests whose records are no longer needed.
        """

    async def save_member(
        self, member: MemberRecord
    ) -> Result[None, StoreFault]:
        """Save the record of one daemon, in addition to that of its zone."""

    async def is_reachable(self) -> bool:
        """Find out whether a connection can be opened, without a call."""

    async def close(self) -> None:
        """Close all connections."""


class LeaveAnnouncement(Struct, frozen=True, kw_only=True):
    """The message of an upstream that it is leaving.

    :param born: its start, Unix time in milliseconds; 0 if not announced.
    """

    instance: str
    born: int


class InvalidAnnouncement(Struct, frozen=True):
    """Why a message of an upstream is not a usable announcement."""

    reason: str


#: Parses what an upstream sends to its daemon: method, target and body.
AnnouncementParser = Callable[
    [bytes, bytes, bytes],
    Heartbeat | LeaveAnnouncement | InvalidAnnouncement,
]
