"""Datagrams between daemons: who is there, and how far moves are.

News are passed on to a few daemons at random, a few times (rumours). What
such a rumour misses, the comparison of whole tables finds: each daemon
compares with one other a second, by digests of parts of the table.
"""

import math
import socket
from collections.abc import Callable, Iterable
from functools import lru_cache
from random import Random
from typing import TypeVar

import msgspec
import trio

from verbenamill_http.addresses import Address, parse_address
from verbenamill_model.typing import ServiceName, VmId
from verbenamill_policy.evidence import Tally
from verbenamill_policy.members import (
    BUCKETS,
    MemberRecord,
    MemberTable,
    UpstreamRecord,
)
from verbenamill_policy.rollouts import Progress, Settled
from verbenamill_sidecar.datagrams import (
    Alive,
    Ask,
    Compare,
    Message,
    Notice,
    Rumours,
    Tallies,
    read_message,
    write_message,
)
from verbenamill_sidecar.feeding import Feeding
from verbenamill_sidecar.knowledge import Stamp, Wishes
from verbenamill_sidecar.peers import Peer, Peers
from verbenamill_sidecar.watching import Watch
from verbenamill_telemetry import Event, log

#: How often news are passed on, in seconds.
RUMOUR_PERIOD = 0.1
#: Daemons that each round of a rumour goes to.
FANOUT = 3
#: How often whole tables are compared, in seconds.
COMPARE_PERIOD = 1.0
#: How long after a start it is waited for what others remember, in seconds;
#: who has met nobody by then is alone.
MEET_TIME = 0.5
#: Records in one datagram; keeps it below the usual 1,400 bytes.
_RECORDS = 6
_MAX_DATAGRAM = 65_000


_address_of = lru_cache(maxsize=1024)(parse_address)


class _Rumour:
    """Something new, and how often it is still to be passed on."""

    def __init__(self, rounds: int) -> None:
        self.rounds = rounds


_Key = TypeVar('_Key')


def _cool(hot: dict[_Key, _Rumour]) -> None:
    """Count a round, and drop what has been passed on often enough."""
    for key, rumour in list(hot.items()):
        rumour.rounds -= 1
        if rumour.rounds <= 0:
            hot.pop(key)


class Gossip:
    """Keeps the tables of all daemons alike.

    :param recall: told what others remember of the own upstream.
    :param behind: told of a daemon that knows more, what it knows in short,
        and whether it is the one that is to feed this one.
    :param counted: told of the counts of other owners.
    """

    def __init__(
        self,
        *,
        own: MemberRecord,
        table: MemberTable,
        peers: Peers,
        wishes: Wishes,
        random: Random,
        recall: Callable[[UpstreamRecord], None],
        behind: Callable[[VmId, Stamp, bool], None],
        feeding: Feeding,
        counted: Callable[[Tally], None],
    ) -> None:
        self._own = own
        self._table = table
        self._peers = peers
        self._wishes = wishes
        self._random = random
        self._recall = recall
        self._behind = behind
        self._feeding = feeding
        self._counted = counted
        self._sock: socket.socket | None = None
        self._hot_members: dict[VmId, _Rumour] = {}
        self._hot_progress: dict[ServiceName, _Rumour] = {}
        self._hot_settled: dict[ServiceName, _Rumour] = {}
        self._watch = Watch(
            peers,
            availability_zone=own.availability_zone,
            ask=lambda record: self._send(record, Ask(own.vm)),
        )
        self.sent = 0
        self.received = 0
        self.has_met = trio.Event()
        table.merge(own)

    @property
    def own(self) -> MemberRecord:
        """What this daemon tells of itself."""
        return self._own

    def bind(self, address: Address) -> None:
        """Open the socket.

        :raises OSError: if the address cannot be had.
        """
        family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((address.host, address.port))
        self._sock = sock

    @property
    def has_others(self) -> bool:
        """Whether any other daemon is known."""
        return len(self._table) > 1

    def close(self) -> None:
        """Close the socket."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    async def run(self) -> None:
        """Send and receive until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive)
                nursery.start_soon(self._spread)
                nursery.start_soon(self._compare)
                nursery.start_soon(self._watch.run)
                await trio.sleep(MEET_TIME)
                self.has_met.set()
        finally:
            self.close()

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
        self._pass_on()

    def take_members(self, records: Iterable[MemberRecord]) -> None:
        """Take in records, from the store or from another daemon."""
        for record in records:
            if record.vm == self._own.vm:
                self._answer_own(record)
            elif self._table.merge(record):
                self._hot_members[record.vm] = _Rumour(self._rounds())
                self._tell_news(record)

    def meet(self, records: Iterable[MemberRecord]) -> None:
        """Take in what the store has, and greet some of those there."""
        self.take_members(records)
        # Those there have not heard of this daemon, and cannot answer it.
        self._hot_members[self._own.vm] = _Rumour(self._rounds())
        self._pass_on()
        for peer in self._some_peers(FANOUT):
            self._send(peer.record, self._summary(is_reply=False))

    def tell_progress(self, progress: Progress) -> None:
        """Take in and pass on how far a move is."""
        if self._wishes.take_progress(progress):
            self._hot_progress[progress.service] = _Rumour(self._rounds())
            self._pass_on()

    def tell_settled(self, settled: Settled) -> None:
        """Take in and pass on a verdict."""
        if self._wishes.take_settled(settled):
            self._hot_settled[settled.service] = _Rumour(self._rounds())
            self._pass_on()

    def feed_children(self) -> None:
        """Tell the children in the tree what is known here."""
        notice = Notice(self._own.vm, self._wishes.stamp)
        for child in (*self._feeding.children, *self._feeding.wards):
            self._send(child, notice)

    def compare_soon(self) -> None:
        """Compare with the readers of the zone and some others, at once.

        After an outage of the store the first one that reads again has news
        that the others would get only when their own reads are given up.
        """
        for record in self._feeding.other_readers:
            self._send(record, self._summary(is_reply=False))
        for peer in self._some_peers(FANOUT):
            self._send(peer.record, self._summary(is_reply=False))

    def send_tally(self, peer: Peer, tally: Tally) -> None:
        """Tell a decider what was counted here."""
        self._send(peer.record, Tallies([tally]))

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
        self._hot_members[own.vm] = _Rumour(self._rounds())

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
        if record.age <= own.age:
            return
        self._renew(
            max(record.incarnation, own.incarnation) + 1,
            upstream=own.upstream,
            leaving=own.leaving,
        )

    def _tell_news(self, record: MemberRecord) -> None:
        upstream = record.upstream
        log(
            Event.MEMBER_CHANGED,
            vm=record.vm,
            incarnation=record.incarnation,
            leaving=record.leaving,
            instance=None if upstream is None else upstream.instance,
            version=None if upstream is None else upstream.version,
            state=None if upstream is None else upstream.state.value,
        )

    def _rounds(self) -> int:
        """Rounds after which a rumour has reached nearly all."""
        return 2 + math.ceil(math.log2(len(self._table) + 1) / 2)

    async def _spread(self) -> None:
        while True:
            await trio.sleep(RUMOUR_PERIOD)
            if self._hot_members or self._hot_progress or self._hot_settled:
                self._pass_on()

    def _pass_on(self) -> None:
        """One round of all rumours."""
        members = [
            record
            for record in map(self._table.get, list(self._hot_members))
            if record is not None
        ]
        progress = [
            found
            for found in map(
                self._wishes.known.progress.get,
                list(self._hot_progress),
            )
            if found is not None
        ]
        known = self._wishes.known.settled
        settled = [known[service] for service in self._hot_settled]
        for peer in self._some_peers(FANOUT):
            self._send_records(
                peer.record,
                members,
                Rumours(progress=progress, settled=settled),
            )
        _cool(self._hot_members)
        _cool(self._hot_progress)
        _cool(self._hot_settled)

    def _send_records(
        self,
        to: MemberRecord,
        members: list[MemberRecord],
        moves: Rumours,
    ) -> None:
        first = Rumours(members[:_RECORDS], moves.progress, moves.settled)
        if first != Rumours():
            self._send(to, first)
        for start in range(_RECORDS, len(members), _RECORDS):
            self._send(to, Rumours(members[start : start + _RECORDS]))

    def _some_peers(self, count: int) -> list[Peer]:
        others = [
            peer for peer in self._peers.all() if not self._peers.is_own(peer)
        ]
        if len(others) <= count:
            return others
        return self._random.sample(others, count)

    async def _compare(self) -> None:
        while True:
            # All daemons that start together would send together for ever.
            spread = 0.5 + self._random.random()
            await trio.sleep(COMPARE_PERIOD * spread)
            for peer in self._some_peers(1):
                self._send(peer.record, self._summary(is_reply=False))

    def _summary(self, *, is_reply: bool) -> Compare:
        return Compare(
            sender=self._own.vm,
            digests=self._table.digests,
            stamp=self._wishes.stamp,
            progress=list(self._wishes.known.progress.values()),
            settled=list(self._wishes.known.settled.values()),
            is_reply=is_reply,
        )

    async def _receive(self) -> None:
        sock = self._sock
        assert sock is not None
        while True:
            await trio.lowlevel.wait_readable(sock)
            try:
                data, source = sock.recvfrom(_MAX_DATAGRAM)
            except OSError:
                # Also what the kernel tells of an earlier datagram that
                # found nobody.
                continue
            self.received += 1
            try:
                message = read_message(data)
            except msgspec.MsgspecError:
                log(Event.MESSAGE_UNKNOWN, kind=f'{len(data)} bytes')
                continue
            self._handle(message, Address(source[0], source[1]))

    def _handle(self, message: Message, source: Address) -> None:
        match message:
            case Rumours():
                self._take_rumours(message)
            case Compare():
                self._take_summary(message, source)
            case Notice():
                self._take_notice(message)
            case Ask():
                self._hear(message.sender)
                self._send_to(source, Alive(self._own.vm))
                if self._table.get(message.sender) is None:
                    self._introduce(source)
            case Alive():
                self._hear(message.sender)
            case Tallies():
                for tally in message.tallies:
                    self._counted(tally)

    def _hear(self, vm: VmId) -> None:
        peer = self._peers.get(vm)
        if peer is not None:
            peer.hear()

    def _take_notice(self, message: Notice) -> None:
        self._hear(message.sender)
        if self._wishes.lacks(message.stamp):
            self._feeding.starve()
            self._behind(message.sender, message.stamp, True)
        else:
            self._feeding.feed()

    def _take_rumours(self, message: Rumours) -> None:
        self.take_members(message.members)
        self._take_moves(message)
        self.has_met.set()

    def _take_moves(self, message: Rumours | Compare) -> None:
        for settled in message.settled:
            self.tell_settled(settled)
        for progress in message.progress:
            self.tell_progress(progress)

    def _introduce(self, source: Address) -> None:
        """Tell an unknown sender of this daemon.

        While the store is out of reach, a daemon that was restarted knows
        nobody. Others still know it and write to it; answered, they tell it
        all they know, and it serves again without the store.
        """
        self._send_to(source, Rumours([self._own]))
        self._send_to(source, self._summary(is_reply=False))

    def _take_summary(self, message: Compare, source: Address) -> None:
        self._hear(message.sender)
        sender = self._table.get(message.sender)
        self._take_moves(message)
        if sender is None:
            self._introduce(source)
            return
        if self._wishes.lacks(message.stamp):
            self._behind(message.sender, message.stamp, False)
        digests = self._table.digests
        if len(message.digests) != BUCKETS:
            return
        differing = [
            bucket
            for bucket, digest in enumerate(message.digests)
            if digests[bucket] != digest
        ]
        if differing:
            records = self._table.in_buckets(differing)
            self._send_records(sender, records, Rumours())
        if not message.is_reply:
            self._send(sender, self._summary(is_reply=True))
        self.has_met.set()

    def _send(self, to: MemberRecord, message: Message) -> None:
        self._send_to(_address_of(to.gossip), message)

    def _send_to(self, address: Address, message: Message) -> None:
        sock = self._sock
        if sock is None:
            return
        try:
            sock.sendto(
                write_message(message),
                (address.host, address.port),
            )
        except OSError:
            # A datagram may be lost on its way as well; all that it told is
            # told again by the next comparison.
            return
        self.sent += 1
