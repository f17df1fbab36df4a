"""Probes the daemons that owe an answer or are unreachable."""

from collections.abc import Callable

import trio

from verbenamill_http.timers import sleep_coarsely
from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_policy.members import MemberRecord
from verbenamill_sidecar.membership.peers import PROBE_AFTER, Peer, Peers
from verbenamill_telemetry import Event, log

#: Interval between checks of the daemons that owe an answer, in seconds.
CHECK_PERIOD = 0.1
#: Interval between probes of an unreachable daemon, in seconds.
PROBE_PERIOD = 0.5
#: Delay of this module's own loop that is logged as a stall, in seconds.
STALL_THRESHOLD = 0.15


class LivenessMonitor:
    """Watches the daemons that owe an answer and those that are unreachable.

    :param probe: sends a probe to a daemon, which answers that it is alive.
    """

    def __init__(
        self,
        peers: Peers,
        *,
        availability_zone: AvailabilityZone,
        probe: Callable[[MemberRecord], None],
    ) -> None:
        self._peers = peers
        self._zone = availability_zone
        self._probe = probe
        self._probed_at: dict[VmId, float] = {}
        self._resumed_at = float('-inf')

    async def run(self) -> None:
        """Check the watched daemons at regular intervals until cancelled."""
        while True:
            due = await sleep_coarsely(CHECK_PERIOD)
            now = trio.current_time()
            if now - due >= STALL_THRESHOLD:
                log(Event.PROCESS_STALLED, ms=int((now - due) * 1000))
                self._resumed_at = now
            for peer in self._peers.watched_peers():
                self._check(peer, now)

    def _check(self, peer: Peer, now: float) -> None:
        """Update the state of a silent daemon, and probe it if it is due."""
        silence = peer.silent_for(now)
        peer.check_silence(now, awake_since=self._resumed_at)
        is_unreachable = peer.owner.down_until > now or self._may_return(peer)
        if silence < PROBE_AFTER and not is_unreachable:
            return
        pause = PROBE_PERIOD if is_unreachable else 2 * CHECK_PERIOD
        probed_at = self._probed_at.get(peer.record.vm, float('-inf'))
        if now - probed_at >= pause:
            self._probed_at[peer.record.vm] = now
            self._probe(peer.record)

    def _may_return(self, peer: Peer) -> bool:
        """Whether to probe a daemon of this zone that has left.

        It may be restarting while the store is unavailable and thus know no
        other daemon. The daemons of its own zone probe it.
        """
        return (
            peer.record.leaving
            and peer.record.availability_zone == self._zone
            and not self._peers.is_own(peer)
        )
