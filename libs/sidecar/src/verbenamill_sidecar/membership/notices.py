"""Notices between daemons: who has applied a change, and who need not read.

That a daemon has applied a change also spreads as a rumor: it says so to some
daemons at random, for a few rounds. So a daemon learns of a change although its
parents in the distribution tree lack it, are gone or cannot be reached.
"""

from verbenamill_model.typing import VmId
from verbenamill_policy.members import MemberRecord
from verbenamill_policy.rumors import FANOUT, ROUNDS, Neighbours
from verbenamill_sidecar.membership.datagrams import Notice, NoticeKind
from verbenamill_sidecar.membership.dissemination import Send
from verbenamill_sidecar.state.announcements import Channel
from verbenamill_sidecar.state.desired_state import DesiredState, VersionStamp
from verbenamill_sidecar.state.distribution import DistributionTree
from verbenamill_sidecar.state.store_follower import Follower


class Notices:
    """Sends and handles notices about the daemons' view of the store."""

    def __init__(
        self,
        own: VmId,
        *,
        desired_state: DesiredState,
        follower: Follower,
        tree: DistributionTree,
        neighbours: Neighbours,
        send: Send,
    ) -> None:
        self._own = own
        self._desired_state = desired_state
        self._follower = follower
        self._tree = tree
        self._neighbours = neighbours
        self._send = send
        self._rounds_left = 0

    def notify(self, kind: NoticeKind) -> None:
        """Send a notice about this daemon's view of the store to others."""
        if kind is NoticeKind.CHANGED:
            self._announce_change()
            return
        age_ms = 0
        if kind is NoticeKind.CURRENT and not self._tree.must_read():
            age_ms = int(self._tree.notice_age * 1000)
        notice = Notice(self._own, self._desired_state.stamp, kind, age_ms)
        for record in self._tree.children:
            self._send(record, notice)

    def handle(self, message: Notice) -> None:
        """Handle the notice of another daemon."""
        match message.kind:
            case NoticeKind.CHANGED:
                if message.stamp == self._desired_state.stamp:
                    self._rounds_left -= 1
                self.record(message.sender, message.stamp, Channel.RUMOR)
                return
            case NoticeKind.STALLED:
                self._tree.note_stalled(message.sender)
            case NoticeKind.CURRENT:
                self._tree.note_notice(message.age_ms / 1000)
        self.record(message.sender, message.stamp, Channel.NOTICE)

    def record(self, vm: VmId, stamp: VersionStamp, channel: Channel) -> None:
        """Record what another daemon has."""
        self._follower.handle_stamp(vm, stamp, channel)
        if self._follower.announced.behind_since is not None:
            self._tree.note_behind()

    def next_round(self) -> None:
        """Tell some daemons of this zone of the last change here."""
        if self._rounds_left <= 0:
            return
        self._rounds_left -= 1
        self._send_change(self._neighbours.pick_any_near(FANOUT))

    def _announce_change(self) -> None:
        self._rounds_left = ROUNDS
        self.next_round()
        is_reading = self._tree.must_read()
        if is_reading:
            self._send_change(self._tree.zone_contacts)
        if is_reading or self._neighbours.is_relay():
            for zone in self._neighbours.other_zones:
                self._send_change(self._neighbours.pick_far(zone))

    def _send_change(self, records: list[MemberRecord]) -> None:
        notice = Notice(
            self._own, self._desired_state.stamp, NoticeKind.CHANGED
        )
        for record in records:
            self._send(record, notice)
