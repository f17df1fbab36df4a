"""Measures the event loop lag of the soak process.

One process serves the store, the upstreams, the relays and all callers. When
this process gets no CPU time, daemons are served late, and callers record
longer times than the daemons made them wait.
"""

import trio

from verbenamill_soak.timeline import Timeline

#: Time between two measurements.
_CHECK_PERIOD_S = 0.05
#: Minimum lag that is added to the timeline.
_REPORTED_LAG_S = 0.25


class EventLoopLag:
    """Measures how late sleeps in this process end.

    :ivar worst: the longest lag, in seconds.
    :ivar total: the sum of all lags, in seconds.
    """

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self.worst = float(0)
        self.total = float(0)

    async def watch(self) -> None:
        """Measure the lag periodically until cancelled."""
        while True:
            due = trio.current_time() + _CHECK_PERIOD_S
            await trio.sleep_until(due)
            self._add_lag(trio.current_time() - due)

    def _add_lag(self, lag: float) -> None:
        self.worst = max(self.worst, lag)
        self.total += lag
        if lag >= _REPORTED_LAG_S:
            self._timeline.add_event(f'the soak itself is {lag:.2f} s late')
