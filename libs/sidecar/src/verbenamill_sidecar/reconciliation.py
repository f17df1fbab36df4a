"""Anti-entropy: finds by digests what two daemons do not both know.

Rumors miss a daemon now and then, as while its link is cut. Two daemons
compare digests of zones, then of parts of a zone, then the ages of the
records in these parts, and send only the records that the other lacks.
"""

from collections.abc import Callable
from zlib import crc32

import msgspec
from msgspec import Struct

from verbenamill_model.typing import AvailabilityZone
from verbenamill_policy.members import (
    BUCKETS,
    MemberRecord,
    MemberTable,
    bucket_of,
)
from verbenamill_policy.quarantine import Quarantine, Suspect
from verbenamill_policy.rumors import Neighbours
from verbenamill_sidecar.datagrams import (
    Age,
    Ages,
    Digests,
    Records,
    Rumors,
    Summary,
    Wanted,
)
from verbenamill_sidecar.dissemination import (
    Send,
    pack_suspects,
    split_records,
)
from verbenamill_sidecar.desired_state import DesiredState

#: Comparisons a second with each other zone together, of all daemons of a
#: zone, in comparisons a round.
FAR_COMPARISONS = 2
#: Ages in one datagram; keeps it below the usual 1,400 bytes.
_AGES = 32
#: Records that are sent at a time at most, in answer to one datagram. What is
#: missing beyond that is found by the next comparison.
_MOST_RECORDS = 60
#: Records and ages that are sent in answer between two own comparisons; a
#: daemon that asks without end, or lies about what it knows, gets no more.
ALLOWANCE = 600
#: Blocked requests that are sent in answer to one digest, the newest ones.
_MOST_SUSPECTS = 24
#: Stages and verdicts of moves in one datagram.
_MOVES = 8


class Reconciliation:
    """Compares what this daemon knows with what others know.

    :param own: the own record.
    """

    def __init__(
        self,
        *,
        own: Callable[[], MemberRecord],
        table: MemberTable,
        neighbours: Neighbours,
        desired_state: DesiredState,
        send: Send,
        quarantine: Quarantine,
    ) -> None:
        self._quarantine = quarantine
        self._own = own
        self._table = table
        self._neighbours = neighbours
        self._desired_state = desired_state
        self._send = send
        self._allowance = ALLOWANCE

    def next_round(self) -> None:
        """Compare with one of the own zone; by chance, with another zone."""
        self._allowance = ALLOWANCE
        for record in self._neighbours.pick_near(1):
            self._send(record, self.summarize())
        zones = self._neighbours.other_zones
        if zones and self._neighbours.is_relay(share=FAR_COMPARISONS):
            self.compare_far()

    def compare_far(self) -> None:
        """Compare with a daemon of a zone at random."""
        for record in self._neighbours.pick_any_far():
            self._send(record, self.summarize())

    def summarize(self, *, is_reply: bool = False) -> Summary:
        """Digests of all that is known."""
        return Summary(
            sender=self._own().vm,
            zones=self._table.digests,
            moves=_digest_moves(self._desired_state),
            stamp=self._desired_state.stamp,
            is_reply=is_reply,
            blocked=self._quarantine.digest,
        )

    def take_summary(self, message: Summary, sender: MemberRecord) -> None:
        """Answer digests of zones with those of parts that differ."""
        if not message.is_reply:
            self._send(sender, self.summarize(is_reply=True))
        if message.moves != _digest_moves(self._desired_state):
            self._send_moves(sender)
        if message.blocked != self._quarantine.digest:
            self._send_suspects(sender)
        if message.is_reply:
            # The daemon that answered compares the zones.
            return
        known = self._table.digests
        zones = {*known, *message.zones}
        for zone in sorted(zones):
            if known.get(zone) == message.zones.get(zone):
                continue
            buckets = self._table.bucket_digests(zone)
            self._send(sender, Digests(self._own().vm, zone, buckets))

    def take_digests(self, message: Digests, sender: MemberRecord) -> None:
        """Answer digests of parts with the ages of records in these."""
        if len(message.buckets) != BUCKETS:
            return
        known = self._table.bucket_digests(message.zone)
        differing = [
            bucket
            for bucket, digest in enumerate(message.buckets)
            if known[bucket] != digest
        ]
        found_in = self._group_ages(message.zone, differing)
        chunk: list[int] = []
        ages: list[Age] = []
        for bucket, found in found_in.items():
            if chunk and len(ages) + len(found) > _AGES:
                self._send_ages(sender, message.zone, chunk, ages)
                chunk, ages = [], []
            chunk.append(bucket)
            ages.extend(found)
        if chunk:
            self._send_ages(sender, message.zone, chunk, ages)

    def take_ages(self, message: Ages, sender: MemberRecord) -> None:
        """Send what the other lacks, and ask for what is lacking here."""
        told = {
            age.vm: (age.incarnation, age.sequence) for age in message.known
        }
        records = self._table.in_buckets(message.zone, set(message.buckets))
        newer = [
            record
            for record in records
            if record.vm not in told or record.revision > told[record.vm]
        ]
        self._send_records(sender, newer)
        wanted = []
        for age in message.known:
            record = self._table.get(age.vm)
            if record is None or record.revision < told[age.vm]:
                wanted.append(age.vm)
        if wanted:
            self._send(sender, Wanted(self._own().vm, wanted[:_AGES]))

    def take_wanted(self, message: Wanted, sender: MemberRecord) -> None:
        """Send the records that another daemon asks for."""
        found = map(self._table.get, message.vms[:_AGES])
        self._send_records(
            sender,
            [record for record in found if record is not None],
        )

    def _group_ages(
        self,
        zone: AvailabilityZone,
        buckets: list[int],
    ) -> dict[int, list[Age]]:
        groups: dict[int, list[Age]] = {bucket: [] for bucket in buckets}
        for record in self._table.in_buckets(zone, groups.keys()):
            age = Age(record.vm, record.incarnation, record.sequence)
            groups[bucket_of(record.vm)].append(age)
        return groups

    def _allow(self, count: int) -> int:
        """How many of some records or ages may be sent."""
        allowed = min(count, self._allowance)
        self._allowance -= allowed
        return allowed

    def _send_ages(
        self,
        to: MemberRecord,
        zone: AvailabilityZone,
        buckets: list[int],
        ages: list[Age],
    ) -> None:
        if self._allow(len(ages) + 1) > len(ages):
            self._send(to, Ages(self._own().vm, zone, buckets, ages))

    def _send_records(
        self,
        to: MemberRecord,
        records: list[MemberRecord],
    ) -> None:
        allowed = self._allow(min(len(records), _MOST_RECORDS))
        for chunk in split_records(records[:allowed]):
            self._send(to, Records(self._own().vm, chunk))

    def _send_suspects(self, to: MemberRecord) -> None:
        """Send what is blocked, and what was cleared since it was."""
        known = [one for one in self._quarantine if one.is_blocked or one.round]
        known.sort(key=_newest_first)
        allowed = self._allow(min(len(known), _MOST_SUSPECTS))
        for message in pack_suspects(known[:allowed]):
            self._send(to, message)

    def _send_moves(self, to: MemberRecord) -> None:
        known = self._desired_state.known
        progress = list(known.progress.values())
        settled = list(known.settled.values())
        for start in range(0, max(len(progress), len(settled)), _MOVES):
            end = start + _MOVES
            self._send(
                to,
                Rumors([], progress[start:end], settled[start:end]),
            )


def _newest_first(suspect: Suspect) -> int:
    return -suspect.changed_at


def _digest_moves(desired_state: DesiredState) -> int:
    """Digest of stages and verdicts, without the ages of moves."""
    found = 0
    for progress in desired_state.known.progress.values():
        found ^= _digest(msgspec.structs.replace(progress, age=0))
    for settled in desired_state.known.settled.values():
        found ^= _digest(settled)
    return found


def _digest(told: Struct) -> int:
    return crc32(msgspec.msgpack.encode(told))
