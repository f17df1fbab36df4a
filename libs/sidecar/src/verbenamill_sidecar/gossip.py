"""Datagrams between daemons: who is there, and how far moves are.

News spread as rumors, and comparisons find what those miss. Both are in
modules of their own; this one has the socket and the times.
"""

import socket
from collections.abc import Callable, Iterable
from functools import lru_cache
from random import Random

import msgspec
import trio

from verbenamill_http.addresses import Address, parse_address
from verbenamill_model.typing import VmId
from verbenamill_policy.fingerprints import Fingerprint
from verbenamill_policy.members import (
    MemberRecord,
    MemberTable,
    UpstreamRecord,
)
from verbenamill_policy.quarantine import Suspect
from verbenamill_policy.rollouts import Progress, SettledOrder
from verbenamill_policy.rumors import Neighbours
from verbenamill_policy.tallies import Tally
from verbenamill_sidecar.datagrams import (
    Ages,
    Alive,
    Ask,
    Digests,
    Message,
    Notice,
    NoticeKind,
    Records,
    Rumors,
    Summary,
    Tallies,
    Wanted,
    decode_message,
    encode_message,
)
from verbenamill_sidecar.dissemination import Dissemination
from verbenamill_sidecar.distribution import DistributionTree
from verbenamill_sidecar.store_follower import Follower
from verbenamill_sidecar.desired_state import DesiredState
from verbenamill_sidecar.peers import Peer, Peers
from verbenamill_sidecar.reconciliation import Reconciliation
from verbenamill_sidecar.suspects import SuspectGate
from verbenamill_sidecar.traffic import Traffic
from verbenamill_sidecar.liveness import Watch
from verbenamill_telemetry import Event, log

#: How often news are passed on, in seconds.
RUMOR_PERIOD = 0.1
#: How often tables are compared, in seconds.
COMPARE_PERIOD = 1.0
#: The same for a daemon that leaves. It is out of the tree that feeds the
#: others, and learns of a change by comparing.
_LEAVING_PERIOD = 0.3
#: How long after a start it is waited for what others remember, in seconds;
#: who has met nobody by then is alone.
MEET_TIME = 0.5
#: Neighbours that a daemon greets at its start, and at the first start of the
#: whole fleet, when none of them has heard of another one yet.
_GREETED = 2
GREETED_FIRST = 64
#: Least time between two introductions to one address, in seconds, and
#: addresses that this is remembered of.
_INTRODUCE_PERIOD = 0.1
_MOST_INTRODUCED = 1000
_MAX_DATAGRAM = 65_000


_address_of = lru_cache(maxsize=1024)(parse_address)


class Gossip:
    """Keeps the tables of all daemons alike.

    :param recall: told what others remember of the own upstream.
    :param follower: told what other daemons know of the store.
    :param counted: told of the counts of other owners.
    :param gate: knows the requests under which upstreams crashed.
    :ivar has_met: set once others have told what they remember, or soon after
        the start.
    :ivar has_heard: set once another daemon has sent something.
    """

    def __init__(
        self,
        *,
        own: MemberRecord,
        table: MemberTable,
        peers: Peers,
        desired_state: DesiredState,
        random: Random,
        recall: Callable[[UpstreamRecord], None],
        follower: Follower,
        tree: DistributionTree,
        counted: Callable[[Tally], None],
        gate: SuspectGate,
    ) -> None:
        self._table = table
        self._peers = peers
        self._desired_state = desired_state
        self._random = random
        self._follower = follower
        self._tree = tree
        self._counted = counted
        self._zone = own.availability_zone
        self._sock: socket.socket | None = None
        self._neighbours = Neighbours(
            table,
            own,
            random=random,
            is_suspect=peers.is_suspect,
        )
        self._news = Dissemination(
            own=own,
            table=table,
            neighbours=self._neighbours,
            desired_state=desired_state,
            send=self._send,
            recall=recall,
            gate=gate,
        )
        self._reconciliation = Reconciliation(
            own=lambda: self._news.own,
            table=table,
            neighbours=self._neighbours,
            desired_state=desired_state,
            send=self._send,
            quarantine=gate.quarantine,
        )
        self._watch = Watch(
            peers,
            availability_zone=own.availability_zone,
            ask=lambda record: self._send(record, Ask(own.vm)),
        )
        self._introduced_at: dict[Address, float] = {}
        self.traffic = Traffic()
        self.has_met = trio.Event()
        self.has_heard = trio.Event()

    @property
    def own(self) -> MemberRecord:
        """What this daemon tells of itself."""
        return self._news.own

    @property
    def has_others(self) -> bool:
        """Whether any other daemon is known."""
        return len(self._table) > 1

    def bind(self, address: Address) -> None:
        """Open the socket.

        :raises OSError: if the address cannot be had.
        """
        family = socket.AF_INET6 if ':' in address.host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((address.host, address.port))
        self._sock = sock

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
        self._news.update(upstream=upstream, leaving=leaving)

    def take_members(
        self,
        records: Iterable[MemberRecord],
        *,
        spread: bool,
    ) -> None:
        """Take in records from the store."""
        self._news.take_members(records, spread=spread)

    def greet(self, *, count: int = _GREETED) -> None:
        """Make this daemon known, and ask some neighbours what they know."""
        self._news.announce()
        summary = self._reconciliation.summarize()
        for record in self._neighbours.pick_near(count):
            self._send(record, Rumors([self.own]))
            self._send(record, summary)
        if not self._neighbours.near_count:
            self._reconciliation.compare_far()

    def tell_progress(self, progress: Progress) -> None:
        """Tell how far a move is that this daemon decides."""
        self._news.tell_progress(progress)

    def tell_settled(self, settled: SettledOrder) -> None:
        """Tell a verdict that this daemon knows of the store."""
        self._news.tell_settled(settled)

    def tell_suspect(self, fingerprint: Fingerprint) -> None:
        """Tell what is known here of a request, at once."""
        self._news.tell_suspect(fingerprint)

    def take_suspects(self, suspects: Iterable[Suspect]) -> None:
        """Take in what the store knows of requests."""
        self._news.take_suspects(suspects)

    def notify(self, kind: NoticeKind) -> None:
        """Tell others what is known here of the store's content."""
        notice = Notice(self.own.vm, self._desired_state.stamp, kind)
        is_news = kind is NoticeKind.NEWS
        to = self._tree.heads if is_news else self._tree.children
        for record in to:
            self._send(record, notice)

    def send_tally(self, peer: Peer, tally: Tally) -> None:
        """Tell a decider what was counted here."""
        self._send(peer.record, Tallies([tally]))

    async def _spread(self) -> None:
        while True:
            await trio.sleep(RUMOR_PERIOD)
            self._news.next_round()

    async def _compare(self) -> None:
        while True:
            period = _LEAVING_PERIOD if self.own.leaving else COMPARE_PERIOD
            # All daemons that start together would send together for ever.
            await trio.sleep(period * (0.5 + self._random.random()))
            self._reconciliation.next_round()

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
            self.traffic.count_received()
            try:
                message = decode_message(data)
            except msgspec.MsgspecError:
                log(Event.MESSAGE_UNKNOWN, kind=f'{len(data)} bytes')
                continue
            self.has_heard.set()
            self._handle(message, Address(source[0], source[1]))

    def _handle(self, message: Message, source: Address) -> None:
        match message:
            case Rumors():
                self._take_rumors(message)
            case Tallies():
                for tally in message.tallies:
                    self._counted(tally)
            case Ask():
                self._hear(message.sender)
                sender = self._table.get(message.sender)
                if sender is None:
                    self._send_to(source, Alive(self.own.vm), crosses=False)
                    self._introduce(message.sender, source)
                else:
                    self._send(sender, Alive(self.own.vm))
            case Alive():
                self._hear(message.sender)
            case Notice():
                self._take_notice(message, source)
            case _:
                self._take_comparison(message, source)

    def _hear(self, vm: VmId) -> None:
        peer = self._peers.get(vm)
        if peer is not None:
            peer.mark_alive()

    def _take_notice(self, message: Notice, source: Address) -> None:
        self._hear(message.sender)
        if self._table.get(message.sender) is None:
            self._introduce(message.sender, source)
        is_behind = self._desired_state.lacks(message.stamp)
        match message.kind:
            case NoticeKind.NEWS:
                self._follower.hear_stamp(message.sender, message.stamp)
                return
            case NoticeKind.STALLED:
                self._tree.hear_stalled(message.sender)
            case NoticeKind.CURRENT if not is_behind:
                self._tree.hear_notice()
        if is_behind:
            self._tree.hear_news()
            self._follower.is_behind(
                message.sender,
                message.stamp,
                is_parent=True,
            )

    def _take_rumors(self, message: Rumors) -> None:
        self._news.take_members(message.members, spread=True)
        for settled in message.settled:
            self._news.take_settled(settled)
        for progress in message.progress:
            self._news.take_progress(progress)
        self._news.take_suspects(message.suspects)
        self.has_met.set()

    def _take_comparison(
        self,
        message: Summary | Digests | Ages | Wanted | Records,
        source: Address,
    ) -> None:
        self._hear(message.sender)
        sender = self._table.get(message.sender)
        if isinstance(message, Records):
            self._take_records(message, sender)
            return
        if sender is None:
            self._introduce(message.sender, source)
            return
        match message:
            case Summary():
                self._take_summary(message, sender)
            case Digests():
                self._reconciliation.take_digests(message, sender)
            case Ages():
                self._reconciliation.take_ages(message, sender)
            case Wanted():
                self._reconciliation.take_wanted(message, sender)

    def _take_records(
        self,
        message: Records,
        sender: MemberRecord | None,
    ) -> None:
        # In its own zone the sender compares with others as well.
        is_far = sender is not None and sender.availability_zone != self._zone
        self._news.take_members(message.members, spread=is_far)
        known = self._table.get(message.sender)
        if sender is None and known is not None:
            self._send(known, self._reconciliation.summarize())

    def _take_summary(self, message: Summary, sender: MemberRecord) -> None:
        self._follower.hear_stamp(message.sender, message.stamp)
        if self.own.leaving and not self._desired_state.lacks(message.stamp):
            self._tree.hear_notice()
        self._reconciliation.take_summary(message, sender)
        self.has_met.set()

    def _introduce(self, sender: VmId, source: Address) -> None:
        """Tell an unknown sender of this daemon, and ask who it is.

        While the store is out of reach, a daemon that was restarted knows
        nobody. Others still know it and write to it; answered, they tell it
        all they know, and it serves again without the store.
        """
        now = trio.current_time()
        if now - self._introduced_at.get(source, -1) < _INTRODUCE_PERIOD:
            return
        if len(self._introduced_at) >= _MOST_INTRODUCED:
            self._introduced_at.clear()
        self._introduced_at[source] = now
        self._send_to(source, Rumors([self.own]), crosses=False)
        wanted = Wanted(self.own.vm, [sender])
        self._send_to(source, wanted, crosses=False)

    def _send(self, to: MemberRecord, message: Message) -> None:
        crosses = to.availability_zone != self._zone
        self._send_to(_address_of(to.gossip), message, crosses=crosses)

    def _send_to(
        self,
        address: Address,
        message: Message,
        *,
        crosses: bool,
    ) -> None:
        sock = self._sock
        if sock is None:
            return
        data = encode_message(message)
        try:
            sock.sendto(data, (address.host, address.port))
        except OSError:
            # A datagram may be lost on its way as well; all that it told is
            # told again by the next comparison.
            return
        self.traffic.count_sent(message, len(data), crosses=crosses)
