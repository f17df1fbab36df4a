"""Who reads the store, and who passes changes on.

Reads of the store are priced, and it takes a bounded number of them. One
daemon reads in each of three availability zones, however many zones there are.
They tell the first in rank of the other zones, and within a zone a change goes
along a tree: whoever runs something new tells its children, and they fetch it
from there. Readers tell each other as well, so one that is cut off from the
store gets a change from its peer. Who hears nothing for a while reads by
itself, the first in rank before the others, and then tells these. While the
store answers nobody, few go on asking.
"""

from collections.abc import Iterable
from heapq import nsmallest
from zlib import crc32

import trio

from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_policy.members import MemberRecord, MemberTable

#: Zones in which a daemon reads the store. One that is cut off from the store
#: does not notice it before its read is overdue; another one tells it. A store
#: that turns some daemons away may do so to two of them.
READING_ZONES = 3
#: Daemons that read in each zone, where there are too few zones for that.
READERS_ALONE = 3
_ENOUGH_ZONES = 3
#: Daemons of a zone that ask a store which answers nobody.
PROBERS = 2
#: Children of a daemon in the tree; bounds what a thin link has to carry.
FANOUT = 4
#: First in rank, who step in for a reader in turn, and are told by readers.
LEAD = 9
#: First in rank of another zone, who are told news by readers.
_HEADS = 2
#: How often children are told that they are up to date, in seconds.
NOTICE_PERIOD = 0.6
#: After this long without a notice, a daemon reads by itself, in seconds: two
#: notices were lost by then, and a change is still in force within two
#: seconds.
NOTICE_TIMEOUT = 1.3
#: How much longer each next one in rank waits, in seconds, so that one steps
#: in and tells the others, and not all of them read; and how often at most.
_STAGGER = 0.1
_MOST_STAGGERS = 4
#: A daemon that knows of news and does not get them for this long reads by
#: itself, in seconds; leaves it time to be in step within the bound of 2 s.
BEHIND_TIMEOUT = 0.7


class DistributionTree:
    """Place of this daemon among those of its zone."""

    def __init__(self, table: MemberTable, own: VmId) -> None:
        self._table = table
        self._own = own
        self._seen = -1
        self._rank = 0
        self._zone_rank = 0
        self._readers = 1
        self._is_leaving = False
        self._ranks: dict[VmId, int] = {}
        self._children: list[MemberRecord] = []
        self._lead: list[MemberRecord] = []
        self._heads: list[MemberRecord] = []
        self._later_heads: list[MemberRecord] = []
        self._notice_at = float('-inf')
        self._stalled_at: dict[VmId, float] = {}
        self._behind_since: float | None = None

    @property
    def rank(self) -> int:
        """Place of this daemon in its zone; the first in rank is 0."""
        self._refresh()
        return self._rank

    @property
    def is_reader(self) -> bool:
        """Whether this daemon is one of those that read."""
        self._refresh()
        return (
            self._rank < self._readers
            and self._zone_rank < READING_ZONES
            and not self._is_leaving
        )

    @property
    def is_head(self) -> bool:
        """Whether this daemon does what one of its zone has to do."""
        self._refresh()
        return not self._is_leaving and (self._rank == 0 or self.must_read())

    @property
    def children(self) -> list[MemberRecord]:
        """Daemons that are told from here what is new.

        Each has a second parent. One that was just cut off from the store
        does not notice that until its read is overdue, and goes on telling
        its children that they are up to date.
        """
        self._refresh()
        if not self.must_read():
            return self._children
        told = (*self._lead, *self._children, *self._later_heads)
        return list({record.vm: record for record in told}.values())

    @property
    def heads(self) -> list[MemberRecord]:
        """Daemons of other zones that a reader tells news."""
        self._refresh()
        return self._heads

    def await_notice(self, patience: float) -> None:
        """Wait some time for a first notice.

        :param patience: in seconds; without a notice by then, this daemon
            reads by itself.
        """
        now = trio.current_time()
        self._notice_at = max(self._notice_at, now + patience - NOTICE_TIMEOUT)

    def hear_notice(self) -> None:
        """A parent has told all that it runs."""
        self._notice_at = trio.current_time()
        self._behind_since = None

    def hear_stalled(self, sender: VmId) -> None:
        """A daemon that reads gets no answer of the store."""
        self._stalled_at[sender] = trio.current_time()

    def hear_news(self) -> None:
        """A parent runs something that has not come here yet.

        Its notices may get here while nothing can be fetched from it, as
        when its port for requests is out of reach. Taken as up to date, this
        daemon would never read by itself and stay behind.
        """
        if self._behind_since is None:
            self._behind_since = trio.current_time()

    def must_read(self) -> bool:
        """Whether this daemon has to read the store now."""
        if self.is_reader:
            return True
        now = trio.current_time()
        since = self._behind_since
        if since is not None and now - since > BEHIND_TIMEOUT:
            return True
        probers = self._count_probers(now)
        if probers >= PROBERS:
            return False
        if self._rank and self._rank == probers:
            # All before it ask in vain; it may be them and not the store.
            return True
        place = self._rank or max(self._zone_rank - READING_ZONES, 0)
        patience = NOTICE_TIMEOUT + _STAGGER * min(place, _MOST_STAGGERS)
        return now - self._notice_at > patience

    def _count_probers(self, now: float) -> int:
        """Daemons that ask the store in vain, and rank before this one."""
        return sum(
            now - at <= NOTICE_TIMEOUT
            and self._ranks.get(vm, self._rank) < self._rank
            for vm, at in self._stalled_at.items()
        )

    def _refresh(self) -> None:
        if self._seen == self._table.version:
            return
        self._seen = self._table.version
        own = self._table.get(self._own)
        assert own is not None
        self._is_leaving = own.leaving
        neighbours = sorted(
            _staying(self._table.in_zone(own.availability_zone), self._own),
            key=_order,
        )
        self._ranks = {
            record.vm: rank for rank, record in enumerate(neighbours)
        }
        self._rank = self._ranks[self._own]
        zones = self._order_zones()
        self._zone_rank = zones.index(own.availability_zone)
        self._readers = READERS_ALONE if len(zones) < _ENOUGH_ZONES else 1
        # Those before it must not be told: two readers that satisfy each other
        # would both stop.
        self._lead = neighbours[self._rank + 1 : LEAD]
        self._children = [
            record
            for rank in (self._rank, self._rank ^ 1)
            for record in neighbours[_children_of(rank, self._readers)]
            if record.vm != self._own
        ]
        self._heads = []
        self._later_heads = []
        for rank, zone in enumerate(zones):
            if rank == self._zone_rank:
                continue
            staying = _staying(self._table.in_zone(zone), self._own)
            heads = nsmallest(_HEADS, staying, key=_order)
            self._heads += heads
            if rank > self._zone_rank:
                self._later_heads += heads[:1]

    def _order_zones(self) -> list[AvailabilityZone]:
        """Zones that have daemons that stay, and the own one."""
        return sorted(
            (
                zone
                for zone in self._table.zones
                if _staying(self._table.in_zone(zone), self._own)
            ),
            key=_zone_order,
        )


def _staying(records: Iterable[MemberRecord], own: VmId) -> list[MemberRecord]:
    """Those that do not leave, and this daemon."""
    return [
        record for record in records if not record.leaving or record.vm == own
    ]


def _children_of(rank: int, readers: int) -> slice:
    """Ranks of a daemon's children; always higher than its own."""
    first = readers + rank * FANOUT
    return slice(first, first + FANOUT)


def _order(record: MemberRecord) -> tuple[int, VmId]:
    return crc32(record.vm.encode()), record.vm


def _zone_order(zone: AvailabilityZone) -> tuple[int, AvailabilityZone]:
    return crc32(zone.encode()), zone
