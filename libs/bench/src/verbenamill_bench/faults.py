"""``verbenamill-bench faults``: any two faults at once, promises checked."""

import sys
from datetime import UTC, datetime, timedelta
from random import Random

import trio
import typer
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_bench.calls_made import CallMade
from verbenamill_bench.experiments import MIXED_PLANS, Trouble
from verbenamill_bench.fault_kinds import DEADLY, KINDS
from verbenamill_bench.figures import (
    Latencies,
    Machine,
    count_endings,
    describe_machine,
    summarize_calls,
)
from verbenamill_bench.fleet import Fleet, keep_files, open_fleet
from verbenamill_bench.load import Load, LoadSpec
from verbenamill_bench.promises import (
    check_calls,
    check_convergence,
    check_limits,
    check_processes,
    check_verdict,
)
from verbenamill_bench.setup import (
    NEW_VERSION,
    SERVICE,
    VERSION,
    change_ticket,
    first_ticket,
    move_ticket,
    number_of,
    publish,
)
from verbenamill_standins import Behaviour

ZONES = {'az-1': 3, 'az-2': 3}
#: Daemons of each zone whose upstream has the new version.
NEW_IN_ZONE = 1
UPSTREAM = Behaviour(latency_ms=5)
RATE = 60.0
CHANGE_EVERY = 1.0
#: From the faults' begin to the move's deadline.
MOVE_TIME = timedelta(seconds=18)
#: Longest that faults and their mending may take, in seconds.
FAULT_LIMIT = 40.0
VERDICT_GRACE = 30.0
MOVE_TICKET = 10_000
LOAD_LIMIT = 150.0


class FaultRun(Struct, kw_only=True):
    """One run with two faults.

    :param broken: promises that did not hold, in words; empty if all did.
    :param mended: seconds until everything was in force after the faults.
    """

    seed: int
    faults: tuple[str, ...]
    calls: int = 0
    endings: dict[str, int] = {}
    latency: Latencies | None = None
    verdict: str = ''
    mended: float = 0
    broken: list[str] = []


class FaultsReport(Struct, kw_only=True):
    """All that ``verbenamill-bench faults`` found."""

    machine: Machine
    runs: list[FaultRun] = []


async def find_faults(
    *,
    seed: int,
    count: int,
    kinds: tuple[str, ...] = (),
) -> FaultsReport:
    """Run some seeds, one after the other.

    :param kinds: these faults instead of two by chance.
    """
    report = FaultsReport(machine=describe_machine())
    for each in range(seed, seed + count):
        chosen = kinds or choose_kinds(each)
        _say(f'seed {each}: {" and ".join(chosen)}')
        run = FaultRun(seed=each, faults=chosen)
        async with open_fleet() as fleet:
            await _run(fleet, run)
            if run.broken:
                for fault in run.broken:
                    _say(f'  {fault}')
                _say(f'  logs are kept in {keep_files(fleet)}')
        report.runs.append(run)
    return report


def choose_kinds(seed: int) -> tuple[str, ...]:
    """Two different faults for a seed."""
    return tuple(Random(seed).sample(sorted(KINDS), 2))


async def _run(fleet: Fleet, run: FaultRun) -> None:
    started = await _start(fleet)
    if isinstance(started, Failure):
        run.broken.append(f'could not start: {started.failure()}')
        return
    load = Load(
        LoadSpec(
            name=f'seed-{run.seed}',
            targets=tuple(daemon.calls for daemon in fleet.daemons),
            plans=MIXED_PLANS,
            seconds=LOAD_LIMIT,
            rate=RATE,
            seed=run.seed,
        ),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(load.run)
        await trio.sleep(1)
        await _bring_faults(fleet, run)
        await _check_after(fleet, run, load)
        load.stop()
    _check_calls(fleet, run, load.calls)
    run.broken += await check_limits(fleet)
    run.broken += check_processes(fleet)
    stopped = await fleet.stop()
    if isinstance(stopped, Failure):
        run.broken.append(f'not stopped gracefully: {stopped.failure()}')


async def _start(fleet: Fleet) -> Result[None, str]:
    logged = await fleet.start_log()
    if isinstance(logged, Failure):
        return logged
    fleet.add_daemons(ZONES, relayed=True)
    ready = await fleet.wait_ready()
    if isinstance(ready, Failure):
        return ready
    for daemon in fleet.daemons:
        is_new = number_of(daemon) <= NEW_IN_ZONE
        fleet.add_upstream(
            daemon,
            SERVICE,
            NEW_VERSION if is_new else VERSION,
            behaviour=UPSTREAM,
        )
    published = await publish(fleet, first_ticket())
    if isinstance(published, Failure):
        return published
    known = await fleet.wait_upstreams()
    if isinstance(known, Failure):
        return known
    return await fleet.wait_version(published.unwrap())


async def _bring_faults(fleet: Fleet, run: FaultRun) -> None:
    random = Random(run.seed)
    deadline = datetime.now(UTC) + MOVE_TIME
    moved = await publish(fleet, move_ticket(MOVE_TICKET, deadline))
    if isinstance(moved, Failure):
        run.broken.append(f'the move was not published: {moved.failure()}')
    limit = trio.move_on_after(FAULT_LIMIT)
    with limit:
        async with trio.open_nursery() as changing:
            changing.start_soon(_change_on, fleet)
            async with trio.open_nursery() as nursery:
                for kind in run.faults:
                    delay = random.uniform(0, 3)
                    trouble = KINDS[kind](random)
                    nursery.start_soon(_bring, fleet, run, delay, trouble)
            changing.cancel_scope.cancel()
    if limit.cancelled_caught:
        run.broken.append(f'faults were not mended in {FAULT_LIMIT:g} s')


async def _bring(
    fleet: Fleet,
    run: FaultRun,
    delay: float,
    trouble: Trouble,
) -> None:
    await trio.sleep(delay)
    result = await trouble(fleet)
    if isinstance(result, Failure):
        run.broken.append(result.failure())


async def _change_on(fleet: Fleet) -> None:
    """Publish small changes throughout, so that there is always news."""
    number = 2
    while True:
        await trio.sleep(CHANGE_EVERY)
        made = await publish(fleet, change_ticket(number))
        number += isinstance(made, Success)


async def _check_after(fleet: Fleet, run: FaultRun, load: Load) -> None:
    began = trio.current_time()
    run.broken += await check_convergence(fleet)
    run.mended = round(trio.current_time() - began, 2)
    settled = await check_verdict(
        fleet,
        MOVE_TICKET,
        lambda: load.calls,
        is_bad='version-is-bad' in run.faults,
        version=NEW_VERSION,
        seconds=MOVE_TIME.total_seconds() + VERDICT_GRACE,
    )
    run.verdict = settled.text
    run.broken += settled.broken
    run.broken += await check_convergence(fleet)


def _check_calls(fleet: Fleet, run: FaultRun, calls: list[CallMade]) -> None:
    run.calls = len(calls)
    run.endings = count_endings(calls)
    run.latency = summarize_calls(calls)
    may_cut = bool(DEADLY & set(run.faults))
    run.broken += check_calls(calls, fleet, may_cut=may_cut)


def _say(text: str) -> None:
    typer.echo(text, file=sys.stderr)
