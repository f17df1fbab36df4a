"""Chaining of outcomes across awaits."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from returns.result import Failure, Result

Found = TypeVar('Found')
Next = TypeVar('Next')
Error = TypeVar('Error')
GoOn = Callable[[Found], Awaitable[Result[Next, Error]]]


async def and_then(
    outcome: Result[Found, Error],
    go_on: GoOn[Found, Next, Error],
) -> Result[Next, Error]:
    """``Result.bind`` for a function that awaits.

    :returns: what ``go_on`` makes of the value, or the first error.
    """
    if isinstance(outcome, Failure):
        return Failure(outcome.failure())
    return await go_on(outcome.unwrap())
