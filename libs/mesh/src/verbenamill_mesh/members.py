"""The table of members: which are alive, suspect, dead or have left."""

from collections.abc import Callable
from enum import IntEnum, unique

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from verbenamill_mesh.ring import rank
from verbenamill_mesh.store import Store, Update
from verbenamill_model.traffic import Member
from verbenamill_model.typing import AvailabilityZone, VmId

MEMBERS_TOPIC = 'members'
#: Readers of each availability zone: the primary and one substitute.
READERS_PER_ZONE = 2


@unique
class MemberStatus(IntEnum):
    """What is known of a member; within one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberRecord(Struct, frozen=True, array_like=True):
    """A member and what is known of it.

    :param incarnation: only the member itself raises it, to refute what others
        state about it.
    """

    incarnation: int
    status: MemberStatus
    member: Member

    @property
    def is_alive(self) -> bool:
        """Whether the member counts as alive, as a suspect still does."""
        return self.status <= MemberStatus.SUSPECT

    @property
    def precedence(self) -> tuple[int, int]:
        """The order in which records of one member replace each other."""
        return self.incarnation, self.status


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MemberRecord)


def merge_records(old: bytes | None, new: bytes) -> bytes:
    """Keep the record with the higher precedence; ties go by content."""
    if old is None:
        return new
    current = _decoder.decode(old)
    received = _decoder.decode(new)
    later = max((current.precedence, old), (received.precedence, new))
    return later[1]


def is_in_digest(value: bytes) -> bool:
    """Exclude tombstones from the digests, so that they can expire.

    They expire at different times on different daemons. Digests over them
    would differ in the meantime, although there is nothing to synchronise.
    """
    return _decoder.decode(value).is_alive


class Members:
    """Members by id, kept in the store's topic ``members``.

    :param on_refutation_needed: called with the incarnation to exceed, when
        others hold a record of this daemon that it did not write.
    """

    def __init__(
        self,
        own: Member,
        store: Store,
        *,
        on_refutation_needed: Callable[[int], None],
    ) -> None:
        self._own = own
        self._has_left = False
        self._store = store
        self._on_refutation_needed = on_refutation_needed
        self._records: dict[VmId, MemberRecord] = {}
        self._tombstones: dict[VmId, MemberRecord] = {}
        self._alive_by_zone: dict[AvailabilityZone, dict[VmId, Member]] = {}
        self._alive: dict[VmId, Member] | None = None
        self._readers_by_zone: dict[AvailabilityZone, tuple[VmId, ...]] = {}
        store.add_topic(MEMBERS_TOPIC, merge_records, is_in_digest=is_in_digest)
        self.update_own_record()

    @property
    def own_member(self) -> Member:
        """This daemon as others see it."""
        return self._own

    @property
    def has_left(self) -> bool:
        """Whether this daemon has told others that it leaves."""
        return self._has_left

    def update_own_record(
        self,
        *,
        own: Member | None = None,
        exceeding: int = -1,
        leaving: bool = False,
    ) -> Update:
        """Write a new record of this daemon under a higher incarnation.

        :param exceeding: an incarnation that others hold.
        :param leaving: whether this daemon leaves the mesh.
        :returns: the update to broadcast.
        """
        incarnation = max(self._own.incarnation, exceeding) + 1
        self._own = replace(own or self._own, incarnation=incarnation)
        self._has_left = self._has_left or leaving
        status = MemberStatus.LEFT if self._has_left else MemberStatus.ALIVE
        record = MemberRecord(incarnation, status, self._own)
        update = _as_update(record)
        assert self._apply_record(update, record), (
            'a higher incarnation takes precedence'
        )
        return update

    def merge_update(self, update: Update) -> bool:
        """Merge a received record of a member.

        :returns: whether it changed the table.
        """
        received = _decoder.decode(update.value)
        member = received.member.id
        current = self._records.get(member)
        if current is None and not received.is_alive:
            # The tombstone of an unknown member needs no dissemination, and
            # daemons that accepted it would pass expired tombstones on to each
            # other for ever.
            return False
        if member == self._own.id and self._contradicts_own_record(
            update, received
        ):
            self._on_refutation_needed(received.incarnation)
            return False
        return self._apply_record(update, received)

    def alive(self) -> dict[VmId, Member]:
        """Members that are alive.

        :returns: a table that is replaced on each change; do not modify it.
        """
        if self._alive is None:
            self._alive = {}
            for found in self._alive_by_zone.values():
                self._alive.update(found)
        return self._alive

    def in_zone(self, zone: AvailabilityZone) -> dict[VmId, Member]:
        """Members of an availability zone that are alive."""
        return self._alive_by_zone.get(zone, {})

    def zones(self) -> tuple[AvailabilityZone, ...]:
        """Availability zones with at least one member alive."""
        return tuple(
            zone for zone, found in self._alive_by_zone.items() if found
        )

    def readers(self, zone: AvailabilityZone) -> tuple[VmId, ...]:
        """Members that read the log for an availability zone, by rank.

        They are also its gateways to the other availability zones.
        """
        if zone not in self._readers_by_zone:
            ranked = rank(self.in_zone(zone), 'reader')
            self._readers_by_zone[zone] = tuple(ranked[:READERS_PER_ZONE])
        return self._readers_by_zone[zone]

    def record(self, member: VmId) -> MemberRecord | None:
        """The record of a member, or ``None`` when it is unknown."""
        return self._records.get(member)

    def tombstones(self) -> tuple[MemberRecord, ...]:
        """Records of members that died or left and have not expired."""
        return tuple(self._tombstones.values())

    def is_tombstone(self, member: VmId) -> bool:
        """Whether a member is known to have died or left."""
        return member in self._tombstones

    def declare_status(
        self, member: VmId, status: MemberStatus
    ) -> Update | None:
        """Record that a member is suspect or dead.

        :returns: the update to broadcast, if that changed the table.
        """
        current = self._records.get(member)
        if current is None or current.status >= status:
            return None
        update = _as_update(replace(current, status=status))
        return update if self.merge_update(update) else None

    def forget(self, member: VmId) -> None:
        """Remove a tombstone."""
        record = self._records.pop(member)
        assert not record.is_alive, 'only tombstones expire'
        del self._tombstones[member]
        self._store.forget(MEMBERS_TOPIC, member)

    def _apply_record(self, update: Update, received: MemberRecord) -> bool:
        if not self._store.merge(update):
            return False
        member = received.member.id
        current = self._records.get(member)
        assert current is None or received.precedence >= current.precedence, (
            f'the record of {member} went back to a lower precedence'
        )
        self._records[member] = received
        if current is not None:
            self._remove_from_zone(current.member)
        self._add_to_zone(received)
        return True

    def _contradicts_own_record(
        self, update: Update, received: MemberRecord
    ) -> bool:
        own = self._records.get(self._own.id)
        if own is None or received.precedence < own.precedence:
            return False
        # An earlier run of this daemon may have used the same incarnation. If
        # content alone decided, the older record with its old address could
        # win, and callers would be sent to an address where nothing listens.
        return update.value != self._store.entries(MEMBERS_TOPIC)[self._own.id]

    def _remove_from_zone(self, member: Member) -> None:
        self._alive_by_zone[member.availability_zone].pop(member.id, None)
        self._readers_by_zone.pop(member.availability_zone, None)

    def _add_to_zone(self, record: MemberRecord) -> None:
        zone = record.member.availability_zone
        found = self._alive_by_zone.setdefault(zone, {})
        if record.is_alive:
            found[record.member.id] = record.member
            self._tombstones.pop(record.member.id, None)
        else:
            self._tombstones[record.member.id] = record
        self._alive = None
        self._readers_by_zone.pop(zone, None)


def _as_update(record: MemberRecord) -> Update:
    return Update(MEMBERS_TOPIC, record.member.id, _encoder.encode(record))
