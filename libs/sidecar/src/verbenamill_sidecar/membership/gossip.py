"""Gossip between daemons over UDP: membership, progress of moves, suspects.

:mod:`~verbenamill_sidecar.membership.dissemination` spreads updates as
rumors, and :mod:`~verbenamill_sidecar.membership.reconciliation` finds what
rumors missed. This
module owns the socket, the timers and the dispatch of received messages.
"""

import socket
from collections.abc import Callable, Iterable
from functools import lru_cache
from random import Random

import msgspec
import trio

from verbenamill_http.addresses import Address, parse_address
from verbenamill_http.timers import sleep_coarsely
from verbenamill_model.typing import VmId
from verbenamill_policy.fingerprints import Fingerprint
from verbenamill_policy.members import (
    MemberRecord,
    MemberTable,
    UpstreamRecord,
)
from verbenamill_policy.pace import PaceReport
from verbenamill_policy.quarantine import Suspect
from verbenamill_policy.quotas.messages import TokenGrant, TokenRequest
from verbenamill_policy.rollouts import Progress, SettledOrder
from verbenamill_policy.rumors import Neighbours
from verbenamill_policy.tallies import Tally
from verbenamill_sidecar.membership.datagrams import (
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
from verbenamill_sidecar.membership.dissemination import Dissemination
from verbenamill_sidecar.membership.liveness import LivenessMonitor
from verbenamill_sidecar.membership.notices import Notices
from verbenamill_sidecar.membership.peers import Peer, Peers
from verbenamill_sidecar.membership.reconciliation import Reconciliation
from verbenamill_sidecar.membership.traffic import Traffic
from verbenamill_sidecar.quarantine.suspects import SuspectGate
from verbenamill_sidecar.routing.load_probes import LoadProbes
from verbenamill_sidecar.state.announcements import Channel
from verbenamill_sidecar.state.desired_state import DesiredState, VersionStamp
from verbenamill_sidecar.state.distribution import DistributionTree
from verbenamill_sidecar.state.store_follower import Follower
from verbenamill_telemetry import Event, log

#: Interval between rounds of rumors, in seconds.
RUMOR_PERIOD = 0.1
#: Mean interval between comparisons with another daemon, in seconds.
COMPARE_PERIOD = 1.0
#: The same for a daemon that is leaving, in seconds. It is no longer part of
#: the distribution tree and learns of changes only by comparing.
_LEAVING_COMPARE_PERIOD = 0.3
#: Longest wait after a start for the state that other daemons hold, in
#: seconds. A daemon that has received none by then is considered alone.
PEER_STATE_TIMEOUT = 0.5
#: Daemons of its zone that a daemon greets when it starts.
_GREETED_PEERS = 2
#: The same at the first start of the whole fleet, when none of these daemons
#: has heard of another one yet.
FIRST_START_GREETED_PEERS = 64
#: Shortest interval between two introductions to one address, in seconds.
_INTRODUCTION_PERIOD = 0.1
#: Addresses for which the time of the last introduction is kept.
_MAX_INTRODUCED_ADDRESSES = 1000
_MAX_DATAGRAM_BYTES = 65_000
#: Datagrams that are handled before other tasks run. Several often arrive
#: together, such as the answers of the daemons that were asked for their load.
_MAX_DATAGRAMS_AT_ONCE = 8


_address_of = lru_cache(maxsize=1024)(parse_address)


def _ignore_quota_message(_: TokenRequest | TokenGrant) -> None:
    """Ignore a message about quotas."""


class Gossip:
    """Replicates the member table and the state of moves to all daemons.

    :param restore_upstream: called with the record of this daemon's upstream
        that other daemons still hold from before a restart.
    :param follower: receives the version stamps of other daemons.
    :param on_tally: called with each tally of another owner.
    :param gate: holds the requests that are suspected of crashing upstreams.
    :param own_load: returns the number of requests running and queued here.
    :param own_pace: returns the pace of the own upstream.
    :param on_quota_message: called with messages about quotas.
    :ivar load_probes: asks other daemons for their load.
    :ivar peer_state_received: set once another daemon has sent its state, or
        :data:`PEER_STATE_TIMEOUT` after the start.
    :ivar peer_heard: set once any datagram of another daemon has arrived.
    """

    def __init__(
        self,
        *,
        own: MemberRecord,
        table: MemberTable,
        peers: Peers,
        desired_state: DesiredState,
        random: Random,
        restore_upstream: Callable[[UpstreamRecord], None],
        follower: Follower,
        tree: DistributionTree,
        on_tally: Callable[[Tally], None],
        gate: SuspectGate,
        own_load: Callable[[], int],
        own_pace: Callable[[], PaceReport | None] = lambda: None,
        on_quota_message: Callable[
            [TokenRequest | TokenGrant], None
        ] = _ignore_quota_message,
    ) -> None:
        self._on_quota_message = on_quota_message
        self._own_load = own_load
        self._own_pace = own_pace
        self.load_probes = LoadProbes(self._ask_for_load, random)
        self._table = table
        self._peers = peers
        self._desired_state = desired_state
        self._random = random
        self._follower = follower
        self._tree = tree
        self._on_tally = on_tally
        self._zone = own.availability_zone
        self._sock: socket.socket | None = None
        self._neighbours = Neighbours(
            table,
            own,
            random=random,
            is_suspect=peers.is_suspect,
        )
        self._dissemination = Dissemination(
            own=own,
            table=table,
            neighbours=self._neighbours,
            desired_state=desired_state,
            send=self._send,
            restore_upstream=restore_upstream,
            gate=gate,
        )
        self._reconciliation = Reconciliation(
            own=lambda: self._dissemination.own,
            table=table,
            neighbours=self._neighbours,
            desired_state=desired_state,
            send=self._send,
            quarantine=gate.quarantine,
        )
        self._notices = Notices(
            own.vm,
            desired_state=desired_state,
            follower=follower,
            tree=tree,
            neighbours=self._neighbours,
            send=self._send,
        )
        self._liveness = LivenessMonitor(
            peers,
            availability_zone=own.availability_zone,
            probe=lambda record: self._send(record, Ask(own.vm)),
        )
        self._introduced_at: dict[Address, float] = {}
        self.traffic = Traffic()
        self.peer_state_received = trio.Event()
        self.peer_heard = trio.Event()

    @property
    def own(self) -> MemberRecord:
        """The current record of this daemon."""
        return self._dissemination.own

    @property
    def knows_peers(self) -> bool:
        """Whether at least one other daemon is known."""
        return len(self._table) > 1

    def bind(self, address: Address) -> None:
        """Open the socket.

        :raises OSError: if the address cannot be bound.
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
                nursery.start_soon(self._run_dissemination)
                nursery.start_soon(self._compare)
                nursery.start_soon(self._liveness.run)
                await trio.sleep(PEER_STATE_TIMEOUT)
                self.peer_state_received.set()
        finally:
            self.close()

    def update_own(
        self,
        *,
        upstream: UpstreamRecord | None,
        leaving: bool = False,
    ) -> None:
        """Publish a changed record of this daemon at once."""
        self._dissemination.update_own(upstream=upstream, leaving=leaving)

    def merge_members(
        self,
        records: Iterable[MemberRecord],
        *,
        spread: bool,
    ) -> None:
        """Merge records that were read from the store."""
        self._dissemination.merge_members(records, spread=spread)

    def greet(self, *, count: int = _GREETED_PEERS) -> None:
        """Announce this daemon and request the state of some neighbours."""
        self._dissemination.announce()
        summary = self._reconciliation.summarize()
        for record in self._neighbours.pick_near(count):
            self._send(record, Rumors([self.own]))
            self._send(record, summary)
        if not self._neighbours.near_count:
            self._reconciliation.compare_across_zones()

    def publish_progress(self, progress: Progress) -> None:
        """Publish the progress of a move that this daemon decides."""
        self._dissemination.publish_progress(progress)

    def publish_verdict(self, settled: SettledOrder) -> None:
        """Publish a verdict that the store is known to hold."""
        self._dissemination.publish_verdict(settled)

    def publish_suspect(self, fingerprint: Fingerprint) -> None:
        """Publish the record of a suspected request at once."""
        self._dissemination.publish_suspect(fingerprint)

    def merge_suspects(self, suspects: Iterable[Suspect]) -> None:
        """Merge suspects that were read from the store."""
        self._dissemination.merge_suspects(suspects)

    def notify(self, kind: NoticeKind) -> None:
        """Send a notice about this daemon's view of the store to others."""
        self._notices.notify(kind)

    def record_stamp(self, vm: VmId, stamp: VersionStamp) -> None:
        """Record what a daemon has with which a request was exchanged."""
        if self._desired_state.is_older_than(stamp):
            self._notices.record(vm, stamp, Channel.REQUEST)

    def send_tally(self, peer: Peer, tally: Tally) -> None:
        """Send a tally of this daemon to the decider of a move."""
        self._send(peer.record, Tallies([tally]))

    def send_quota_message(
        self, to: MemberRecord, message: TokenRequest | TokenGrant
    ) -> None:
        """Send a message about quotas to a daemon."""
        self._send(to, message)

    def _ask_for_load(self, peer: Peer) -> None:
        self._send(peer.record, Ask(self.own.vm, wants_load=True))

    async def _run_dissemination(self) -> None:
        while True:
            await sleep_coarsely(RUMOR_PERIOD)
            self._dissemination.next_round()
            self._notices.next_round()

    async def _compare(self) -> None:
        while True:
            period = (
                _LEAVING_COMPARE_PERIOD if self.own.leaving else COMPARE_PERIOD
            )
            # Without jitter, daemons that start together would send their
            # comparisons at the same moments for ever.
            await trio.sleep(period * (0.5 + self._random.random()))
            self._reconciliation.next_round()

    async def _receive(self) -> None:
        sock = self._sock
        assert sock is not None
        while True:
            await trio.lowlevel.wait_readable(sock)
            for _ in range(_MAX_DATAGRAMS_AT_ONCE):
                try:
                    data, source = sock.recvfrom(_MAX_DATAGRAM_BYTES)
                except OSError:
                    # None is left. The kernel also reports here that an
                    # earlier datagram was undeliverable.
                    break
                self._handle_datagram(data, Address(source[0], source[1]))

    def _handle_datagram(self, data: bytes, source: Address) -> None:
        self.traffic.count_received()
        try:
            message = decode_message(data)
        except msgspec.MsgspecError:
            log(Event.MESSAGE_UNKNOWN, kind=f'{len(data)} bytes')
            return
        self.peer_heard.set()
        self._handle(message, source)

    def _handle(self, message: Message, source: Address) -> None:
        match message:
            case Rumors():
                self._handle_rumors(message)
            case Tallies():
                for tally in message.tallies:
                    self._on_tally(tally)
            case Ask():
                self._mark_alive(message.sender)
                sender = self._table.get(message.sender)
                if sender is None:
                    self._send_to(
                        source, Alive(self.own.vm), crosses_zones=False
                    )
                    self._introduce(message.sender, source)
                else:
                    self._send(sender, self._answer_probe(message))
            case Alive():
                self._mark_alive(message.sender)
                self._record_load(message)
            case Notice():
                self._handle_notice(message, source)
            case TokenRequest() | TokenGrant():
                self._mark_alive(message.sender)
                self._on_quota_message(message)
            case _:
                self._handle_comparison(message, source)

    def _answer_probe(self, probe: Ask) -> Alive:
        if probe.wants_load:
            return Alive(self.own.vm, self._own_load(), self._own_pace())
        return Alive(self.own.vm)

    def _mark_alive(self, vm: VmId) -> None:
        peer = self._peers.get(vm)
        if peer is not None:
            peer.mark_alive()

    def _record_load(self, message: Alive) -> None:
        peer = self._peers.get(message.sender)
        if peer is not None and message.load >= 0:
            self.load_probes.record(peer, message.load, message.pace)

    def _handle_notice(self, message: Notice, source: Address) -> None:
        self._mark_alive(message.sender)
        if self._table.get(message.sender) is None:
            self._introduce(message.sender, source)
        self._notices.handle(message)

    def _handle_rumors(self, message: Rumors) -> None:
        self._dissemination.merge_members(message.members, spread=True)
        for settled in message.settled:
            self._dissemination.merge_verdict(settled)
        for progress in message.progress:
            self._dissemination.merge_progress(progress)
        self._dissemination.merge_suspects(message.suspects)
        self.peer_state_received.set()

    def _handle_comparison(
        self,
        message: Summary | Digests | Ages | Wanted | Records,
        source: Address,
    ) -> None:
        self._mark_alive(message.sender)
        sender = self._table.get(message.sender)
        if isinstance(message, Records):
            self._handle_records(message, sender)
            return
        if sender is None:
            self._introduce(message.sender, source)
            return
        match message:
            case Summary():
                self._handle_summary(message, sender)
            case Digests():
                self._reconciliation.handle_digests(message, sender)
            case Ages():
                self._reconciliation.handle_ages(message, sender)
            case Wanted():
                self._reconciliation.handle_wanted(message, sender)

    def _handle_records(
        self,
        message: Records,
        sender: MemberRecord | None,
    ) -> None:
        # Within a zone the sender also compares with other daemons, so only
        # records from another zone are spread further.
        is_from_other_zone = (
            sender is not None and sender.availability_zone != self._zone
        )
        self._dissemination.merge_members(
            message.members, spread=is_from_other_zone
        )
        known = self._table.get(message.sender)
        if sender is None and known is not None:
            self._send(known, self._reconciliation.summarize())

    def _handle_summary(self, message: Summary, sender: MemberRecord) -> None:
        self._notices.record(message.sender, message.stamp, Channel.COMPARISON)
        if self.own.leaving and not self._desired_state.is_older_than(
            message.stamp
        ):
            self._tree.note_current()
        self._reconciliation.handle_summary(message, sender)
        self.peer_state_received.set()

    def _introduce(self, sender: VmId, source: Address) -> None:
        """Introduce this daemon to an unknown sender and ask for its record.

        While the store is unavailable, a restarted daemon knows nobody, but
        the others still know it and send to it. Once introduced, they send
        their whole state, and the daemon can serve without the store.
        """
        now = trio.current_time()
        if now - self._introduced_at.get(source, -1) < _INTRODUCTION_PERIOD:
            return
        if len(self._introduced_at) >= _MAX_INTRODUCED_ADDRESSES:
            self._introduced_at.clear()
        self._introduced_at[source] = now
        self._send_to(source, Rumors([self.own]), crosses_zones=False)
        wanted = Wanted(self.own.vm, [sender])
        self._send_to(source, wanted, crosses_zones=False)

    def _send(self, to: MemberRecord, message: Message) -> None:
        crosses_zones = to.availability_zone != self._zone
        self._send_to(
            _address_of(to.gossip), message, crosses_zones=crosses_zones
        )

    def _send_to(
        self,
        address: Address,
        message: Message,
        *,
        crosses_zones: bool,
    ) -> None:
        sock = self._sock
        if sock is None:
            return
        data = encode_message(message)
        try:
            sock.sendto(data, (address.host, address.port))
        except OSError:
            # Sending is best effort: a datagram may get lost on the network
            # too, and the next comparison repeats its content.
            return
        self.traffic.count_sent(message, len(data), crosses_zones=crosses_zones)
