"""Spreads news: of daemons, of moves, and of requests that are suspected."""

from collections.abc import Callable, Iterable

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
from verbenamill_sidecar.datagrams import Message, Records, Rumors
from verbenamill_sidecar.desired_state import DesiredState
from verbenamill_sidecar.suspects import SuspectGate
from verbenamill_telemetry import Event, log

#: Pieces of news that a daemon passes on in one round; bounds its bytes a
#: second however much changes. The rest waits for the next round.
ROUND_LIMIT = 18
#: Records in one datagram; keeps it below the usual 1,400 bytes.
RECORDS = 6
#: The same for suspects: a caller that crashes many upstreams leaves room for
#: all other news. And suspects in one datagram.
SUSPECTS_ROUND_LIMIT = 6
SUSPECTS = 3
#: Daemons that remind one that has started again, on average.
_REMINDERS = 3

#: Sends a message to a daemon; it may get lost.
Send = Callable[[MemberRecord, Message], None]


class Dissemination:
    """Keeps the own record and passes news on.

    :param recall: told what others remember of the own upstream.
    :param gate: knows the requests under which upstreams crashed.
    """

    def __init__(
        self,
        *,
        own: MemberRecord,
        table: MemberTable,
        neighbours: Neighbours,
        desired_state: DesiredState,
        send: Send,
        recall: Callable[[UpstreamRecord], None],
        gate: SuspectGate,
    ) -> None:
        self._gate = gate
        self._own = own
        self._table = table
        self._neighbours = neighbours
        self._desired_state = desired_state
        self._send = send
        self._recall = recall
        self._hot = ActiveRumors()
        self._hot_suspects = ActiveRumors()
        self._exports: dict[RumorKey, None] = {}
        table.merge(own)

    @property
    def own(self) -> MemberRecord:
        """What this daemon tells of itself."""
        return self._own

    def update(
        self,
        *,
        upstream: UpstreamRecord | None,
        leaving: bool = False,
    ) -> None:
        """Tell something new of this daemon, at once."""
        own = self._own
        if own.upstream == upstream and own.leaving == leaving:
            return
        self._renew(own.incarnation, upstream=upstream, leaving=leaving)
        self.next_round()

    def announce(self) -> None:
        """Tell of this daemon those that have not heard of it."""
        self._publish(_member_key(self._own.vm))
        self.next_round()

    def take_members(
        self,
        records: Iterable[MemberRecord],
        *,
        spread: bool,
    ) -> None:
        """Take in records of other daemons.

        :param spread: whether to pass on what is new.
        """
        for record in records:
            known = self._table.get(record.vm)
            if record.vm == self._own.vm:
                self._answer_own(record)
            elif self._table.merge(record):
                _log_change(record)
                if known is not None:
                    self._remind(record, known)
                if spread:
                    self._hot.start(_member_key(record.vm))
                    self._relay(record)
            else:
                self._hot.record_duplicate(_member_key(record.vm))

    def take_progress(self, progress: Progress) -> None:
        """Take in how far a move is, and pass it on."""
        key = RumorKey(RumorKind.PROGRESS, progress.service)
        if self._desired_state.take_progress(progress):
            self._hot.start(key)
        else:
            self._hot.record_duplicate(key)

    def take_settled(self, settled: SettledOrder) -> None:
        """Take in a verdict, and pass it on."""
        key = RumorKey(RumorKind.VERDICT, settled.service)
        if self._desired_state.take_settled(settled):
            self._hot.start(key)
        else:
            self._hot.record_duplicate(key)

    def tell_progress(self, progress: Progress) -> None:
        """Tell how far a move is that this daemon decides."""
        if self._desired_state.take_progress(progress):
            self._publish(RumorKey(RumorKind.PROGRESS, progress.service))
            self.next_round()

    def tell_settled(self, settled: SettledOrder) -> None:
        """Tell a verdict that this daemon has written."""
        if self._desired_state.take_settled(settled):
            self._publish(RumorKey(RumorKind.VERDICT, settled.service))
            self.next_round()

    def tell_suspect(self, fingerprint: Fingerprint) -> None:
        """Tell what is known here of a request, at once."""
        key = _suspect_key(fingerprint)
        self._hot_suspects.start(key)
        self._exports[key] = None
        self.next_round()

    def take_suspects(self, suspects: Iterable[Suspect]) -> None:
        """Take in what others know of requests, and pass on what is new."""
        for suspect in suspects:
            key = _suspect_key(suspect.fingerprint)
            if self._gate.merge(suspect) is not MergeResult.CHANGED:
                self._hot_suspects.record_duplicate(key)
                continue
            self._hot_suspects.start(key)
            if self._neighbours.is_relay():
                self._exports[key] = None

    def next_round(self) -> None:
        """Pass on what is new, once."""
        if self._hot or self._hot_suspects:
            self._spread()
        if self._exports:
            self._export()

    def _publish(self, key: RumorKey) -> None:
        """Pass on news that this daemon makes, to all zones."""
        self._hot.start(key)
        self._exports[key] = None

    def _remind(self, record: MemberRecord, known: MemberRecord) -> None:
        """Tell a daemon that has started again of its upstream.

        Its first record names none, and takes the place of the one that
        others remember. Some of its zone answer it with that.
        """
        if not _has_forgotten(record, known):
            return
        zone = record.availability_zone
        is_near = zone == self._own.availability_zone
        is_alone = len(self._table.in_zone(zone)) == 1
        if (is_near or is_alone) and self._neighbours.is_relay(
            share=_REMINDERS
        ):
            self._send(record, Records(self._own.vm, [known]))

    def _relay(self, record: MemberRecord) -> None:
        """By chance, tell other zones what is new in this one."""
        is_ours = record.availability_zone == self._own.availability_zone
        if is_ours and self._neighbours.is_relay():
            self._exports[_member_key(record.vm)] = None

    def _spread(self) -> None:
        keys = self._hot.next_round(ROUND_LIMIT)
        keys += self._hot_suspects.next_round(SUSPECTS_ROUND_LIMIT)
        messages = self._resolve(keys)
        for record in self._neighbours.pick_near(FANOUT):
            for message in messages:
                self._send(record, message)

    def _export(self) -> None:
        messages = self._resolve(self._exports)
        self._exports = {}
        for zone in self._neighbours.other_zones:
            for record in self._neighbours.pick_far(zone):
                for message in messages:
                    self._send(record, message)

    def _resolve(self, keys: Iterable[RumorKey]) -> list[Rumors]:
        """Messages that carry some news, as they are now."""
        members: list[MemberRecord] = []
        moves = Rumors([], [], [])
        suspects: list[Suspect] = []
        for key in keys:
            match key.kind:
                case RumorKind.MEMBER:
                    record = self._table.get(VmId(key.name))
                    members += [] if record is None else [record]
                case RumorKind.PROGRESS:
                    known = self._desired_state.known.progress
                    moves.progress.append(known[ServiceName(key.name)])
                case RumorKind.VERDICT:
                    verdicts = self._desired_state.known.settled
                    moves.settled.append(verdicts[ServiceName(key.name)])
                case RumorKind.SUSPECT:
                    suspects += self._find_suspect(key)
        messages = [Rumors(chunk) for chunk in split_records(members)]
        messages += pack_suspects(suspects)
        return messages if moves == Rumors() else [moves, *messages]

    def _find_suspect(self, key: RumorKey) -> list[Suspect]:
        """The record that news are about, unless it was forgotten since."""
        fingerprint = Fingerprint(bytes.fromhex(key.name))
        found = self._gate.quarantine.get(fingerprint)
        return [] if found is None else [found]

    def _renew(
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

    def _answer_own(self, record: MemberRecord) -> None:
        """What others say of this daemon is from an earlier start of it.

        If the clock was put back since, the earlier start looks later, and
        nobody would believe this one; so it overtakes.
        """
        own = self._own
        if (
            record.upstream is not None
            and record.incarnation != own.incarnation
        ):
            self._recall(record.upstream)
            own = self._own
        if record.revision <= own.revision:
            return
        self._renew(
            max(record.incarnation, own.incarnation) + 1,
            upstream=own.upstream,
            leaving=own.leaving,
        )


def _has_forgotten(record: MemberRecord, known: MemberRecord) -> bool:
    """Whether a daemon that has started again lacks what others remember.

    It knows no upstream yet, or takes one for ready that said that it ends.
    """
    upstream = known.upstream
    if record.incarnation == known.incarnation or upstream is None:
        return False
    told = record.upstream
    if told is None:
        return True
    is_same = (told.instance, told.born) == (upstream.instance, upstream.born)
    return is_same and upstream.has_left and not told.has_left


def split_records(records: list[MemberRecord]) -> list[list[MemberRecord]]:
    """Parts that fit into a datagram each."""
    return [
        records[start : start + RECORDS]
        for start in range(0, len(records), RECORDS)
    ]


def pack_suspects(suspects: list[Suspect]) -> list[Rumors]:
    """Datagrams that tell of suspects."""
    return [
        Rumors(suspects=suspects[start : start + SUSPECTS])
        for start in range(0, len(suspects), SUSPECTS)
    ]


def _suspect_key(fingerprint: Fingerprint) -> RumorKey:
    return RumorKey(RumorKind.SUSPECT, fingerprint.hex())


def _member_key(vm: VmId) -> RumorKey:
    return RumorKey(RumorKind.MEMBER, vm)


def _rate_of(upstream: UpstreamRecord | None) -> float | None:
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
        limit=_rate_of(upstream),
    )
