"""Delays between retries."""

from collections.abc import Iterator
from datetime import timedelta
from random import Random


def full_jitter(
    random: Random,
    *,
    first: timedelta,
    longest: timedelta,
) -> Iterator[timedelta]:
    """Generate retry delays: exponential backoff with full jitter.

    Each delay is uniform between zero and a bound that doubles. Without the
    jitter, clients that lost the same server together would all retry at
    the same moments; the jitter spreads their retries over the whole bound.

    :param first: upper bound of the first delay.
    :param longest: maximum of the upper bound.
    :returns: an endless sequence of delays.
    """
    upper_bound = first
    while True:
        yield upper_bound * random.random()
        upper_bound = min(upper_bound * 2, longest)
