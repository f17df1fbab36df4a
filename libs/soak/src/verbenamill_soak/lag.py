"""How late the soak's own process is.

One process serves the store, the upstreams, the relays and all callers. Where
it gets no processor, daemons are served late, and times that callers note are
longer than what they were made to wait.
"""

import trio

from verbenamill_soak.timeline import Timeline

#: Time between two looks, in seconds.
_PERIOD = 0.05
#: A lag that is worth a line, in seconds.
_MUCH = 0.25


class Lag:
    """Notes when a sleep in this process ends late.

    :ivar worst: longest time that one ended late, in seconds.
    :ivar total: the sum of all those times, in seconds.
    """

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline
        self.worst = float(0)
        self.total = float(0)

    async def watch(self) -> None:
        """Look until cancelled."""
        while True:
            due = trio.current_time() + _PERIOD
            await trio.sleep_until(due)
            self._note(trio.current_time() - due)

    def _note(self, late: float) -> None:
        self.worst = max(self.worst, late)
        self.total += late
        if late >= _MUCH:
            self._timeline.tell(f'the soak itself is {late:.2f} s late')
