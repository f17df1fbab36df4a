"""Latency histograms of fixed logarithmic buckets."""

from datetime import timedelta
from math import ceil, log2

#: Upper bound of the first bucket; below it nobody can tell the difference.
_FIRST = timedelta(milliseconds=1)
#: Buckets that double the latency.
_PER_DOUBLING = 3
#: Number of buckets; the last one, beyond 65 s, has no upper bound.
BUCKET_COUNT = 16 * _PER_DOUBLING + 1

#: Calls per bucket number; buckets without calls are left out.
Histogram = dict[int, int]


def bucket_of(latency: timedelta) -> int:
    """Number of the bucket that holds a latency."""
    ratio = latency / _FIRST
    if ratio <= 1:
        return 0
    return min(ceil(log2(ratio) * _PER_DOUBLING), BUCKET_COUNT - 1)


def buckets_for(factor: float) -> int:
    """Number of buckets by which a latency grows with a factor."""
    return ceil(log2(factor) * _PER_DOUBLING)


def count_calls(histogram: Histogram) -> int:
    """Calls in a histogram."""
    return sum(histogram.values())


def count_slower(histogram: Histogram, bucket: int) -> int:
    """Calls slower than a bucket."""
    return sum(calls for number, calls in histogram.items() if number > bucket)


def quantile(histogram: Histogram, fraction: float) -> int:
    """Bucket at or below which a fraction of the calls are."""
    wanted = count_calls(histogram) * fraction
    seen = 0
    for number in sorted(histogram):
        seen += histogram[number]
        if seen >= wanted:
            return number
    return 0


def add_histogram(total: Histogram, other: Histogram) -> None:
    """Add the calls of another histogram."""
    for bucket, calls in other.items():
        total[bucket] = total.get(bucket, 0) + calls
