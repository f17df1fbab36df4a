"""Decides which daemons read the store and which daemons pass changes on.

Reads of the store are billed, and the store serves a limited number of them.
One daemon reads in each of three availability zones, however many zones there
are. These readers notify the daemons of lowest rank in the other zones. Within
a zone, changes travel along a tree: a daemon that applies a change notifies
its children, and they fetch it from there. Readers also notify each other, so
a reader that is cut off from the store gets changes from another reader. A
daemon that receives no notice for a while reads the store itself and then
notifies others; low ranks start first. While the store answers no reader, the
others ask it in turn, a few at a time.

A notice that a daemon need not read carries the age of what it goes back to: a
daemon that answers the question "is anything newer?" only knows as much as the
reader behind it.
"""

from collections.abc import Iterable
from enum import Enum, unique
from heapq import nsmallest
from zlib import crc32

import trio

from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_policy.members import MemberRecord, MemberTable

#: Zones in which a daemon reads the store. A reader that is cut off from the
#: store notices this only when its read is overdue; until then another reader
#: notifies it. A store that refuses some daemons may refuse two of the readers.
READING_ZONES = 3
#: Readers in each zone if there are fewer than :data:`_ENOUGH_ZONES` zones.
READERS_WITH_FEW_ZONES = 3
_ENOUGH_ZONES = 3
#: Daemons of a zone that ask at a time while the store answers nobody: the
#: one of lowest rank, and another one in turn.
PROBERS = 2
#: Time for which each of the others may ask then, in seconds. The store may
#: answer some of them, so all get a turn.
PROBER_TURN = 0.4
#: Children of a daemon in the tree; bounds the load on its network link.
TREE_FANOUT = 4
#: Number of lowest ranks that replace a failed reader in turn. A reader
#: notifies all of them.
STANDBY_RANKS = 9
#: Daemons of each other zone that a reader notifies of changes.
_CONTACTS_PER_ZONE = 2
#: Interval between notices to children that they are up to date, in seconds.
NOTICE_PERIOD = 0.6
#: Time without a notice after which a daemon reads the store itself, in
#: seconds. Two notices have been lost by then, and a change still takes effect
#: within two seconds.
NOTICE_TIMEOUT = 1.3
#: Additional wait for each higher rank, in seconds, so that one daemon starts
#: to read and notifies the others before they all read.
_STAGGER = 0.1
#: Most such steps that a daemon waits.
_MAX_STAGGERS = 4
#: Time after which a daemon reads the store itself if it knows of a change but
#: cannot fetch it, in seconds. The rest of the bound of 2 s is left for the
#: read.
BEHIND_TIMEOUT = 0.7


@unique
class ReadingReason(Enum):
    """Why a daemon reads the store itself.

    ``READER``: it is one of those that always do.
    ``BEHIND``: it knows of a change that it could not fetch.
    ``STORE_SILENT``: the store answers no daemon of lower rank.
    ``NO_NOTICE``: nobody told it lately that it is up to date.
    """

    READER = 'reader'
    BEHIND = 'behind'
    STORE_SILENT = 'store-silent'
    NO_NOTICE = 'no-notice'


class DistributionTree:
    """Position of this daemon in the distribution tree of its zone."""

    def __init__(self, table: MemberTable, own: VmId) -> None:
        self._table = table
        self._own_vm = own
        self._table_version = -1
        self._rank = 0
        self._zone_rank = 0
        self._readers = 1
        self._is_leaving = False
        self._ranks: dict[VmId, int] = {}
        self._children: list[MemberRecord] = []
        self._standby_readers: list[MemberRecord] = []
        self._zone_contacts: list[MemberRecord] = []
        self._later_zone_contacts: list[MemberRecord] = []
        self._notice_at = float('-inf')
        self._stalled_at: dict[VmId, float] = {}
        self._stall_began = float('-inf')
        self._is_answered = False
        self._behind_since: float | None = None

    @property
    def rank(self) -> int:
        """Rank of this daemon in its zone; the lowest rank is 0."""
        self._refresh()
        return self._rank

    @property
    def is_reader(self) -> bool:
        """Whether this daemon reads the store in normal operation."""
        self._refresh()
        return (
            self._rank < self._readers
            and self._zone_rank < READING_ZONES
            and not self._is_leaving
        )

    @property
    def represents_zone(self) -> bool:
        """Whether this daemon performs the tasks that one per zone performs."""
        self._refresh()
        return not self._is_leaving and (self._rank == 0 or self.must_read())

    @property
    def children(self) -> list[MemberRecord]:
        """Daemons that this daemon notifies of changes.

        Each child has a second parent, because a parent that has just been
        cut off from the store notices this only when its read is overdue and
        until then tells its children that they are up to date.
        """
        self._refresh()
        if not self.must_read():
            return self._children
        notified = (
            *self._standby_readers,
            *self._children,
            *self._later_zone_contacts,
        )
        return list({record.vm: record for record in notified}.values())

    @property
    def zone_contacts(self) -> list[MemberRecord]:
        """Daemons of other zones that a reader notifies of changes."""
        self._refresh()
        return self._zone_contacts

    def await_notice(self, patience: float) -> None:
        """Extend the wait for the first notice after a start.

        :param patience: in seconds; without a notice by then, this daemon
            reads the store itself.
        """
        now = trio.current_time()
        self._notice_at = max(self._notice_at, now + patience - NOTICE_TIMEOUT)

    def note_notice(self, age: float) -> None:
        """Record a notice that this daemon need not read.

        :param age: for how long the reader that the notice goes back to has
            not been heard of, in seconds. Without it, daemons that all lack a
            change could tell each other that they are up to date.
        """
        self._notice_at = max(self._notice_at, trio.current_time() - age)

    def note_current(self) -> None:
        """Record that this daemon has everything that a parent has applied."""
        self.note_notice(0)
        self.note_caught_up()

    def note_caught_up(self) -> None:
        """Record that this daemon has everything that was announced."""
        self._behind_since = None

    def note_stalled(self, sender: VmId) -> None:
        """Record that the store does not answer another daemon that reads."""
        now = trio.current_time()
        if not any(
            now - at <= NOTICE_TIMEOUT for at in self._stalled_at.values()
        ):
            self._stall_began = now
            self._is_answered = False
        self._stalled_at[sender] = now

    def note_answered(self, *, is_answered: bool) -> None:
        """Record whether the store answered the last read of this daemon."""
        self._is_answered = is_answered

    def note_behind(self) -> None:
        """Record that another daemon has something that is missing here.

        Notices may arrive while nothing can be fetched, for example if the
        port for requests of the other daemon is unreachable. If such a notice
        ended the wait, this daemon would never read the store itself and would
        stay behind.
        """
        if self._behind_since is None:
            self._behind_since = trio.current_time()

    @property
    def is_stalled(self) -> bool:
        """Whether the store answers none of those that should read first."""
        self._refresh()
        return self._is_stalled(trio.current_time())

    @property
    def is_informed(self) -> bool:
        """Whether a daemon that the store answers was heard of lately."""
        if self.is_stalled and self._notice_at <= self._stall_began:
            return False
        return self.notice_age <= NOTICE_TIMEOUT

    def must_read(self) -> bool:
        """Whether this daemon has to read the store now."""
        return self.reading_reason is not None

    @property
    def reading_reason(self) -> ReadingReason | None:
        """Why this daemon has to read the store now, if it has to."""
        if self.is_reader:
            return ReadingReason.READER
        now = trio.current_time()
        since = self._behind_since
        if since is not None and now - since > BEHIND_TIMEOUT:
            return ReadingReason.BEHIND
        return self._reason_to_replace_readers(now)

    def _reason_to_replace_readers(self, now: float) -> ReadingReason | None:
        if self._is_stalled(now):
            if self._replaces_stalled_readers(now):
                return ReadingReason.STORE_SILENT
            return None
        place = self._rank or max(self._zone_rank - READING_ZONES, 0)
        patience = NOTICE_TIMEOUT + _STAGGER * min(place, _MAX_STAGGERS)
        if now - self._notice_at > patience:
            return ReadingReason.NO_NOTICE
        return None

    def _replaces_stalled_readers(self, now: float) -> bool:
        """Whether this daemon asks the store, which answers no reader.

        Only some daemons may be affected, and not the store. So the others
        take turns, until one gets an answer and notifies those behind it.
        """
        if self.is_informed:
            return False
        if not self._rank or self._is_answered:
            return True
        others = max(len(self._ranks) - 1, 1)
        turn = int((now - self._stall_began) / PROBER_TURN)
        return self._rank == 1 + turn % others

    @property
    def notice_age(self) -> float:
        """Time since the last notice that this daemon is up to date, in s."""
        return trio.current_time() - self._notice_at

    def _is_stalled(self, now: float) -> bool:
        """Whether the store answers none of those that should read first."""
        stalled = [
            self._ranks.get(vm)
            for vm, at in self._stalled_at.items()
            if now - at <= NOTICE_TIMEOUT
        ]
        if self._rank:
            return any(
                rank is not None and rank < self._rank for rank in stalled
            )
        # Only daemons of other zones notify the lowest rank.
        return len(stalled) >= READING_ZONES

    def _refresh(self) -> None:
        if self._table_version == self._table.version:
            return
        self._table_version = self._table.version
        own = self._table.get(self._own_vm)
        assert own is not None
        self._is_leaving = own.leaving
        neighbours = sorted(
            _without_leaving(
                self._table.in_zone(own.availability_zone), self._own_vm
            ),
            key=_rank_key,
        )
        self._ranks = {
            record.vm: rank for rank, record in enumerate(neighbours)
        }
        self._rank = self._ranks[self._own_vm]
        zones = self._order_zones()
        self._zone_rank = zones.index(own.availability_zone)
        self._readers = (
            READERS_WITH_FEW_ZONES if len(zones) < _ENOUGH_ZONES else 1
        )
        # A reader does not notify lower ranks: two readers that each take the
        # other's notices as sufficient would both stop reading.
        self._standby_readers = neighbours[self._rank + 1 : STANDBY_RANKS]
        self._children = [
            record
            for rank in (self._rank, self._rank ^ 1)
            for record in neighbours[_children_of(rank, self._readers)]
            if record.vm != self._own_vm
        ]
        self._zone_contacts = []
        self._later_zone_contacts = []
        for rank, zone in enumerate(zones):
            if rank == self._zone_rank:
                continue
            staying = _without_leaving(self._table.in_zone(zone), self._own_vm)
            zone_contacts = nsmallest(
                _CONTACTS_PER_ZONE, staying, key=_rank_key
            )
            self._zone_contacts += zone_contacts
            if rank > self._zone_rank:
                self._later_zone_contacts += zone_contacts[:1]

    def _order_zones(self) -> list[AvailabilityZone]:
        """Sort the zones with staying daemons, including the own zone."""
        return sorted(
            (
                zone
                for zone in self._table.zones
                if _without_leaving(self._table.in_zone(zone), self._own_vm)
            ),
            key=_zone_rank_key,
        )


def _without_leaving(
    records: Iterable[MemberRecord], own: VmId
) -> list[MemberRecord]:
    """Records of daemons that are not leaving, and of this daemon."""
    return [
        record for record in records if not record.leaving or record.vm == own
    ]


def _children_of(rank: int, readers: int) -> slice:
    """Ranks of a daemon's children, which are always above its own."""
    first = readers + rank * TREE_FANOUT
    return slice(first, first + TREE_FANOUT)


def _rank_key(record: MemberRecord) -> tuple[int, VmId]:
    return crc32(record.vm.encode()), record.vm


def _zone_rank_key(zone: AvailabilityZone) -> tuple[int, AvailabilityZone]:
    return crc32(zone.encode()), zone
