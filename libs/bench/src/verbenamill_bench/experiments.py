"""One experiment: callers run, something happens, promises are checked."""

from collections.abc import Awaitable, Callable

import trio
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_bench.calls_made import (
    Broken,
    CallMade,
    CallPlan,
    Ending,
    find_broken,
    read_journals,
)
from verbenamill_bench.figures import (
    Latencies,
    count_endings,
    summarize_calls,
)
from verbenamill_bench.fleet import Daemon, Fleet
from verbenamill_bench.load import LoadSpec
from verbenamill_bench.load_process import run_callers

#: Time for callers to start before something happens, in seconds.
WARM_UP = 3.0

CallsResult = Result[list[CallMade], str]
#: What happens to a fleet while callers run; a failure ends the experiment.
Trouble = Callable[[Fleet], Awaitable[Result[None, str]]]

#: Small lookups, fees and photos as both customers have them.
MIXED_PLANS = (
    *(CallPlan(path='/entries/classes', timeout=8),) * 6,
    *(
        CallPlan(
            method='POST',
            path='/entries/fees',
            body=b'steer',
            once=True,
            timeout=8,
        ),
    )
    * 3,
    CallPlan(path='/photos/1?size=300000', timeout=8),
    CallPlan(
        method='PUT',
        path='/photos/2',
        body=bytes(range(256)) * 800,
        timeout=8,
    ),
)


class ExperimentFigures(Struct, kw_only=True):
    """What callers and upstreams saw in one experiment.

    :param endings: calls by how they ended.
    :param cut: calls whose connection ended before their whole answer.
    :param goodput: whole answers a second.
    :param over_slots: upstreams that ever had more calls than slots.
    :param over_connections: likewise for connections.
    :param events: promises that did not hold, in words.
    """

    name: str
    calls: int
    endings: dict[str, int]
    cut: int
    broken: Broken
    latency: Latencies
    goodput: float
    over_slots: int = 0
    over_connections: int = 0
    events: list[str] = []


async def run_experiment(
    fleet: Fleet,
    name: str,
    *,
    rate: float,
    seconds: float,
    trouble: Trouble | None = None,
    plans: tuple[CallPlan, ...] = MIXED_PLANS,
    ingresses: list[Daemon] | None = None,
) -> Result[ExperimentFigures, str]:
    """Send calls through daemons while something happens to the fleet.

    :param rate: calls a second to each ingress daemon.
    :param ingresses: daemons that callers use; all when left out.
    """
    specs = [
        LoadSpec(
            name=f'{name}-{daemon.id}',
            targets=(daemon.calls,),
            plans=plans,
            rate=rate,
            seconds=seconds,
            seed=index,
        )
        for index, daemon in enumerate(ingresses or fleet.daemons)
    ]
    outcome: list[CallsResult] = []
    troubled: Result[None, str] = Success(None)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_collect, fleet, specs, outcome)
        if trouble is not None:
            await trio.sleep(WARM_UP)
            troubled = await trouble(fleet)
    if isinstance(troubled, Failure):
        return troubled
    figures = outcome[0].map(lambda calls: _sum_up(fleet, name, calls, seconds))
    if isinstance(figures, Success):
        await _check_limits(fleet, figures.unwrap())
    return figures


async def _collect(
    fleet: Fleet,
    specs: list[LoadSpec],
    outcome: list[CallsResult],
) -> None:
    outcome.append(await run_callers(fleet, specs))


def _sum_up(
    fleet: Fleet,
    name: str,
    calls: list[CallMade],
    seconds: float,
) -> ExperimentFigures:
    endings = count_endings(calls)
    return ExperimentFigures(
        name=name,
        calls=len(calls),
        endings=endings,
        cut=endings.get(Ending.LOST, 0) + endings.get(Ending.BROKEN, 0),
        broken=find_broken(calls, read_journals(fleet.journals)),
        latency=summarize_calls(calls),
        goodput=endings.get(Ending.OK, 0) / seconds,
    )


async def _check_limits(fleet: Fleet, figures: ExperimentFigures) -> None:
    for upstream in fleet.upstreams:
        told = await fleet.get(f'http://{upstream.address}/control')
        if isinstance(told, Failure):
            continue
        counters = told.unwrap()['counters']
        figures.over_slots += counters['most_running'] > upstream.slots
        # One connection is the bench's own, which asks for the counters.
        figures.over_connections += (
            counters['most_connections'] > upstream.connections + 1
        )
