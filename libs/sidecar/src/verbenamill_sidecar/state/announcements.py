"""What other daemons have announced to have, compared with the own state."""

from enum import Enum, unique

import trio

from verbenamill_model.typing import VmId
from verbenamill_sidecar.state.desired_state import (
    NO_STAMP,
    DesiredState,
    VersionStamp,
)
from verbenamill_telemetry import Event, log


@unique
class Channel(Enum):
    """Kind of message that announced a stamp."""

    NOTICE = 'notice'
    RUMOR = 'rumor'
    COMPARISON = 'comparison'
    REQUEST = 'request'


class AnnouncedStamps:
    """The newest stamp that any other daemon has announced.

    A daemon is up to date only if it has everything that was announced. That
    it has everything that one other daemon has says nothing about the store.
    """

    def __init__(self, desired_state: DesiredState) -> None:
        self._desired_state = desired_state
        self._newest = NO_STAMP
        self._raised_at = float('-inf')
        self._behind_since: float | None = None

    @property
    def newest(self) -> VersionStamp:
        """The newest version and the newest record that were announced."""
        return self._newest

    @property
    def behind_since(self) -> float | None:
        """When something missing here was announced; ``None`` if nothing is."""
        if not self._desired_state.is_older_than(self._newest):
            self._behind_since = None
        return self._behind_since

    def record(self, vm: VmId, stamp: VersionStamp, channel: Channel) -> bool:
        """Record the stamp of another daemon.

        :returns: whether it contains anything that is missing here.
        """
        was_behind = self.behind_since is not None
        newest = (
            max(stamp[0], self._newest[0]),
            max(stamp[1], self._newest[1]),
        )
        is_behind = self._desired_state.is_older_than(stamp)
        if newest == self._newest:
            return is_behind
        self._newest = newest
        self._raised_at = trio.current_time()
        if is_behind:
            if not was_behind:
                self._behind_since = self._raised_at
            log(
                Event.STATE_BEHIND,
                peer=vm,
                newest=list(stamp),
                own=list(self._desired_state.stamp),
                channel=channel.value,
            )
        return is_behind

    def confirm(self, read_at: float) -> None:
        """Record that the own state has everything that the store has.

        A stamp that is newer than the store, as of a daemon whose state comes
        from a store that was replaced, then no longer counts.

        :param read_at: when the read of the store began, on trio's clock.
        """
        if read_at >= self._raised_at:
            self._newest = self._desired_state.stamp
