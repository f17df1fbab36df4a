"""Cache for values computed from tables that are replaced on every change."""

from collections.abc import Callable
from typing import Generic, ParamSpec, TypeVar

from msgspec import Struct

_Args = ParamSpec('_Args')
_Value = TypeVar('_Value')


class _CachedCall(Struct, Generic[_Value]):
    args: tuple[object, ...]
    value: _Value


def cache_last(
    compute: Callable[_Args, _Value],
) -> Callable[_Args, _Value]:
    """Cache the last result and recompute it when an argument changes.

    A fleet has tens of thousands of members and a thousand services.
    Scanning these tables several times a second would take a few percent of
    a core in each daemon, yet they change only a few times a minute.
    Arguments are compared by identity, which is sufficient because the mesh
    and the configuration replace a whole table on every change.

    :param compute: called with positional arguments only.
    """
    last: _CachedCall[_Value] | None = None

    def call_cached(*args: _Args.args, **kwargs: _Args.kwargs) -> _Value:
        nonlocal last
        assert not kwargs, 'the cached function takes positional arguments only'
        if last is None or not all(map(_is_same_object, last.args, args)):
            last = _CachedCall(args, compute(*args, **kwargs))
        return last.value

    return call_cached


def _is_same_object(one: object, other: object) -> bool:
    return one is other
