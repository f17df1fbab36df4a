"""Figures of many simulated moves under one policy."""

from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

from msgspec import Struct

from verbenamill_bench.moves_scenario import BAD_AT_ONCE, GOOD, Disturbance
from verbenamill_bench.moves_world import RunResult
from verbenamill_model.typing import VerdictKind

#: Goals: seconds to no traffic, and share of a version bad at once.
_SOON = 2.0
_SMALL = 0.05

_Item = TypeVar('_Item')


class Spread(Struct, frozen=True, kw_only=True):
    """Distribution of one figure."""

    runs: int
    p50: float | None
    p99: float | None
    most: float | None


class Summary(Struct, frozen=True, kw_only=True):
    """Figures of one policy; shares are in per cent.

    :param good_done_in_time: of the moves to good versions.
    :param false_vetoes: of the moves to good versions.
    :param bad_taken_back: of the moves to bad versions.
    :param known_taken_back: of those that an oracle knew two seconds before
        the verdict or the deadline.
    :param harmed_calls: of all calls in runs with bad versions.
    :param known_to_gone: seconds from the oracle's knowledge to the last
        call of the bad version.
    :param first_bad_to_gone: seconds from its first bad answer.
    :param gone_soon: of the known ones, no traffic within 2 s.
    :param peak_at_once: highest share of versions that are bad at once.
    :param peak_small: of these, at most 5 % of the calls.
    """

    runs: int
    good: int
    bad: int
    good_done_in_time: float
    false_vetoes: float
    bad_taken_back: float
    known_taken_back: float
    harmed_calls: float
    gone_soon: float
    known_to_gone: Spread
    first_bad_to_gone: Spread
    peak_at_once: Spread
    peak_small: float
    report_bytes: int
    by_kind: dict[str, float]
    by_disturbance: dict[str, float]
    wrong: tuple[int, ...]


def is_right(result: RunResult) -> bool:
    """Whether a good version was done in time or a bad one taken back."""
    if result.scenario.kind not in GOOD:
        return result.verdict is VerdictKind.TAKEN_BACK
    if result.verdict is not VerdictKind.DONE:
        return False
    # While the log is out, traffic has to be there and the verdict follows.
    outage = result.scenario.disturbance is Disturbance.LOG_OUTAGE
    late = (result.verdict_at or 0) > result.scenario.window
    return result.complete_in_time and (outage or not late)


def summarise(results: Sequence[RunResult]) -> Summary:
    """Work out the figures of one policy."""
    good = [run for run in results if run.scenario.kind in GOOD]
    bad = [run for run in results if run.scenario.kind not in GOOD]
    known = [run for run in bad if _was_known(run)]
    back = [run for run in known if is_right(run)]
    delays = [run.gone_at - (run.known_at or 0) for run in back]
    at_once = [run for run in bad if run.scenario.kind in BAD_AT_ONCE]
    return Summary(
        runs=len(results),
        good=len(good),
        bad=len(bad),
        good_done_in_time=_percent(good, is_right),
        false_vetoes=_percent(good, lambda run: run.vetoed),
        bad_taken_back=_percent(bad, is_right),
        known_taken_back=_percent(known, is_right),
        harmed_calls=_round(
            100
            * sum(run.harmed for run in bad)
            / max(sum(run.calls for run in bad), 1),
        ),
        gone_soon=_percent(delays, lambda delay: delay <= _SOON),
        known_to_gone=_spread(delays),
        first_bad_to_gone=_spread(
            run.gone_at - run.first_bad_at
            for run in back
            if run.first_bad_at is not None
        ),
        peak_at_once=_spread(run.peak for run in at_once),
        peak_small=_percent(at_once, lambda run: run.peak <= _SMALL),
        report_bytes=max((run.report_bytes for run in results), default=0),
        by_kind=_group(results, lambda run: run.scenario.kind.value),
        by_disturbance=_group(
            results,
            lambda run: run.scenario.disturbance.value,
        ),
        wrong=tuple(run.scenario.index for run in results if not is_right(run)),
    )


def _was_known(run: RunResult) -> bool:
    end = min(run.scenario.window, run.verdict_at or run.scenario.window)
    if run.verdict is VerdictKind.TAKEN_BACK:
        return run.known_at is not None
    return run.known_at is not None and run.known_at < end - 2


def _group(
    results: Sequence[RunResult],
    key: Callable[[RunResult], str],
) -> dict[str, float]:
    names = sorted({key(run) for run in results})
    return {
        name: _percent([run for run in results if key(run) == name], is_right)
        for name in names
    }


def _percent(items: Sequence[_Item], test: Callable[[_Item], bool]) -> float:
    return _round(100 * sum(map(test, items)) / max(len(items), 1))


def _spread(values: Iterable[float]) -> Spread:
    ordered = sorted(values)
    if not ordered:
        return Spread(runs=0, p50=None, p99=None, most=None)
    return Spread(
        runs=len(ordered),
        p50=_round(ordered[len(ordered) // 2]),
        p99=_round(ordered[len(ordered) * 99 // 100]),
        most=_round(ordered[-1]),
    )


def _round(value: float) -> float:
    return round(value, 3)
