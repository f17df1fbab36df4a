"""How a stand-in upstream behaves, well or badly."""

from random import Random

from msgspec import Struct


class Behaviour(Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Settings of an upstream; ``PUT /control`` changes those it names.

    The faults (``fail_share`` to ``cut_share``) show only on paths below
    ``prefix``, from ``after_s`` seconds after the start and while more than
    ``above_running`` calls run.

    :param latency_ms: ordinary time a call takes.
    :param shed: answer 503 when all slots are taken.
    :param cold_start_s: time after the start in which calls are slower.
    :param cold_start_ms: added latency at the start, falling to 0.
    :param fail_share: share of calls answered 500.
    :param extra_ms: added latency.
    :param stall_share: share of calls that get no answer.
    :param cut_share: share of answers cut off in the middle.
    """

    latency_ms: float = 0
    shed: bool = False
    cold_start_s: float = 0
    cold_start_ms: float = 0
    fail_share: float = 0
    extra_ms: float = 0
    stall_share: float = 0
    cut_share: float = 0
    prefix: str = '/'
    after_s: float = 0
    above_running: int = 0


class Plan(Struct, kw_only=True, frozen=True):
    """What happens to one call.

    :param seconds: how long it takes.
    """

    seconds: float
    fails: bool = False
    stalls: bool = False
    is_cut: bool = False


def plan_call(
    behaviour: Behaviour,
    *,
    path: str,
    age: float,
    running: int,
    random: Random,
) -> Plan:
    """Decide what happens to one call.

    :param age: seconds since the upstream started.
    :param running: calls that run, this one included.
    """
    seconds = (behaviour.latency_ms + _cold_ms(behaviour, age)) / 1000
    is_bad = (
        path.startswith(behaviour.prefix)
        and age >= behaviour.after_s
        and running > behaviour.above_running
    )
    if not is_bad:
        return Plan(seconds=seconds)
    return Plan(
        seconds=seconds + behaviour.extra_ms / 1000,
        fails=random.random() < behaviour.fail_share,
        stalls=random.random() < behaviour.stall_share,
        is_cut=random.random() < behaviour.cut_share,
    )


def _cold_ms(behaviour: Behaviour, age: float) -> float:
    if age >= behaviour.cold_start_s:
        return 0
    return behaviour.cold_start_ms * (1 - age / behaviour.cold_start_s)
