"""Anti-entropy: reconciles what two daemons know by comparing digests.

A rumor may miss a daemon, for example while its link is cut. Two daemons
compare the digests of zones, then of buckets of a zone, then the revisions of
the records in these buckets, and send only the records that the other lacks.
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
from verbenamill_sidecar.membership.datagrams import (
    Ages,
    Digests,
    RecordRevision,
    Records,
    Rumors,
    Summary,
    Wanted,
)
from verbenamill_sidecar.membership.dissemination import (
    Send,
    pack_suspects,
    split_records,
)
from verbenamill_sidecar.state.desired_state import DesiredState

#: Mean number of comparisons with other zones that all daemons of a zone start
#: together in one round, that is in one second.
CROSS_ZONE_COMPARISONS = 2
#: Record revisions in one datagram; keeps it below the usual 1,400 bytes.
_REVISIONS_PER_DATAGRAM = 32
#: Most records that are sent in reply to one datagram. The next comparison
#: finds what is still missing.
_MAX_RECORDS_PER_REPLY = 60
#: Records and revisions that are sent in replies between two rounds. It limits
#: what a daemon gets that asks without end or reports a false state.
REPLY_ALLOWANCE = 600
#: Most suspects that are sent in reply to one digest, the newest first.
_MAX_SUSPECTS_PER_REPLY = 24
#: Moves whose progress and verdicts one datagram carries.
_MOVES_PER_DATAGRAM = 8


class Reconciliation:
    """Compares the state of this daemon with that of others.

    :param own: returns the current record of this daemon.
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
        self._allowance = REPLY_ALLOWANCE

    def next_round(self) -> None:
        """Compare with a daemon of this zone and, by chance, of another."""
        self._allowance = REPLY_ALLOWANCE
        for record in self._neighbours.pick_near(1):
            self._send(record, self.summarize())
        zones = self._neighbours.other_zones
        if zones and self._neighbours.is_relay(share=CROSS_ZONE_COMPARISONS):
            self.compare_across_zones()

    def compare_across_zones(self) -> None:
        """Compare with a daemon of a random other zone."""
        for record in self._neighbours.pick_any_far():
            self._send(record, self.summarize())

    def summarize(self, *, is_reply: bool = False) -> Summary:
        """Build the digests of the whole state."""
        return Summary(
            sender=self._own().vm,
            zones=self._table.digests,
            moves=_digest_moves(self._desired_state),
            stamp=self._desired_state.stamp,
            is_reply=is_reply,
            blocked=self._quarantine.digest,
        )

    def handle_summary(self, message: Summary, sender: MemberRecord) -> None:
        """Reply with the bucket digests of the zones that differ."""
        if not message.is_reply:
            self._send(sender, self.summarize(is_reply=True))
        if message.moves != _digest_moves(self._desired_state):
            self._send_moves(sender)
        if message.blocked != self._quarantine.digest:
            self._send_suspects(sender)
        if message.is_reply:
            # The sender of the reply compares the zones itself.
            return
        known = self._table.digests
        zones = {*known, *message.zones}
        for zone in sorted(zones):
            if known.get(zone) == message.zones.get(zone):
                continue
            buckets = self._table.bucket_digests(zone)
            self._send(sender, Digests(self._own().vm, zone, buckets))

    def handle_digests(self, message: Digests, sender: MemberRecord) -> None:
        """Reply with the record revisions in the buckets that differ."""
        if len(message.buckets) != BUCKETS:
            return
        known = self._table.bucket_digests(message.zone)
        differing = [
            bucket
            for bucket, digest in enumerate(message.buckets)
            if known[bucket] != digest
        ]
        found_in = self._group_revisions(message.zone, differing)
        chunk: list[int] = []
        revisions: list[RecordRevision] = []
        for bucket, found in found_in.items():
            if chunk and len(revisions) + len(found) > _REVISIONS_PER_DATAGRAM:
                self._send_revisions(sender, message.zone, chunk, revisions)
                chunk, revisions = [], []
            chunk.append(bucket)
            revisions.extend(found)
        if chunk:
            self._send_revisions(sender, message.zone, chunk, revisions)

    def handle_ages(self, message: Ages, sender: MemberRecord) -> None:
        """Send the newer records, and request those that are missing here."""
        received = {
            revision.vm: (revision.incarnation, revision.sequence)
            for revision in message.known
        }
        records = self._table.in_buckets(message.zone, set(message.buckets))
        newer = [
            record
            for record in records
            if record.vm not in received
            or record.revision > received[record.vm]
        ]
        self._send_records(sender, newer)
        wanted = []
        for revision in message.known:
            record = self._table.get(revision.vm)
            if record is None or record.revision < received[revision.vm]:
                wanted.append(revision.vm)
        if wanted:
            self._send(
                sender, Wanted(self._own().vm, wanted[:_REVISIONS_PER_DATAGRAM])
            )

    def handle_wanted(self, message: Wanted, sender: MemberRecord) -> None:
        """Send the records that another daemon requests."""
        found = map(self._table.get, message.vms[:_REVISIONS_PER_DATAGRAM])
        self._send_records(
            sender,
            [record for record in found if record is not None],
        )

    def _group_revisions(
        self,
        zone: AvailabilityZone,
        buckets: list[int],
    ) -> dict[int, list[RecordRevision]]:
        groups: dict[int, list[RecordRevision]] = {
            bucket: [] for bucket in buckets
        }
        for record in self._table.in_buckets(zone, groups.keys()):
            revision = RecordRevision(
                record.vm, record.incarnation, record.sequence
            )
            groups[bucket_of(record.vm)].append(revision)
        return groups

    def _spend_allowance(self, count: int) -> int:
        """Reserve part of the allowance; returns what may be sent."""
        allowed = min(count, self._allowance)
        self._allowance -= allowed
        return allowed

    def _send_revisions(
        self,
        to: MemberRecord,
        zone: AvailabilityZone,
        buckets: list[int],
        revisions: list[RecordRevision],
    ) -> None:
        if self._spend_allowance(len(revisions) + 1) > len(revisions):
            self._send(to, Ages(self._own().vm, zone, buckets, revisions))

    def _send_records(
        self,
        to: MemberRecord,
        records: list[MemberRecord],
    ) -> None:
        allowed = self._spend_allowance(
            min(len(records), _MAX_RECORDS_PER_REPLY)
        )
        for chunk in split_records(records[:allowed]):
            self._send(to, Records(self._own().vm, chunk))

    def _send_suspects(self, to: MemberRecord) -> None:
        """Send the blocked requests and those that were cleared again."""
        known = [one for one in self._quarantine if one.is_blocked or one.round]
        known.sort(key=_newest_first)
        allowed = self._spend_allowance(
            min(len(known), _MAX_SUSPECTS_PER_REPLY)
        )
        for message in pack_suspects(known[:allowed]):
            self._send(to, message)

    def _send_moves(self, to: MemberRecord) -> None:
        known = self._desired_state.snapshot
        progress = list(known.progress.values())
        settled = list(known.settled.values())
        for start in range(
            0, max(len(progress), len(settled)), _MOVES_PER_DATAGRAM
        ):
            end = start + _MOVES_PER_DATAGRAM
            self._send(
                to,
                Rumors([], progress[start:end], settled[start:end]),
            )


def _newest_first(suspect: Suspect) -> int:
    return -suspect.changed_at


def _digest_moves(desired_state: DesiredState) -> int:
    """Digest of progress and verdicts; the ages of moves are left out."""
    digest = 0
    for progress in desired_state.snapshot.progress.values():
        digest ^= _checksum(msgspec.structs.replace(progress, age=0))
    for settled in desired_state.snapshot.settled.values():
        digest ^= _checksum(settled)
    return digest


def _checksum(record: Struct) -> int:
    return crc32(msgspec.msgpack.encode(record))
