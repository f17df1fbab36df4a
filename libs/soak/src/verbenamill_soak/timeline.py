"""Events of a run, and the guarantees that it violated."""

import trio
from msgspec import Struct


class TimelineEvent(Struct, frozen=True):
    """An event of a run.

    :param at: seconds since the timeline started.
    """

    at: float
    text: str


class Violation(Struct, frozen=True):
    """A violated guarantee.

    :param promise: name of the guarantee.
    """

    at: float
    promise: str
    text: str


class Timeline:
    """Collects events and violations in chronological order."""

    def __init__(self) -> None:
        self._started_at = trio.current_time()
        self.events: list[TimelineEvent] = []
        self.violations: list[Violation] = []

    @property
    def now(self) -> float:
        """Seconds since the timeline started."""
        return trio.current_time() - self._started_at

    def since_start(self, at: float) -> float:
        """Convert a time of trio's clock to seconds since the start."""
        return at - self._started_at

    def add_event(self, text: str) -> None:
        """Add an event at the current time."""
        self.events.append(TimelineEvent(round(self.now, 3), text))

    def add_violation(self, promise: str, text: str) -> None:
        """Add a violation at the current time, and an event for it."""
        at = round(self.now, 3)
        self.violations.append(Violation(at, promise, text))
        self.add_event(f'BROKEN {promise}: {text}')
