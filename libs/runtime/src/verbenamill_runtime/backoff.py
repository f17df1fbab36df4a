"""Waiting times between tries."""

from collections.abc import Iterator
from datetime import timedelta
from random import Random


def full_jitter(
    random: Random,
    *,
    first: timedelta,
    longest: timedelta,
) -> Iterator[timedelta]:
    """Endless waiting times, each uniform below a doubling bound.

    A herd that lost the same source at once would otherwise come back at
    once, again and again; uniform jitter spreads it over the whole bound.

    :param first: bound of the first wait.
    :param longest: bound that later waits never pass.
    """
    bound = first
    while True:
        yield bound * random.random()
        bound = min(bound * 2, longest)
