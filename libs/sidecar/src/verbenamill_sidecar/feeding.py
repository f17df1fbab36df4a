"""Who of an availability zone reads the store, and who passes changes on.

Reads of the store are priced, and it takes a bounded number of them. A few
daemons of each zone read; the others are fed along a tree: whoever runs
something new tells its children, and they fetch it from there. Who is not
fed any more reads by itself.
"""

from zlib import crc32

import trio

from verbenamill_model.typing import VmId
from verbenamill_policy.members import MemberRecord, MemberTable

#: Daemons of a zone that read the store. With three, a change gets to the
#: zone in time also when two are cut off in the same moment.
READERS = 3
#: Children of a daemon in the tree; bounds what a thin link has to carry.
FANOUT = 4
#: How often children are told that they are fed, in seconds.
NOTICE_PERIOD = 0.6
#: After this long without a word, a daemon reads by itself, in seconds: two
#: words were lost by then, and a change is still in force within two seconds.
HUNGRY_AFTER = 1.3
#: A daemon that knows of news and does not get them for this long reads by
#: itself, in seconds; leaves it time to be in step within the bound of 2 s.
STARVED_AFTER = 0.7


class Feeding:
    """Place of this daemon among those of its zone."""

    def __init__(self, table: MemberTable, own: VmId) -> None:
        self._table = table
        self._own = own
        self._seen = -1
        self._rank = 0
        self._is_leaving = False
        self._children: list[MemberRecord] = []
        self._wards: list[MemberRecord] = []
        self._readers: list[MemberRecord] = []
        self._fed_at = float('-inf')
        self._starved_since: float | None = None

    @property
    def is_reader(self) -> bool:
        """Whether this daemon is one of those that read."""
        self._refresh()
        return self._rank < READERS

    @property
    def children(self) -> list[MemberRecord]:
        """Daemons that are fed from here."""
        self._refresh()
        return self._children

    @property
    def wards(self) -> list[MemberRecord]:
        """Children of another daemon that are told from here as well.

        A parent that was just cut off from the store does not notice that
        until its read is overdue, and goes on telling its children that they
        are fed. With a second one they have the news all the same.
        """
        self._refresh()
        return self._wards

    @property
    def other_readers(self) -> list[MemberRecord]:
        """Daemons of the zone that read the store, but for this one."""
        self._refresh()
        return self._readers

    def feed(self) -> None:
        """A parent has told all that it runs."""
        self._fed_at = trio.current_time()
        self._starved_since = None

    def starve(self) -> None:
        """A parent runs something that has not come here yet.

        Its notices may get here while nothing can be fetched from it, as
        when its port for requests is out of reach. Taken as fed, this
        daemon would never read by itself and stay behind.
        """
        if self._starved_since is None:
            self._starved_since = trio.current_time()

    def must_read(self) -> bool:
        """Whether this daemon has to read the store now."""
        if self.is_reader or self._is_leaving:
            return True
        now = trio.current_time()
        since = self._starved_since
        if since is not None and now - since > STARVED_AFTER:
            return True
        return now - self._fed_at > HUNGRY_AFTER

    def _refresh(self) -> None:
        if self._seen == self._table.version:
            return
        self._seen = self._table.version
        own = self._table.get(self._own)
        assert own is not None
        # The others take who leaves out of the tree, and it serves on for
        # some seconds: fed by nobody, it would run an old configuration.
        self._is_leaving = own.leaving
        neighbours = sorted(
            (
                record
                for record in self._table
                if record.availability_zone == own.availability_zone
                and (not record.leaving or record.vm == self._own)
            ),
            key=_order,
        )
        self._rank = next(
            place
            for place, record in enumerate(neighbours)
            if record.vm == self._own
        )
        self._readers = [
            record for record in neighbours[:READERS] if record.vm != self._own
        ]
        self._children = neighbours[_children_of(self._rank)]
        self._wards = neighbours[_children_of(self._rank ^ 1)]


def _children_of(rank: int) -> slice:
    """Ranks of a daemon's children; always higher than its own.

    They are higher than that of its neighbour in rank, too.
    """
    first = READERS + rank * FANOUT
    return slice(first, first + FANOUT)


def _order(record: MemberRecord) -> tuple[int, VmId]:
    return crc32(record.vm.encode()), record.vm
