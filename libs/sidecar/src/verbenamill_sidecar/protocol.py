"""What the daemon needs of its surroundings, behind interfaces.

An adapter implements them for a platform: it knows the names and formats
there and decides nothing.
"""

from collections import Counter
from collections.abc import Callable, Collection
from enum import Enum, unique
from typing import Protocol

from msgspec import Struct
from returns.result import Result

from verbenamill_model.typing import AvailabilityZone, ServiceName, VmId
from verbenamill_policy.heartbeats import Heartbeat
from verbenamill_policy.fingerprints import Fingerprint
from verbenamill_policy.members import MemberRecord
from verbenamill_policy.quarantine import Suspect
from verbenamill_policy.rollouts import Order, SettledOrder
from verbenamill_policy.routes import Configuration


class HeaderNames(Struct, frozen=True, kw_only=True):
    """Headers that callers and upstreams understand, in lower case.

    :param request_id: names one try of a caller; upstreams echo it.
    :param deadline: time left, in milliseconds.
    :param seal: marks a body as the upstream's own.
    :param instance: on a request, the one upstream that may run it.
    :param load: on an answer, what the upstream says of its load.
    :param not_run: on an answer, that the request did not run.
    :param caller: service of the VM that a request began on.
    :param limit: on an answer, requests a second that the upstream takes.
    :param leaving: on an answer, that the upstream ends.
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


@unique
class StoreFault(Enum):
    """Why a call to the store came to nothing.

    After ``UNKNOWN`` a write may have taken effect, or may later.
    """

    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    CONFLICT = 'conflict'
    EXPIRED = 'expired'


@unique
class StorePurpose(Enum):
    """What a call to the store is for."""

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
    """What operators have published, as far as a read tells it.

    :param next_position: position behind it, to read on from.
    :param configuration: newest one among it, if any.
    :param faults: records that could not be read, and why.
    """

    next_position: int
    configuration: Configuration | None = None
    orders: tuple[Order, ...] = ()
    faults: tuple[str, ...] = ()


class ReportedVerdicts(Struct, frozen=True, kw_only=True):
    """What operators were told of their orders.

    :param end: position behind the newest, for a conditional write.
    """

    end: int
    settled: dict[ServiceName, SettledOrder]


class SavedState(Struct, frozen=True, kw_only=True):
    """What daemons keep in the store for those that start later.

    :param members: daemons that have told of themselves and not left.
    :param suspects: requests that are blocked, or that an operator cleared.
    """

    members: tuple[MemberRecord, ...] = ()
    suspects: tuple[Suspect, ...] = ()


class Store(Protocol):
    """The platform's store, as far as the daemon uses it."""

    @property
    def calls(self) -> Counter[StorePurpose]:
        """Calls made since the start, by purpose."""

    async def read_newest(self) -> Result[PublishedRecords, StoreFault]:
        """The newest of all that operators have published."""

    async def read_from(
        self,
        position: int,
        wait: float,
    ) -> Result[PublishedRecords, StoreFault]:
        """What operators published from a position on.

        :param wait: longest time until something comes, in seconds.
        """

    async def read_verdicts(self) -> Result[ReportedVerdicts, StoreFault]:
        """What operators were told last, by service."""

    async def record_verdict(
        self,
        settled: SettledOrder,
        *,
        end: int,
    ) -> Result[None, StoreFault]:
        """Tell the operator, unless anything was told since ``end``."""

    async def read_saved_state(self) -> Result[SavedState, StoreFault]:
        """What daemons keep there for those that start later."""

    async def announce_member(
        self, member: MemberRecord
    ) -> Result[None, StoreFault]:
        """Make a daemon known until its zone is saved."""

    async def save_zone(
        self,
        zone: AvailabilityZone,
        members: Collection[MemberRecord],
        *,
        announced: Collection[VmId],
        gone: Collection[VmId],
    ) -> Result[None, StoreFault]:
        """Replace what is kept of a zone's daemons.

        :param announced: daemons that need no announcement any more.
        :param gone: daemons whose own records are dropped.
        """

    async def save_suspects(
        self,
        suspects: Collection[Suspect],
        *,
        forgotten: Collection[Fingerprint] = (),
    ) -> Result[None, StoreFault]:
        """Keep what is blocked.

        :param forgotten: what need not be kept any more.
        """

    async def save_member(
        self, member: MemberRecord
    ) -> Result[None, StoreFault]:
        """Keep the record of one daemon, beside that of its zone."""

    async def close(self) -> None:
        """Close all connections."""


class LeaveAnnouncement(Struct, frozen=True, kw_only=True):
    """An upstream's word that it ends.

    :param born: its start, Unix time in milliseconds; 0 if not told.
    """

    instance: str
    born: int


class InvalidAnnouncement(Struct, frozen=True):
    """Why a message of an upstream names none that could be used."""

    reason: str


#: Reads what an upstream sends to its daemon: method, target, body.
AnnouncementParser = Callable[
    [bytes, bytes, bytes],
    Heartbeat | LeaveAnnouncement | InvalidAnnouncement,
]
