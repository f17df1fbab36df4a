"""Composition of results with asynchronous functions."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from returns.result import Failure, Result

Value = TypeVar('Value')
NextValue = TypeVar('NextValue')
Error = TypeVar('Error')
AsyncFunction = Callable[[Value], Awaitable[Result[NextValue, Error]]]


async def bind_async(
    result: Result[Value, Error],
    function: AsyncFunction[Value, NextValue, Error],
) -> Result[NextValue, Error]:
    """``Result.bind`` for an asynchronous function.

    :returns: the result of ``function`` for the value, or the given error.
    """
    if isinstance(result, Failure):
        return Failure(result.failure())
    return await function(result.unwrap())
