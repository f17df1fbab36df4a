"""Fleets and load, with real stand-ins but no daemon."""

from collections import Counter
from pathlib import Path
from random import Random

import trio
from returns.result import Failure, Success

from verbenamill_bench.calls_made import (
    CallPlan,
    Ending,
    find_broken,
    read_journals,
)
from verbenamill_bench.fleet import Daemon, open_fleet
from verbenamill_bench.load import LoadSpec
from verbenamill_bench.load_process import run_callers
from verbenamill_bench.ports import free_ports
from verbenamill_bench.process import Process
from verbenamill_standins import Behaviour, Caller


def lonely_daemon(process):
    return Daemon(
        id='d',
        availability_zone='az',
        calls='',
        control='',
        admin='127.0.0.1:1',
        process=process,
    )


def test_calls_are_counted_by_a_process_that_stops_gracefully():
    """Fees are sent to a real upstream, which is then told to stop.

    Each must be in its journal once, and the upstream must end with 0.
    """

    async def main():
        async with open_fleet() as fleet:
            assert await fleet.start_log() == Success(None)
            upstream = fleet.add_upstream(
                lonely_daemon(fleet.log),
                'entries',
                'v1',
                behaviour=Behaviour(latency_ms=1),
            )
            await wait_open(upstream.address)
            plan = CallPlan(method='POST', path='/fees', body=b'x', once=True)
            spec = LoadSpec(
                name='fee',
                targets=(upstream.address,),
                plans=(plan,),
                seconds=0.5,
                rate=50,
            )
            calls = (await run_callers(fleet, [spec])).unwrap()
            assert {call.ending for call in calls} == {Ending.OK}
            assert await fleet.stop() == Success(None)
            runs = read_journals([upstream.journal])
            assert runs == Counter(call.id for call in calls)
            assert find_broken(calls, runs).total == 0

    trio.run(main)


async def wait_open(address):
    caller = Caller()
    with trio.fail_after(60):
        reply = await caller.call(address, 'GET', '/control', headers={})
        while reply.message is None:
            await trio.sleep(0.05)
            reply = await caller.call(address, 'GET', '/control', headers={})
    await caller.aclose()


def test_a_process_that_cannot_start_is_reported_with_its_output():
    async def main():
        async with open_fleet() as fleet:
            started = await fleet.start_log(retention=-1)
            assert isinstance(started, Failure)
            assert 'exit code' in started.failure()
            assert fleet.directory.exists()
        assert not fleet.directory.exists()

    trio.run(main)


def state_of(process):
    stat = Path(f'/proc/{process.pid}/stat').read_text()
    return stat.rsplit(')', 1)[1].split()[0]


def test_pause_and_kill_reach_only_the_child(tmp_path):
    async def main():
        address = next(free_ports(Random(3)))
        process = Process(
            'log',
            ['verbenamill-standin', 'log', '--listen', address],
            tmp_path / 'log.out',
        )
        process.pause()
        with trio.fail_after(5):
            while state_of(process) != 'T':
                await trio.sleep(0.01)
        process.terminate()
        assert await process.wait(0.2) is None
        process.kill()
        assert await process.wait(5) == -9

    trio.run(main)
