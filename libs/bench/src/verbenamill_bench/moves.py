"""``verbenamill-bench moves``: how good the decisions on moves are."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from typing import Annotated

import msgspec
import typer

from verbenamill_bench.moves_baselines import PlainDecider
from verbenamill_bench.moves_scenario import draw
from verbenamill_bench.moves_summary import Summary, is_right, summarise
from verbenamill_bench.moves_world import (
    MakeDecider,
    RunResult,
    StepsMoves,
    World,
)
from verbenamill_model.typing import AvailabilityZone, Profile, VmId
from verbenamill_moves import Decider, DecisionThresholds


def _make_decider(vm: VmId, zone: AvailabilityZone) -> StepsMoves:
    return Decider(vm=vm, availability_zone=zone)


def _make_cautious(
    caution: DecisionThresholds,
    vm: VmId,
    zone: AvailabilityZone,
) -> StepsMoves:
    thresholds = {Profile.CAUTIOUS: caution}
    return Decider(vm=vm, availability_zone=zone, thresholds=thresholds)


def _make_plain(
    vm: VmId,
    zone: AvailabilityZone,
    *,
    limited: bool,
) -> StepsMoves:
    return PlainDecider(vm=vm, availability_zone=zone, limited=limited)


#: Points of the trade-off curve, from trusting to wary.
_CURVE = {
    'caution-1': DecisionThresholds(
        alpha=0.0001, max_weight_at_deadline=20, min_calls=0
    ),
    'caution-2': DecisionThresholds(
        alpha=0.002, max_weight_at_deadline=5, min_calls=0
    ),
    'caution-3': DecisionThresholds(
        alpha=0.005, max_weight_at_deadline=3, min_calls=40
    ),
    'caution-4': DecisionThresholds(
        alpha=0.02, max_weight_at_deadline=2, min_calls=100
    ),
}


#: Name of a policy, how its deciders are made, and the move's profile.
POLICIES: dict[str, tuple[MakeDecider, Profile]] = {
    'on-time': (_make_decider, Profile.ON_TIME),
    'cautious': (_make_decider, Profile.CAUTIOUS),
    'timetable': (partial(_make_plain, limited=False), Profile.ON_TIME),
    'error-rate': (partial(_make_plain, limited=True), Profile.ON_TIME),
    **{
        name: (partial(_make_cautious, caution), Profile.CAUTIOUS)
        for name, caution in _CURVE.items()
    },
}
_USUAL = ('on-time', 'cautious', 'timetable', 'error-rate')


def run_one(policy: str, seed: int, index: int) -> RunResult:
    """Simulate one scenario under one policy."""
    make_decider, profile = POLICIES[policy]
    return World(draw(seed, index), make_decider, profile).run()


def run_many(
    policy: str,
    *,
    seed: int,
    runs: int,
    workers: int = 1,
) -> Summary:
    """Simulate the first scenarios of a seed under one policy."""
    one: Callable[[int], RunResult] = partial(run_one, policy, seed)
    if workers == 1:
        return summarise([one(index) for index in range(runs)])
    with ProcessPoolExecutor(workers) as pool:
        return summarise(list(pool.map(one, range(runs), chunksize=8)))


def moves_command(
    seed: Annotated[int, typer.Option(help='seed of all scenarios')] = 1,
    runs: Annotated[int, typer.Option(help='scenarios of each policy')] = 100,
    policy: Annotated[
        list[str] | None,
        typer.Option(
            help=f'one of {", ".join(POLICIES)}; default: the first four'
        ),
    ] = None,
    index: Annotated[
        int | None,
        typer.Option(help='tell the story of this one scenario instead'),
    ] = None,
    workers: Annotated[int, typer.Option(help='processes to use')] = 1,
    as_json: Annotated[bool, typer.Option('--json')] = False,
) -> None:
    """Simulate moves of good and bad versions and count the outcomes."""
    policies = policy or list(_USUAL)
    unknown = sorted(set(policies) - set(POLICIES))
    if unknown:
        raise typer.BadParameter(
            f'policy {unknown[0]!r} is unknown; take one of {list(POLICIES)}',
        )
    if index is not None:
        for told in policies:
            _tell(told, run_one(told, seed, index))
        return
    figures = {
        name: run_many(name, seed=seed, runs=runs, workers=workers)
        for name in policies
    }
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(figures)).decode())
        return
    for counted, summary in figures.items():
        _print_summary(counted, summary)


def _tell(policy: str, result: RunResult) -> None:
    print(f'{policy}: {"right" if is_right(result) else "WRONG"}')
    print(result.scenario)
    for note in result.notes:
        print(note)
    print(
        f'known bad at {result.known_at}, last new call {result.gone_at:.1f}, '
        f'verdict {result.verdict} at {result.verdict_at}',
    )


def _print_summary(policy: str, summary: Summary) -> None:
    print(
        f'{policy}: good in time {summary.good_done_in_time} % of '
        f'{summary.good}, false vetoes {summary.false_vetoes} %; bad taken '
        f'back {summary.bad_taken_back} % of {summary.bad}, of the known '
        f'{summary.known_taken_back} %; harmed calls {summary.harmed_calls} '
        f'%; no traffic in 2 s {summary.gone_soon} %; at once: share <= 5 '
        f'% in {summary.peak_small} %',
    )
