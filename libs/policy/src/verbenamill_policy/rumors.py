"""Rumor mongering: what is still passed on, and to whom.

News spread among the daemons of one availability zone as rumors: each daemon
passes them on to a few others at random, some rounds long, and loses interest
sooner when it hears them again. Between zones, the daemon that makes the news
sends them to one daemon of each other zone, and by chance about one other
daemon of its zone does the same. So the bytes of a piece of news grow with
the number of daemons in a zone plus the number of zones, and no daemon is
special: there is no gateway whose loss has to be noticed.
"""

from collections.abc import Callable, Sequence
from enum import Enum, unique
from random import Random
from typing import NamedTuple

from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_policy.members import MemberRecord, MemberTable

#: Rounds in which a daemon passes on a piece of news that it never hears
#: again. Hearing it again takes one round off.
ROUNDS = 5
#: Daemons of the own zone that each round goes to.
FANOUT = 3
#: Daemons of each other zone that are sent a piece of news on average, beside
#: the one that its maker sends it to.
RELAYS = 1


@unique
class RumorKind(Enum):
    """What a piece of news is about."""

    MEMBER = 'member'
    PROGRESS = 'progress'
    VERDICT = 'verdict'
    SUSPECT = 'suspect'


class RumorKey(NamedTuple):
    """Names a piece of news; its content is looked up when it is sent.

    :param name: of the member's VM or of the moving service, or a fingerprint
        in hexadecimal digits.
    """

    kind: RumorKind
    name: str


class ActiveRumors:
    """News that are still passed on."""

    def __init__(self) -> None:
        self._rounds: dict[RumorKey, int] = {}

    def __len__(self) -> int:
        return len(self._rounds)

    def start(self, key: RumorKey) -> None:
        """Pass on something new."""
        # At the end of the order, so that a flood does not starve the rest.
        self._rounds.pop(key, None)
        self._rounds[key] = ROUNDS

    def record_duplicate(self, key: RumorKey) -> None:
        """Another daemon knows it already."""
        if key in self._rounds:
            self._count_round(key)

    def next_round(self, limit: int) -> list[RumorKey]:
        """What to pass on now.

        :param limit: most that is passed on; the rest waits for its turn.
        """
        chosen = list(self._rounds)[:limit]
        for key in chosen:
            left = self._rounds.pop(key)
            self._rounds[key] = left
            self._count_round(key)
        return chosen

    def _count_round(self, key: RumorKey) -> None:
        self._rounds[key] -= 1
        if self._rounds[key] <= 0:
            self._rounds.pop(key)


class Neighbours:
    """Whom a daemon passes news on to.

    :param is_suspect: whether a daemon seems to be out of reach.
    """

    def __init__(
        self,
        table: MemberTable,
        own: MemberRecord,
        *,
        random: Random,
        is_suspect: Callable[[VmId], bool],
    ) -> None:
        self._table = table
        self._vm = own.vm
        self._zone = own.availability_zone
        self._random = random
        self._is_suspect = is_suspect
        self._seen = -1
        self._near: list[MemberRecord] = []
        self._far: dict[AvailabilityZone, list[MemberRecord]] = {}

    @property
    def near_count(self) -> int:
        """Other daemons of the own zone."""
        self._refresh()
        return len(self._near)

    @property
    def other_zones(self) -> list[AvailabilityZone]:
        """Zones but the own one that have daemons."""
        self._refresh()
        return list(self._far)

    def pick_near(self, count: int) -> list[MemberRecord]:
        """Some daemons of the own zone."""
        self._refresh()
        return self._pick(self._near, count)

    def pick_far(self, zone: AvailabilityZone) -> list[MemberRecord]:
        """A daemon of another zone."""
        self._refresh()
        return self._pick(self._far.get(zone, []), 1)

    def pick_any_far(self) -> list[MemberRecord]:
        """A daemon of one of the other zones."""
        self._refresh()
        if not self._far:
            return []
        return self.pick_far(self._random.choice(list(self._far)))

    def is_relay(self, *, share: float = RELAYS) -> bool:
        """Whether chance makes this daemon speak for its zone.

        :param share: daemons of the zone that are to speak, on average.
        """
        return self._random.random() * (self.near_count + 1) < share

    def _pick(
        self,
        records: Sequence[MemberRecord],
        count: int,
    ) -> list[MemberRecord]:
        """Some at random, suspects only if there are no others."""
        drawn = self._random.sample(records, min(2 * count, len(records)))
        drawn.sort(key=lambda record: self._is_suspect(record.vm))
        return drawn[:count]

    def _refresh(self) -> None:
        if self._seen == self._table.version:
            return
        self._seen = self._table.version
        self._near = [
            record
            for record in self._staying(self._zone)
            if record.vm != self._vm
        ]
        self._far = {
            zone: self._staying(zone)
            for zone in self._table.zones
            if zone != self._zone
        }

    def _staying(self, zone: AvailabilityZone) -> list[MemberRecord]:
        """Daemons of a zone that do not leave; all, if all do."""
        everyone = self._table.in_zone(zone)
        staying = [record for record in everyone if not record.leaving]
        return staying or everyone
