"""Clock interface that lets tests supply their own time."""

from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio


class Clock(Protocol):
    """Source of wall-clock and monotonic time."""

    def now(self) -> datetime:
        """Wall-clock time in UTC."""

    def monotonic(self) -> timedelta:
        """Monotonic time since an unspecified reference point."""


class SystemClock:
    """The system's wall clock and trio's monotonic clock.

    With ``trio.testing.MockClock``, the monotonic time comes from the mock.
    """

    def now(self) -> datetime:
        """Wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> timedelta:
        """Monotonic time of the running trio event loop."""
        return timedelta(seconds=trio.current_time())


class TrioClock:
    """Clock for tests whose wall-clock time advances with trio's clock.

    :param start: wall-clock time at trio time 0.
    """

    def __init__(self, start: datetime) -> None:
        self._start = start

    def now(self) -> datetime:
        """Wall-clock time in UTC."""
        return self._start + self.monotonic()

    def monotonic(self) -> timedelta:
        """Monotonic time of the running trio event loop."""
        return timedelta(seconds=trio.current_time())
