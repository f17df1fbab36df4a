"""What happened in a run, and the promises that it broke."""

import trio
from msgspec import Struct


class Moment(Struct, frozen=True):
    """Something that happened.

    :param at: seconds from the begin of the traffic.
    """

    at: float
    text: str


class Broken(Struct, frozen=True):
    """A promise that did not hold."""

    at: float
    promise: str
    text: str


class Timeline:
    """Collects moments and broken promises, in order of time."""

    def __init__(self) -> None:
        self._began = trio.current_time()
        self.moments: list[Moment] = []
        self.broken: list[Broken] = []

    @property
    def now(self) -> float:
        """Seconds from the begin."""
        return trio.current_time() - self._began

    def since_begin(self, at: float) -> float:
        """A moment of trio's clock, in seconds from the begin."""
        return at - self._began

    def tell(self, text: str) -> None:
        """Note what happens now."""
        self.moments.append(Moment(round(self.now, 3), text))

    def break_promise(self, promise: str, text: str) -> None:
        """Note that a promise does not hold."""
        at = round(self.now, 3)
        self.broken.append(Broken(at, promise, text))
        self.tell(f'BROKEN {promise}: {text}')
