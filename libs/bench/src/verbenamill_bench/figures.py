"""Figures that the benches report."""

import os
import sys
from collections import Counter
from collections.abc import Iterable
from datetime import UTC, datetime

from hdrh.histogram import HdrHistogram
from msgspec import Struct

from verbenamill_bench.calls_made import CallMade, Ending

_LOWEST_US = 1
_HIGHEST_US = 60_000_000
_DIGITS = 3


class Latencies(Struct, frozen=True, kw_only=True):
    """Quantiles in milliseconds."""

    count: int
    p50: float
    p99: float
    p999: float
    max: float


class Machine(Struct, frozen=True, kw_only=True):
    """Where and when a measurement ran.

    :param load: load average of the last minute when it began; other work
        on the machine shows in it.
    """

    command: str
    at: datetime
    cores: int
    load: float


def summarize(seconds: Iterable[float]) -> Latencies:
    """Quantiles of latencies by an HDR histogram."""
    histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    for latency in seconds:
        histogram.record_value(max(int(latency * 1_000_000), _LOWEST_US))
    return Latencies(
        count=histogram.total_count,
        p50=_milliseconds(histogram, 50),
        p99=_milliseconds(histogram, 99),
        p999=_milliseconds(histogram, 99.9),
        max=histogram.get_max_value() / 1000,
    )


def summarize_calls(calls: Iterable[CallMade]) -> Latencies:
    """Quantiles of the calls that got their answer."""
    return summarize(call.latency for call in calls if call.ending is Ending.OK)


def count_endings(calls: Iterable[CallMade]) -> dict[str, int]:
    """Calls by how they ended."""
    return dict(Counter(call.ending.value for call in calls))


def describe_machine() -> Machine:
    """The machine, now, and the command that runs."""
    return Machine(
        command=' '.join(['verbenamill-bench', *sys.argv[1:]]),
        at=datetime.now(UTC),
        cores=os.cpu_count() or 0,
        load=os.getloadavg()[0],
    )


def _milliseconds(histogram: HdrHistogram, percentile: float) -> float:
    return float(histogram.get_value_at_percentile(percentile)) / 1000
