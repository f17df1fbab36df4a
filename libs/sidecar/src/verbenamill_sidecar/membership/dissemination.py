"""Spreads updates of members, moves and suspected requests as rumors."""

from collections.abc import Callable, Iterable
from functools import lru_cache

from verbenamill_http.addresses import parse_address
from verbenamill_model.external import MAX_UNIX_MS
from verbenamill_model.typing import ServiceName, VmId
from verbenamill_policy.fingerprints import Fingerprint
from verbenamill_policy.members import (
    MemberRecord,
    MemberTable,
    UpstreamRecord,
)
from verbenamill_policy.quarantine import MergeResult, Suspect
from verbenamill_policy.rollouts import Progress, SettledOrder
from verbenamill_policy.rumors import (
    FANOUT,
    ActiveRumors,
    Neighbours,
    RumorKey,
    RumorKind,
)
from verbenamill_sidecar.membership.datagrams import Message, Records, Rumors
from verbenamill_sidecar.quarantine.suspects import SuspectGate
from verbenamill_sidecar.state.desired_state import DesiredState
from verbenamill_telemetry import Event, log

#: Rumors that a daemon passes on in one round. The limit bounds its bytes per
#: second however much changes; further rumors wait for the next round.
RUMORS_PER_ROUND = 18
#: Member records in one datagram; keeps it below the usual 1,400 bytes.
RECORDS_PER_DATAGRAM = 6
#: Suspects that a daemon passes on in one round. The separate limit leaves
#: room for all other rumors if a caller crashes many upstreams.
SUSPECTS_PER_ROUND = 6
#: Suspects in one datagram; keeps it below the usual 1,400 bytes.
SUSPECTS_PER_DATAGRAM = 3
#: Mean number of daemons that send its previous record to a restarted daemon.
_MEAN_REMINDERS = 3
_CACHED_ADDRESSES = 4096

#: Sends a message to a daemon; it may get lost.
Send = Callable[[MemberRecord, Message], None]


class Dissemination:
    """Maintains this daemon's record and passes rumors on.

    :param restore_upstream: called with the record of this daemon's upstream
        that other daemons still hold from before a restart.
    :param gate: holds the requests that are suspected of crashing upstreams.
    """

    def __init__(
        self,
        *,
        own: MemberRecord,
        table: MemberTable,
        neighbours: Neighbours,
        desired_state: DesiredState,
        send: Send,
        restore_upstream: Callable[[UpstreamRecord], None],
        gate: SuspectGate,
    ) -> None:
        self._gate = gate
        self._own = own
        self._table = table
        self._neighbours = neighbours
        self._desired_state = desired_state
        self._send = send
        self._restore_upstream = restore_upstream
        self._active_rumors = ActiveRumors()
        self._active_suspects = ActiveRumors()
        self._cross_zone_queue: dict[RumorKey, None] = {}
        table.merge(own)

    @property
    def own(self) -> MemberRecord:
        """The current record of this daemon."""
        return self._own

    def update_own(
        self,
        *,
        upstream: UpstreamRecord | None,
        leaving: bool = False,
    ) -> None:
        """Publish a changed record of this daemon at once."""
        own = self._own
        if own.upstream == upstream and own.leaving == leaving:
            return
        self._replace_own_record(
            own.incarnation, upstream=upstream, leaving=leaving
        )
        self.next_round()

    def announce(self) -> None:
        """Publish the record of this daemon to those that may not know it."""
        self._publish(_member_key(self._own.vm))
        self.next_round()

    def merge_members(
        self,
        records: Iterable[MemberRecord],
        *,
        spread: bool,
    ) -> None:
        """Merge records of other daemons.

        :param spread: whether to pass changed records on.
        """
        for record in records:
            if not _has_valid_addresses(record):
                log(Event.MESSAGE_UNKNOWN, kind=f'addresses of {record.vm}')
                continue
            known = self._table.get(record.vm)
            if record.vm == self._own.vm:
                self._supersede_own_record(record)
            elif self._table.merge(record):
                _log_change(record)
                if known is not None:
                    self._send_previous_record(record, known)
                if spread:
                    self._active_rumors.start(_member_key(record.vm))
                    self._queue_cross_zone_relay(record)
            else:
                self._active_rumors.record_duplicate(_member_key(record.vm))

    def merge_progress(self, progress: Progress) -> None:
        """Merge the progress of a move, and pass it on if it is new."""
        key = RumorKey(RumorKind.PROGRESS, progress.service)
        if self._desired_state.apply_progress(progress):
            self._active_rumors.start(key)
        else:
            self._active_rumors.record_duplicate(key)

    def merge_verdict(self, settled: SettledOrder) -> None:
        """Merge a verdict, and pass it on if it is new."""
        key = RumorKey(RumorKind.VERDICT, settled.service)
        if self._desired_state.apply_verdict(settled):
            self._active_rumors.start(key)
        else:
            self._active_rumors.record_duplicate(key)

    def publish_progress(self, progress: Progress) -> None:
        """Publish the progress of a move that this daemon decides."""
        if self._desired_state.apply_progress(progress):
            self._publish(RumorKey(RumorKind.PROGRESS, progress.service))
            self.next_round()

    def publish_verdict(self, settled: SettledOrder) -> None:
        """Publish a verdict that the store is known to hold."""
        if self._desired_state.apply_verdict(settled):
            self._publish(RumorKey(RumorKind.VERDICT, settled.service))
            self.next_round()

    def publish_suspect(self, fingerprint: Fingerprint) -> None:
        """Publish the record of a suspected request at once."""
        key = _suspect_key(fingerprint)
        self._active_suspects.start(key)
        self._cross_zone_queue[key] = None
        self.next_round()

    def merge_suspects(self, suspects: Iterable[Suspect]) -> None:
        """Merge suspects of other daemons, and pass on those that changed."""
        for suspect in suspects:
            key = _suspect_key(suspect.fingerprint)
            if self._gate.merge(suspect) is not MergeResult.CHANGED:
                self._active_suspects.record_duplicate(key)
                continue
            self._active_suspects.start(key)
            if self._neighbours.is_relay():
                self._cross_zone_queue[key] = None

    def next_round(self) -> None:
        """Send one round of the pending rumors."""
        if self._active_rumors or self._active_suspects:
            self._send_within_zone()
        if self._cross_zone_queue:
            self._send_across_zones()

    def _publish(self, key: RumorKey) -> None:
        """Start a rumor that originates here, in this and all other zones."""
        self._active_rumors.start(key)
        self._cross_zone_queue[key] = None

    def _send_previous_record(
        self, record: MemberRecord, known: MemberRecord
    ) -> None:
        """Send a restarted daemon the record of its upstream.

        The first record after a restart names no upstream and replaces the
        one that the other daemons hold. A few daemons of its zone answer with
        the previous record.
        """
        if not _lacks_upstream_state(record, known):
            return
        zone = record.availability_zone
        is_near = zone == self._own.availability_zone
        is_alone = len(self._table.in_zone(zone)) == 1
        if (is_near or is_alone) and self._neighbours.is_relay(
            share=_MEAN_REMINDERS
        ):
            self._send(record, Records(self._own.vm, [known]))

    def _queue_cross_zone_relay(self, record: MemberRecord) -> None:
        """Relay a change of this zone to the other zones, by chance."""
        is_ours = record.availability_zone == self._own.availability_zone
        if is_ours and self._neighbours.is_relay():
            self._cross_zone_queue[_member_key(record.vm)] = None

    def _send_within_zone(self) -> None:
        keys = self._active_rumors.next_round(RUMORS_PER_ROUND)
        keys += self._active_suspects.next_round(SUSPECTS_PER_ROUND)
        messages = self._build_messages(keys)
        for record in self._neighbours.pick_near(FANOUT):
            for message in messages:
                self._send(record, message)

    def _send_across_zones(self) -> None:
        messages = self._build_messages(self._cross_zone_queue)
        self._cross_zone_queue = {}
        for zone in self._neighbours.other_zones:
            for record in self._neighbours.pick_far(zone):
                for message in messages:
                    self._send(record, message)

    def _build_messages(self, keys: Iterable[RumorKey]) -> list[Rumors]:
        """Build the datagrams for some rumors from the current state."""
        members: list[MemberRecord] = []
        moves = Rumors([], [], [])
        suspects: list[Suspect] = []
        for key in keys:
            match key.kind:
                case RumorKind.MEMBER:
                    record = self._table.get(VmId(key.name))
                    members += [] if record is None else [record]
                case RumorKind.PROGRESS:
                    known = self._desired_state.snapshot.progress
                    moves.progress.append(known[ServiceName(key.name)])
                case RumorKind.VERDICT:
                    verdicts = self._desired_state.snapshot.settled
                    moves.settled.append(verdicts[ServiceName(key.name)])
                case RumorKind.SUSPECT:
                    suspects += self._find_suspect(key)
        messages = [Rumors(chunk) for chunk in split_records(members)]
        messages += pack_suspects(suspects)
        return messages if moves == Rumors() else [moves, *messages]

    def _find_suspect(self, key: RumorKey) -> list[Suspect]:
        """The suspect that a rumor names, unless it has been dropped."""
        fingerprint = Fingerprint(bytes.fromhex(key.name))
        found = self._gate.quarantine.get(fingerprint)
        return [] if found is None else [found]

    def _replace_own_record(
        self,
        incarnation: int,
        *,
        upstream: UpstreamRecord | None,
        leaving: bool,
    ) -> None:
        own = self._own
        self._own = MemberRecord(
            vm=own.vm,
            incarnation=incarnation,
            sequence=own.sequence + 1,
            availability_zone=own.availability_zone,
            calls=own.calls,
            gossip=own.gossip,
            leaving=leaving,
            upstream=upstream,
        )
        self._table.merge(self._own)
        self._publish(_member_key(own.vm))

    def _supersede_own_record(self, record: MemberRecord) -> None:
        """Replace an outdated record of this daemon that others hold.

        The record stems from an earlier start of this daemon. If the clock was
        set back since then, that record has the higher incarnation and would
        win over the current one, so this daemon takes a higher incarnation.
        """
        own = self._own
        if (
            record.upstream is not None
            and record.incarnation != own.incarnation
        ):
            self._restore_upstream(record.upstream)
            own = self._own
        if record.revision <= own.revision:
            return
        self._replace_own_record(
            min(max(record.incarnation, own.incarnation) + 1, MAX_UNIX_MS),
            upstream=own.upstream,
            leaving=own.leaving,
        )


def _lacks_upstream_state(record: MemberRecord, known: MemberRecord) -> bool:
    """Whether a restarted daemon lacks the upstream state that others hold.

    It knows no upstream yet, or considers an upstream ready that has announced
    its end.
    """
    upstream = known.upstream
    if record.incarnation == known.incarnation or upstream is None:
        return False
    announced = record.upstream
    if announced is None:
        return True
    is_same = (announced.instance, announced.born) == (
        upstream.instance,
        upstream.born,
    )
    return is_same and upstream.has_left and not announced.has_left


def split_records(records: list[MemberRecord]) -> list[list[MemberRecord]]:
    """Split records into chunks that fit into one datagram each."""
    return [
        records[start : start + RECORDS_PER_DATAGRAM]
        for start in range(0, len(records), RECORDS_PER_DATAGRAM)
    ]


def pack_suspects(suspects: list[Suspect]) -> list[Rumors]:
    """Pack suspects into datagrams."""
    return [
        Rumors(suspects=suspects[start : start + SUSPECTS_PER_DATAGRAM])
        for start in range(0, len(suspects), SUSPECTS_PER_DATAGRAM)
    ]


def _suspect_key(fingerprint: Fingerprint) -> RumorKey:
    return RumorKey(RumorKind.SUSPECT, fingerprint.hex())


def _member_key(vm: VmId) -> RumorKey:
    return RumorKey(RumorKind.MEMBER, vm)


@lru_cache(maxsize=_CACHED_ADDRESSES)
def _is_address(text: str) -> bool:
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def _has_valid_addresses(record: MemberRecord) -> bool:
    """Whether requests and datagrams can be sent to a daemon."""
    return _is_address(record.calls) and _is_address(record.gossip)


def _rate_limit_of(upstream: UpstreamRecord | None) -> float | None:
    if upstream is None or upstream.limit is None:
        return None
    return upstream.limit.rate


def _log_change(record: MemberRecord) -> None:
    upstream = record.upstream
    log(
        Event.MEMBER_CHANGED,
        vm=record.vm,
        incarnation=record.incarnation,
        leaving=record.leaving,
        instance=None if upstream is None else upstream.instance,
        version=None if upstream is None else upstream.version,
        state=None if upstream is None else upstream.state.value,
        limit=_rate_limit_of(upstream),
    )
