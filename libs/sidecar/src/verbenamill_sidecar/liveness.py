"""Which daemons owe a sign of life, and who is asked for one."""

from collections.abc import Callable

import trio

from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_policy.members import MemberRecord
from verbenamill_sidecar.peers import PROBE_AFTER, Peer, Peers
from verbenamill_telemetry import Event, log

#: How often daemons that owe an answer are looked at, in seconds.
WATCH_PERIOD = 0.1
#: How often one that is out of reach is asked for a sign of life, in s.
PROBE_PERIOD = 0.5
#: Delay of the own loop that is worth a line, in seconds.
HELD_UP = 0.15


class Watch:
    """Looks at all daemons that owe an answer, and at those that are away.

    :param ask: asks a daemon for a sign of life.
    """

    def __init__(
        self,
        peers: Peers,
        *,
        availability_zone: AvailabilityZone,
        ask: Callable[[MemberRecord], None],
    ) -> None:
        self._peers = peers
        self._zone = availability_zone
        self._ask = ask
        self._asked_at: dict[VmId, float] = {}
        self._awake_since = float('-inf')

    async def run(self) -> None:
        """Look again and again until cancelled."""
        while True:
            due = trio.current_time() + WATCH_PERIOD
            await trio.sleep_until(due)
            now = trio.current_time()
            if now - due >= HELD_UP:
                log(Event.PROCESS_STALLED, ms=int((now - due) * 1000))
                self._awake_since = now
            for peer in self._peers.watched_peers():
                self._look_at(peer, now)

    def _look_at(self, peer: Peer, now: float) -> None:
        """Ask a daemon that owes an answer for a sign of life."""
        silent = peer.silent_for(now)
        peer.check_silence(now, awake_since=self._awake_since)
        is_away = peer.owner.down_until > now or self._may_return(peer)
        if silent < PROBE_AFTER and not is_away:
            return
        pause = PROBE_PERIOD if is_away else 2 * WATCH_PERIOD
        asked_at = self._asked_at.get(peer.record.vm, float('-inf'))
        if now - asked_at >= pause:
            self._asked_at[peer.record.vm] = now
            self._ask(peer.record)

    def _may_return(self, peer: Peer) -> bool:
        """Whether a neighbour that left is to be looked for.

        It may be starting again, without the store and so without knowing
        anybody. Those of its own zone look for it.
        """
        return (
            peer.record.leaving
            and peer.record.availability_zone == self._zone
            and not self._peers.is_own(peer)
        )
