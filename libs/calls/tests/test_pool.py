"""Connections that are kept, replaced and limited."""

import trio
import trio.testing

from verbenamill_calls import CallSettings
from verbenamill_calls.pool import Pool


def run_pool(test, **options):
    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
            port = listeners[0].socket.getsockname()[1]
            nursery.start_soon(trio.serve_listeners, hold, listeners)
            pool = Pool(
                f'127.0.0.1:{port}',
                max_idle=2,
                settings=CallSettings(),
                **options,
            )
            await test(pool)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock())


async def hold(stream):
    async with stream:
        await stream.receive_some()


def test_connection_in_use_during_a_suspicion_is_not_kept():
    """Links went silent while a call held one of them, which comes back."""

    async def check(pool):
        first = await pool.take()
        second = await pool.take()
        pool.give_back(first)
        trio.lowlevel.current_clock().jump(1)
        pool.suspect()
        assert pool.open == 1
        pool.give_back(second)
        assert pool.open == 0
        assert not (await pool.take()).is_reused

    run_pool(check, limit=4)


def test_limit_is_never_exceeded_but_for_questions():
    async def check(pool):
        taken = [await pool.take() for _ in range(3)]
        assert taken[2] is None
        assert pool.is_full
        assert await pool.take(is_new=True) is not None
        assert await pool.take(is_new=True) is None
        assert pool.open == 3

    run_pool(check, limit=2, reserve=1)


def test_connection_closed_or_idle_for_long_is_replaced():
    async def check(pool):
        idle = await pool.take()
        pool.give_back(idle)
        trio.lowlevel.current_clock().jump(3)
        fresh = await pool.take()
        assert not fresh.is_reused
        pool.give_back(fresh)
        await fresh.close_gracefully(0)
        with trio.move_on_after(1):
            while fresh.is_usable():
                await trio.lowlevel.checkpoint()
        assert not (await pool.take()).is_reused
        assert pool.open == 1

    run_pool(check, limit=4)
