"""``verbenamill-bench convergence``: how changes reach every proxy."""

import sys
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta

import msgspec
import trio
import typer
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_bench.applied import last_applied, read_applied
from verbenamill_bench.baseline import measure_baseline
from verbenamill_bench.control_cost import Cost, Meter, find_cost
from verbenamill_bench.figures import (
    Latencies,
    Machine,
    describe_machine,
    summarize,
)
from verbenamill_bench.fleet import Daemon, Fleet, keep_files, open_fleet, poll
from verbenamill_bench.setup import change_ticket, publish

IDLE_SECONDS = 10.0
CHANGES = 15
BETWEEN = 0.6
OUTAGE_CHANGES = 5
CONVERGENCE_LIMIT = 20.0
RETURN_LIMIT = 60.0
ZONE_SIZE = 20


class Convergence(Struct, frozen=True, kw_only=True):
    """From a change's place on the log to its being in force.

    :param proxies: one sample a change and proxy.
    :param everywhere: one sample a change, its slowest proxy.
    """

    changes: int
    proxies: Latencies
    everywhere: Latencies


class FleetFigures(Struct, kw_only=True):
    """What one fleet size showed.

    :param start: seconds until every daemon was ready.
    :param change_bytes: size of a change's record on the log.
    :param bytes_per_change: sent by a daemon beyond its idle traffic.
    :param outage: the log down once the first reader had each change.
    :param returned: seconds from the start of a third of the daemons,
        killed before, until each ran a change made meanwhile.
    :param returned_bytes: sent by a daemon a second meanwhile.
    :param store_bytes: bytes of members on a daemon, by member.
    """

    daemons: int
    zones: int
    start: float
    idle: Cost
    changing: Cost
    change_bytes: int
    bytes_per_change: float
    steady: Convergence
    outage: Convergence
    returned: Latencies
    returned_bytes: float
    store_bytes: float
    baseline: Convergence
    baseline_log_requests: float


class ConvergenceReport(Struct, kw_only=True):
    """All that ``verbenamill-bench convergence`` measured."""

    machine: Machine
    fleets: list[FleetFigures] = []
    failures: list[str] = []


class _Run:
    """One fleet on its way through the phases."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.meter = Meter(fleet)
        self.tickets = 0
        self.change_bytes = 0

    async def change(self) -> Result[int, str]:
        """Publish the next change; its offset."""
        self.tickets += 1
        ticket = change_ticket(self.tickets)
        self.change_bytes = len(msgspec.json.encode(ticket))
        return await publish(self.fleet, ticket)

    async def change_and_wait(self) -> Result[int, str]:
        """Publish a change and wait until it is in force everywhere."""
        published = await self.change()
        if isinstance(published, Failure):
            return published
        offset = published.unwrap()
        arrived = await self.fleet.wait_version(
            offset,
            seconds=CONVERGENCE_LIMIT,
        )
        return arrived.map(lambda _: offset)


_Change = Callable[[_Run], Awaitable[Result[int, str]]]


async def measure_convergence(sizes: list[int]) -> ConvergenceReport:
    """Measure fleets of the given numbers of daemons."""
    report = ConvergenceReport(machine=describe_machine())
    for size in sizes:
        async with open_fleet() as fleet:
            measured = await _measure_fleet(fleet, size)
            if isinstance(measured, Failure):
                report.failures.append(
                    f'{size} daemons: {measured.failure()}; '
                    f'logs are kept in {keep_files(fleet)}',
                )
            else:
                report.fleets.append(measured.unwrap())
    return report


async def _measure_fleet(
    fleet: Fleet,
    size: int,
) -> Result[FleetFigures, str]:
    zones = max(2, -(-size // ZONE_SIZE))
    run = _Run(fleet)
    started = await _start(run, size, zones)
    if isinstance(started, Failure):
        return started
    _say(f'{size} daemons: idle')
    idle = await _measure_idle(run)
    _say(f'{size} daemons: changes')
    before = await run.meter.read()
    steady = await _measure_changes(run, CHANGES, _change_in_time)
    if isinstance(steady, Failure):
        return steady
    changing = find_cost(before, await run.meter.read())
    _say(f'{size} daemons: log down after the first reader has the change')
    outage = await _measure_changes(run, OUTAGE_CHANGES, _change_in_outage)
    if isinstance(outage, Failure):
        return outage
    _say(f'{size} daemons: a third dies and returns')
    before = await run.meter.read()
    returned = await _measure_return(run)
    if isinstance(returned, Failure):
        return returned
    after = await run.meter.read()
    _say(f'{size} readers of the log itself')
    baseline = await measure_baseline(fleet.log_url, size, fleet)
    return Success(
        FleetFigures(
            daemons=size,
            zones=zones,
            start=started.unwrap(),
            idle=idle,
            changing=changing,
            change_bytes=run.change_bytes,
            bytes_per_change=round(
                (changing.bytes_sent - idle.bytes_sent)
                * changing.seconds
                / CHANGES,
                1,
            ),
            steady=steady.unwrap(),
            outage=outage.unwrap(),
            returned=returned.unwrap(),
            returned_bytes=find_cost(before, after).bytes_sent,
            store_bytes=round(after.store_bytes / size, 1),
            baseline=_summarize(baseline.samples),
            baseline_log_requests=baseline.requests_per_second,
        ),
    )


async def _start(run: _Run, size: int, zones: int) -> Result[float, str]:
    _say(f'{size} daemons: starting in {zones} availability zones')
    began = trio.current_time()
    logged = await run.fleet.start_log()
    if isinstance(logged, Failure):
        return logged
    sizes = {
        f'az-{zone}': len(range(zone, size, zones)) for zone in range(zones)
    }
    run.fleet.add_daemons(sizes)
    ready = await run.fleet.wait_ready(seconds=RETURN_LIMIT)
    if isinstance(ready, Failure):
        return ready
    known = await poll(
        lambda: _all_known(run.fleet, size),
        seconds=RETURN_LIMIT,
        every=0.5,
    )
    if not known:
        return Failure(f'not all {size} members are known everywhere')
    # The first change makes every daemon write its first snapshot; what is
    # measured is the running mesh.
    first = await run.change_and_wait()
    return first.map(lambda _: round(trio.current_time() - began, 2))


async def _all_known(fleet: Fleet, size: int) -> bool:
    for daemon in fleet.daemons:
        told = await fleet.get(f'{daemon.admin_url}/status')
        if told.map(lambda plain: plain['members']).value_or(0) != size:
            return False
    return True


async def _measure_idle(run: _Run) -> Cost:
    before = await run.meter.read()
    await trio.sleep(IDLE_SECONDS)
    return find_cost(before, await run.meter.read())


async def _measure_changes(
    run: _Run,
    count: int,
    change: _Change,
) -> Result[Convergence, str]:
    offsets: list[int] = []
    for _ in range(count):
        made = await change(run)
        if isinstance(made, Failure):
            return made
        offsets.append(made.unwrap())
    arrived = await run.fleet.wait_version(offsets[-1])
    if isinstance(arrived, Failure):
        return arrived
    await trio.sleep(BETWEEN)
    samples = await read_applied(run.fleet, offsets)
    return samples.map(_summarize)


async def _change_in_time(run: _Run) -> Result[int, str]:
    made = await run.change()
    await trio.sleep(BETWEEN)
    return made


async def _change_in_outage(run: _Run) -> Result[int, str]:
    control = f'{run.fleet.log_url}/control'
    await run.fleet.put(control, {'outage_after_pages': 1})
    made = await run.change_and_wait()
    await run.fleet.put(control, {})
    # Readers come back after their waits, so that the next change has one.
    await trio.sleep(BETWEEN)
    return made


async def _measure_return(run: _Run) -> Result[Latencies, str]:
    fleet = run.fleet
    herd = fleet.daemons[::3]
    for daemon in herd:
        daemon.process.kill()
    for daemon in herd:
        await daemon.process.wait(RETURN_LIMIT)
    made = await run.change()
    if isinstance(made, Failure):
        return made
    await trio.sleep(1)
    began = datetime.now(UTC)
    for daemon in herd:
        daemon.process.restart()
    ready = await fleet.wait_ready(herd, seconds=RETURN_LIMIT)
    if isinstance(ready, Failure):
        return ready
    arrived = await fleet.wait_version(made.unwrap(), seconds=RETURN_LIMIT)
    if isinstance(arrived, Failure):
        return arrived
    await trio.sleep(BETWEEN)
    return Success(summarize(_seconds_since(herd, began)))


def _seconds_since(herd: list[Daemon], began: datetime) -> list[float]:
    return [
        (last_applied(daemon.process.log) - began) / timedelta(seconds=1)
        for daemon in herd
    ]


def _summarize(samples: list[list[float]]) -> Convergence:
    return Convergence(
        changes=len(samples),
        proxies=summarize(one for change in samples for one in change),
        everywhere=summarize(max(change) for change in samples),
    )


def _say(text: str) -> None:
    typer.echo(text, file=sys.stderr)
