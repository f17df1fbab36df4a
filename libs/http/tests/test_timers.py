"""Sleeps that wake up together."""

import pytest
import trio
from trio.testing import MockClock

from verbenamill_http.timers import TICK_S, Pause, sleep_coarsely


def run(scenario):
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


def test_periodic_tasks_keep_their_period():
    """Guards against a period that grows by the rounding to ticks."""

    async def scenario():
        began = trio.current_time()
        for _ in range(40):
            await sleep_coarsely(0.25)
        assert trio.current_time() - began == pytest.approx(10, abs=TICK_S)

    run(scenario)


def test_a_shorter_sleep_is_not_delayed_by_an_earlier_longer_one():
    """Guards against a wake-up that is due before the one waited for."""

    async def scenario():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sleep_coarsely, 5)
            await trio.sleep(0.01)
            began = trio.current_time()
            await sleep_coarsely(0.1)
            assert trio.current_time() - began <= 0.1 + TICK_S
            nursery.cancel_scope.cancel()

    run(scenario)


def test_a_sleep_ends_early_and_only_once():
    """Guards against a second wake-up when the ended sleep becomes due."""

    async def scenario():
        pause = Pause()
        ended = []

        async def sleep():
            for _ in range(2):
                await pause.sleep(1)
                ended.append(trio.current_time())

        async with trio.open_nursery() as nursery:
            began = trio.current_time()
            nursery.start_soon(sleep)
            await trio.sleep(0.3)
            pause.end()
            pause.end()
        assert [round(at - began, 1) for at in ended] == [0.3, 1.3]

    run(scenario)


def test_a_cancelled_sleep_is_not_woken_up():
    """Guards against a wake-up of a task that has gone on."""

    async def scenario():
        pause = Pause()
        with trio.move_on_after(0.2) as scope:
            await pause.sleep(1)
        assert scope.cancelled_caught
        pause.end()
        await trio.sleep(2)

    run(scenario)
