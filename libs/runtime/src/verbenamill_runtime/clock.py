"""Time as an interface, so that tests can run on a clock of their own."""

from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio


class Clock(Protocol):
    """Source of wall and monotonic time."""

    def now(self) -> datetime:
        """Wall time in UTC."""

    def monotonic(self) -> timedelta:
        """Monotonic time from a fixed but unknown moment."""


class SystemClock:
    """The machine's wall clock and trio's monotonic clock.

    Under ``trio.testing.MockClock`` the monotonic time is the mock's.
    """

    def now(self) -> datetime:
        """Wall time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Monotonic time of the running trio loop."""
        return timedelta(seconds=trio.current_time())


class TrioClock:
    """Wall time that advances with trio's clock; for tests.

    :param start: wall time at trio time 0.
    """

    def __init__(self, start: datetime) -> None:
        self._start = start

    def now(self) -> datetime:
        """Wall time in UTC."""
        return self._start + self.monotonic()

    def monotonic(self) -> timedelta:
        """Monotonic time of the running trio loop."""
        return timedelta(seconds=trio.current_time())
