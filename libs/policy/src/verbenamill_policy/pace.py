"""Momentary pace of an upstream: how long requests take there right now."""

import math

from msgspec import Struct

from verbenamill_model.external import Amount, DurationMs

#: Figure of an upstream at which requests take the usual time.
USUAL_FIGURE = 100
#: Bounds of the pace. Without them a single extreme figure would keep an
#: upstream from getting any request, or send it all of them.
_MIN_FACTOR = 0.25
_MAX_FACTOR = 10.0
#: Time for which a figure is taken to hold, in seconds.
_VALID_FOR = 0.1
#: Half-life of the pace's deviation from 1 after this time, in seconds.
_HALF_LIFE = 0.3
#: Time after the last unusual figure in which daemons still report the pace,
#: in seconds. They need the first usual figures to correct their estimates.
_REPORTED_FOR = 1.0
#: Pace from which on requests are clearly slow.
_SLOW_FACTOR = 1.25
#: Longest time in which an upstream counts as slow for a moment, in seconds.
#: One that is slow for longer may have become so by its version.
_LONGEST_MOMENT = 2.0


class PaceReport(Struct, frozen=True, array_like=True):
    """Pace of an upstream as its owner reports it to other daemons.

    :param figure: the newest figure; 100 means the usual time.
    :param age_ms: its age in milliseconds.
    """

    figure: Amount
    age_ms: DurationMs = 0


class MomentaryPace:
    """The newest figure of an upstream, which expires within a second."""

    __slots__ = ('_factor', '_recorded_at', '_unusual_at', '_slow_since')

    def __init__(self) -> None:
        self._factor = float(1)
        self._recorded_at = float('-inf')
        self._unusual_at = float('-inf')
        self._slow_since = float('inf')

    def record(self, figure: float, now: float) -> None:
        """Record a figure of the upstream.

        A figure that is not a positive number, or older than the newest one,
        is ignored.

        :param now: time to which it applies, on the monotonic clock.
        """
        if not (math.isfinite(figure) and figure > 0):
            return
        if now < self._recorded_at:
            return
        factor = min(max(figure / USUAL_FIGURE, _MIN_FACTOR), _MAX_FACTOR)
        if factor < _SLOW_FACTOR:
            self._slow_since = float('inf')
        elif now - self._recorded_at > _LONGEST_MOMENT:
            self._slow_since = now
        else:
            self._slow_since = min(self._slow_since, now)
        self._factor = factor
        self._recorded_at = now
        if figure != USUAL_FIGURE:
            self._unusual_at = now

    def record_report(self, report: PaceReport | None, now: float) -> None:
        """Record what the owner of the upstream reports, if it does."""
        if report is not None:
            age = max(report.age_ms, 0) / 1000
            self.record(report.figure, now - age)

    def factor(self, now: float) -> float:
        """Service times at this moment, relative to the usual ones."""
        if self._factor == 1:
            return self._factor
        age = max(now - self._recorded_at - _VALID_FOR, 0)
        return 1 + (self._factor - 1) * math.pow(2, -age / _HALF_LIFE)

    def report(self, now: float) -> PaceReport | None:
        """Report for other daemons; ``None`` while the pace is the usual."""
        if now - self._unusual_at > _REPORTED_FOR:
            return None
        return PaceReport(
            figure=round(self._factor * USUAL_FIGURE),
            age_ms=int((now - self._recorded_at) * 1000),
        )

    def excuse(self, pace: float, now: float) -> float:
        """Factor of a service time that is not due to the upstream's version.

        A pace that is slow for longer than a moment excuses nothing, as the
        version itself may be the reason. A fast one does not make the version
        appear slower than it is.

        :param pace: pace at which the request ran.
        """
        if now - self._slow_since > _LONGEST_MOMENT:
            return 1
        return max(pace, 1)


def mean_pace(at_start: float, at_end: float) -> float:
    """Pace at which a request ran, from the paces at its start and its end."""
    return math.sqrt(at_start * at_end)
