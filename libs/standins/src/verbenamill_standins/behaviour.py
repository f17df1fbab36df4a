"""Simulated latency and faults of a stand-in upstream."""

from random import Random

from msgspec import Struct


class Behaviour(Struct, kw_only=True, frozen=True, forbid_unknown_fields=True):
    """Simulated behaviour; ``PUT /control`` updates the given fields.

    The faults (``fail_share`` to ``cut_share``) apply only to paths that
    start with ``prefix``, from ``after_s`` seconds after the start on, and
    while more than ``above_running`` calls are running.

    :param latency_ms: base latency of a call.
    :param shed: respond with 503 when all slots are in use.
    :param cold_start_s: duration of the cold start, in which calls are slower.
    :param cold_start_ms: latency added at the start; decreases linearly to 0.
    :param fail_share: fraction of calls that get a 500 response.
    :param extra_ms: latency added to each affected call.
    :param stall_share: fraction of calls that never get a response.
    :param cut_share: fraction of responses that are truncated.
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


class PlannedOutcome(Struct, kw_only=True, frozen=True):
    """Outcome that is simulated for one call.

    :param seconds: duration of the call.
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
) -> PlannedOutcome:
    """Choose the outcome of one call.

    :param age: seconds since the upstream started.
    :param running: number of running calls, including this one.
    """
    seconds = (
        behaviour.latency_ms + _cold_start_latency_ms(behaviour, age)
    ) / 1000
    faults_apply = (
        path.startswith(behaviour.prefix)
        and age >= behaviour.after_s
        and running > behaviour.above_running
    )
    if not faults_apply:
        return PlannedOutcome(seconds=seconds)
    return PlannedOutcome(
        seconds=seconds + behaviour.extra_ms / 1000,
        fails=random.random() < behaviour.fail_share,
        stalls=random.random() < behaviour.stall_share,
        is_cut=random.random() < behaviour.cut_share,
    )


def _cold_start_latency_ms(behaviour: Behaviour, age: float) -> float:
    if age >= behaviour.cold_start_s:
        return 0
    return behaviour.cold_start_ms * (1 - age / behaviour.cold_start_s)
