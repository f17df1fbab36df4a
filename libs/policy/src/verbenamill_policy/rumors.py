"""Rumor mongering: which updates are still forwarded, and to which daemons.

Updates spread among the daemons of one availability zone as rumors: each
daemon forwards them to a few others at random for a number of rounds, and
stops earlier when it receives them again. The daemon at which an update
originates sends it to one daemon of each other zone, and on average about one
other daemon of its zone does the same. The traffic of an update is therefore
proportional to the number of daemons in a zone plus the number of zones.
There are no gateways, whose failure would have to be detected.
"""

from collections.abc import Callable, Sequence
from enum import Enum, unique
from random import Random
from typing import NamedTuple

from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_policy.members import MemberRecord, MemberTable

#: Number of rounds in which a daemon forwards a rumor that it does not receive
#: again. Each duplicate reduces the number by one.
ROUNDS = 5
#: Number of daemons in the own zone that each round is sent to.
FANOUT = 3
#: Average number of daemons in a zone that send a rumor to the other zones,
#: in addition to its origin.
RELAYS = 1


@unique
class RumorKind(Enum):
    """Subject of a rumor."""

    MEMBER = 'member'
    PROGRESS = 'progress'
    VERDICT = 'verdict'
    SUSPECT = 'suspect'


class RumorKey(NamedTuple):
    """Identifies a rumor, whose content is looked up when it is sent.

    :param name: VM of the member, service of the move, or fingerprint in
        hexadecimal digits.
    """

    kind: RumorKind
    name: str


class ActiveRumors:
    """Rumors that this daemon still forwards."""

    def __init__(self) -> None:
        self._rounds: dict[RumorKey, int] = {}

    def __len__(self) -> int:
        return len(self._rounds)

    def start(self, key: RumorKey) -> None:
        """Start to forward a rumor."""
        # The rumor goes to the end of the order, so that a burst of updates
        # of the same key does not starve the others.
        self._rounds.pop(key, None)
        self._rounds[key] = ROUNDS

    def record_duplicate(self, key: RumorKey) -> None:
        """Record that another daemon already knows a rumor."""
        if key in self._rounds:
            self._count_round(key)

    def next_round(self, limit: int) -> list[RumorKey]:
        """Rumors to forward now, whose remaining rounds are reduced.

        :param limit: maximum number of rumors; the others follow in later
            rounds.
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
    """Random choice of the daemons that a rumor is forwarded to.

    :param is_suspect: whether a daemon appears to be unreachable.
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
        self._table_version = -1
        self._near: list[MemberRecord] = []
        self._far: dict[AvailabilityZone, list[MemberRecord]] = {}

    @property
    def near_count(self) -> int:
        """Number of other daemons in the own zone."""
        self._refresh()
        return len(self._near)

    @property
    def other_zones(self) -> list[AvailabilityZone]:
        """All zones with daemons except the own one."""
        self._refresh()
        return list(self._far)

    def pick_near(self, count: int) -> list[MemberRecord]:
        """Choose some daemons of the own zone."""
        self._refresh()
        return self._pick(self._near, count)

    def pick_any_near(self, count: int) -> list[MemberRecord]:
        """Choose some daemons of the own zone, suspects like all others.

        A daemon behind a congested link appears to be unreachable for
        connections, and still receives datagrams.
        """
        self._refresh()
        return self._random.sample(self._near, min(count, len(self._near)))

    def pick_far(self, zone: AvailabilityZone) -> list[MemberRecord]:
        """Choose a daemon of another zone."""
        self._refresh()
        return self._pick(self._far.get(zone, []), 1)

    def pick_any_far(self) -> list[MemberRecord]:
        """Choose a daemon of a random other zone."""
        self._refresh()
        if not self._far:
            return []
        return self.pick_far(self._random.choice(list(self._far)))

    def is_relay(self, *, share: float = RELAYS) -> bool:
        """Decide at random whether this daemon sends to the other zones.

        :param share: average number of daemons in the zone that do so.
        """
        return self._random.random() * (self.near_count + 1) < share

    def _pick(
        self,
        records: Sequence[MemberRecord],
        count: int,
    ) -> list[MemberRecord]:
        """Choose at random, and suspects only if there are no others."""
        drawn = self._random.sample(records, min(2 * count, len(records)))
        drawn.sort(key=lambda record: self._is_suspect(record.vm))
        return drawn[:count]

    def _refresh(self) -> None:
        if self._table_version == self._table.version:
            return
        self._table_version = self._table.version
        self._near = [
            record
            for record in self._candidates(self._zone)
            if record.vm != self._vm
        ]
        self._far = {
            zone: self._candidates(zone)
            for zone in self._table.zones
            if zone != self._zone
        }

    def _candidates(self, zone: AvailabilityZone) -> list[MemberRecord]:
        """Daemons of a zone that are not leaving, or all if all are leaving."""
        members = self._table.in_zone(zone)
        staying = [record for record in members if not record.leaving]
        return staying or members
