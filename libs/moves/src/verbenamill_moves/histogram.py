"""Latency histograms with fixed logarithmic buckets."""

from datetime import timedelta
from math import ceil, log2

#: Upper bound of the first bucket; differences below it do not matter.
_FIRST_BUCKET_BOUND = timedelta(milliseconds=1)
#: Number of buckets over which the latency doubles.
_BUCKETS_PER_DOUBLING = 3
#: Number of buckets; the last one, above 65 s, has no upper bound.
BUCKET_COUNT = 16 * _BUCKETS_PER_DOUBLING + 1

#: Number of calls by bucket number; buckets without calls are omitted.
Histogram = dict[int, int]


def bucket_of(latency: timedelta) -> int:
    """Return the number of the bucket that contains a latency."""
    ratio = latency / _FIRST_BUCKET_BOUND
    if ratio <= 1:
        return 0
    return min(ceil(log2(ratio) * _BUCKETS_PER_DOUBLING), BUCKET_COUNT - 1)


def buckets_for(factor: float) -> int:
    """Return the number of buckets by which a factor raises a latency."""
    return ceil(log2(factor) * _BUCKETS_PER_DOUBLING)


def count_calls(histogram: Histogram) -> int:
    """Count the calls in a histogram."""
    return sum(histogram.values())


def count_slower(histogram: Histogram, bucket: int) -> int:
    """Count the calls in the buckets above a bucket."""
    return sum(calls for number, calls in histogram.items() if number > bucket)


def quantile(histogram: Histogram, fraction: float) -> int:
    """Return the lowest bucket that a fraction of the calls do not exceed."""
    target = count_calls(histogram) * fraction
    counted = 0
    for number in sorted(histogram):
        counted += histogram[number]
        if counted >= target:
            return number
    return 0


def add_histogram(total: Histogram, other: Histogram) -> None:
    """Add the calls of another histogram to a total."""
    for bucket, calls in other.items():
        total[bucket] = total.get(bucket, 0) + calls
