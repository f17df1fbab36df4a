"""The measurement of the event loop lag of the soak process."""

import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from verbenamill_soak.lag import EventLoopLag
from verbenamill_soak.timeline import Timeline


def test_a_standstill_of_the_soak_shows_in_its_report():
    """Guards against blaming daemons for a lag of the soak process."""

    async def main():
        timeline = Timeline()
        lag = EventLoopLag(timeline)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(lag.watch)
            await wait_all_tasks_blocked()
            for step in (0.05, 0.05, 1.05):
                clock.jump(step)
                await trio.sleep(0)
                await wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
        assert 0.9 < lag.worst < 1.1
        assert 0.9 < lag.total < 1.1
        assert [one.text for one in timeline.events] == [
            'the soak itself is 1.00 s late',
        ]

    clock = MockClock()
    trio.run(main, clock=clock)
