"""``verbenamill-bench calls``: what the mesh adds to a call, and its faults."""

import sys
from collections.abc import Awaitable, Callable

import typer
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_bench.calls_made import CallMade, CallPlan
from verbenamill_bench.experiments import (
    MIXED_PLANS,
    ExperimentFigures,
    Trouble,
    run_experiment,
)
from verbenamill_bench.figures import (
    Latencies,
    Machine,
    count_endings,
    describe_machine,
    summarize_calls,
)
from verbenamill_bench.fleet import Fleet, keep_files, open_fleet
from verbenamill_bench.load import LoadSpec
from verbenamill_bench.load_process import run_callers
from verbenamill_bench.setup import number_of, start_mesh
from verbenamill_bench.troubles import (
    change_upstream,
    drain_upstream,
    kill_daemon,
    kill_upstream,
    pause_daemon,
    restart_rolling,
    silence_links,
)
from verbenamill_standins import Behaviour

RATES = (60, 300)
UPSTREAM_MS = 2.0
CONCURRENCY = 32
#: Overload: 4 upstreams of 4 slots and 80 ms carry 200 calls a second.
OVERLOAD_SLOTS = 4
OVERLOAD_MS = 80.0
OVERLOAD_RATE = 45.0
LOOKUP = (CallPlan(path='/entries/classes'),)

#: Calls a second to each daemon while faults are tried.
FAULT_RATE = 30.0
ZONES = {'az-1': 2, 'az-2': 2}

Experiment = Callable[
    [str, float],
    Awaitable[Result[ExperimentFigures, str]],
]


class LatencyFigures(Struct, kw_only=True):
    """Latency through the mesh beside that of the upstream itself.

    :param rate: calls a second to each of two daemons, one an owner.
    :param direct: calls sent to an upstream without the mesh.
    :param local: calls whose ingress owns the upstream.
    :param hop: calls passed on to another daemon.
    :param added_p50: of all calls through the mesh, in milliseconds.
    :param cpu_per_call: processor milliseconds of the daemons a call.
    """

    rate: float
    endings: dict[str, int]
    direct: Latencies
    mesh: Latencies
    local: Latencies
    hop: Latencies
    added_p50: float
    added_p99: float
    added_p999: float
    cpu_per_call: float


class ThroughputFigures(Struct, kw_only=True):
    """Most calls that one daemon passes on, in a closed loop.

    :param cpu_per_call: processor milliseconds of the ingress daemon.
    """

    calls_per_second: float
    endings: dict[str, int]
    latency: Latencies
    cpu_per_call: float


class CallsReport(Struct, kw_only=True):
    """All that ``verbenamill-bench calls`` measured."""

    machine: Machine
    latency: list[LatencyFigures] = []
    throughput: ThroughputFigures | None = None
    experiments: list[ExperimentFigures] = []
    failures: list[str] = []


async def measure_calls(
    *,
    seconds: float,
    only: str = '',
) -> CallsReport:
    """Measure everything, or the experiments whose name has a text in it.

    :param seconds: length of each load.
    """
    report = CallsReport(machine=describe_machine())
    if only in 'latency':
        await _measure_latency(report, seconds)
    for name, run in _EXPERIMENTS.items():
        if only in name:
            _say(f'experiment: {name}')
            figures = await run(name, seconds)
            if isinstance(figures, Success):
                report.experiments.append(figures.unwrap())
            else:
                report.failures.append(f'{name}: {figures.failure()}')
    return report


async def _measure_latency(report: CallsReport, seconds: float) -> None:
    async with open_fleet() as fleet:
        started = await start_mesh(
            fleet,
            {'az-1': 3},
            behaviour=Behaviour(latency_ms=UPSTREAM_MS),
            owners=2,
        )
        if isinstance(started, Failure):
            keep_files(fleet)
            report.failures.append(f'latency: {started.failure()}')
            return
        for rate in RATES:
            _say(f'latency at {rate} calls a second a daemon')
            measured = await _measure_rate(fleet, rate, seconds)
            if isinstance(measured, Failure):
                report.failures.append(f'latency: {measured.failure()}')
                return
            report.latency.append(measured.unwrap())
        _say('throughput of one daemon')
        most = await _measure_throughput(fleet, seconds)
        if isinstance(most, Failure):
            report.failures.append(f'throughput: {most.failure()}')
            return
        report.throughput = most.unwrap()


async def _measure_rate(
    fleet: Fleet,
    rate: float,
    seconds: float,
) -> Result[LatencyFigures, str]:
    direct_name = f'direct-{rate}'
    owner, _, other = fleet.daemons
    targets = {
        f'mesh-{rate}-{daemon.id}': daemon.calls for daemon in (owner, other)
    }
    targets[direct_name] = fleet.upstreams[0].address
    specs = [
        LoadSpec(
            name=name,
            targets=(target,),
            plans=LOOKUP,
            rate=rate,
            seconds=seconds,
            seed=index,
        )
        for index, (name, target) in enumerate(targets.items())
    ]
    before = _cpu(fleet)
    ran = await run_callers(fleet, specs)
    spent = _cpu(fleet) - before
    return ran.map(
        lambda calls: _compare(fleet, rate, direct_name, calls, spent),
    )


def _compare(
    fleet: Fleet,
    rate: float,
    direct_name: str,
    calls: list[CallMade],
    spent: float,
) -> LatencyFigures:
    direct = [call for call in calls if call.id.startswith(direct_name)]
    mesh = [call for call in calls if not call.id.startswith(direct_name)]
    own = {
        upstream.daemon.calls: upstream.address for upstream in fleet.upstreams
    }
    local = [call for call in mesh if call.upstream == own.get(call.target)]
    hop = [call for call in mesh if call.upstream != own.get(call.target)]
    bare = summarize_calls(direct)
    through = summarize_calls(mesh)
    return LatencyFigures(
        rate=rate,
        endings=count_endings(mesh),
        direct=bare,
        mesh=through,
        local=summarize_calls(local),
        hop=summarize_calls(hop),
        added_p50=round(through.p50 - bare.p50, 3),
        added_p99=round(through.p99 - bare.p99, 3),
        added_p999=round(through.p999 - bare.p999, 3),
        cpu_per_call=round(1000 * spent / len(mesh), 3),
    )


async def _measure_throughput(
    fleet: Fleet,
    seconds: float,
) -> Result[ThroughputFigures, str]:
    ingress = fleet.daemons[0]
    specs = [
        LoadSpec(
            name=f'most-{number}',
            targets=(ingress.calls,),
            plans=LOOKUP,
            concurrency=CONCURRENCY // 2,
            seconds=seconds,
        )
        for number in range(2)
    ]
    before = ingress.process.usage().cpu
    ran = await run_callers(fleet, specs)
    spent = ingress.process.usage().cpu - before
    return ran.map(
        lambda calls: ThroughputFigures(
            calls_per_second=round(len(calls) / seconds, 1),
            endings=count_endings(calls),
            latency=summarize_calls(calls),
            cpu_per_call=round(1000 * spent / len(calls), 3),
        ),
    )


def _cpu(fleet: Fleet) -> float:
    return sum(daemon.process.usage().cpu for daemon in fleet.daemons)


def _experiment(
    trouble: Trouble | None = None,
    *,
    behaviour: Behaviour = Behaviour(latency_ms=UPSTREAM_MS),
    slots: int = 16,
    rate: float = FAULT_RATE,
    plans: tuple[CallPlan, ...] = MIXED_PLANS,
    relayed: bool = False,
    with_hop: bool = False,
    at_least: float = 0,
) -> Experiment:
    """An experiment on a fleet of its own.

    :param with_hop: callers use daemons without an upstream, so that every
        call is passed on; the first of each zone is the only owner.
    :param at_least: shortest time that callers run, in seconds.
    """

    async def run(
        name: str,
        seconds: float,
    ) -> Result[ExperimentFigures, str]:
        async with open_fleet() as fleet:
            result = await start_mesh(
                fleet,
                ZONES,
                behaviour=behaviour,
                slots=slots,
                relayed=relayed,
                owners=1 if with_hop else None,
            )
            if isinstance(result, Failure):
                keep_files(fleet)
                return result
            figures = await run_experiment(
                fleet,
                name,
                rate=rate,
                seconds=max(seconds, at_least),
                trouble=trouble,
                plans=plans,
                ingresses=[
                    daemon
                    for daemon in fleet.daemons
                    if not with_hop or number_of(daemon) > 1
                ],
            )
            return _judge(fleet, figures, is_planned=name in _PLANNED)

    return run


def _judge(
    fleet: Fleet,
    figures: Result[ExperimentFigures, str],
    *,
    is_planned: bool,
) -> Result[ExperimentFigures, str]:
    """Note broken promises, and keep the files of such a run.

    :param is_planned: whether no call may be cut.
    """
    if isinstance(figures, Failure):
        return Failure(f'{figures.failure()}; see {keep_files(fleet)}')
    known = figures.unwrap()
    if known.broken.total:
        known.events.append(f'broken promises, see {keep_files(fleet)}')
    if is_planned and known.cut:
        known.events.append(f'{known.cut} calls cut, see {keep_files(fleet)}')
    if known.over_slots or known.over_connections:
        known.events.append('an upstream was given too much')
    return figures


def _say(text: str) -> None:
    typer.echo(text, file=sys.stderr)


_OVERLOAD = Behaviour(latency_ms=OVERLOAD_MS)
_SLOW_MS = 300.0
#: Experiments in which no call may be cut.
_PLANNED = frozenset(
    ('no-fault', 'one-upstream-slow', 'one-upstream-leaves', 'rolling-restart'),
)
_EXPERIMENTS: dict[str, Experiment] = {
    'no-fault': _experiment(),
    'one-upstream-slow': _experiment(
        change_upstream(0, extra_ms=_SLOW_MS),
    ),
    'one-upstream-cuts-answers': _experiment(
        change_upstream(0, cut_share=0.3),
    ),
    'one-upstream-stalls': _experiment(
        change_upstream(0, stall_share=0.3),
        at_least=12,
    ),
    'one-upstream-dies': _experiment(kill_upstream(0)),
    'one-upstream-leaves': _experiment(drain_upstream(0)),
    'owner-dies-and-returns': _experiment(
        kill_daemon(0, away=1),
        with_hop=True,
        at_least=12,
    ),
    'owner-paused': _experiment(
        pause_daemon(0, seconds=4),
        with_hop=True,
        at_least=12,
    ),
    'links-silent': _experiment(
        silence_links(times=2, every=2),
        relayed=True,
        with_hop=True,
        at_least=12,
    ),
    'load-0.9x': _experiment(
        behaviour=_OVERLOAD,
        slots=OVERLOAD_SLOTS,
        rate=OVERLOAD_RATE,
        plans=LOOKUP,
    ),
    'load-2x': _experiment(
        behaviour=_OVERLOAD,
        slots=OVERLOAD_SLOTS,
        rate=OVERLOAD_RATE * 2.2,
        plans=LOOKUP,
    ),
    'rolling-restart': _experiment(restart_rolling(), at_least=40),
}
