"""Remembering what was worked out from a table that is replaced on change."""

from collections.abc import Callable
from typing import Generic, ParamSpec, TypeVar

from msgspec import Struct

_Args = ParamSpec('_Args')
_Value = TypeVar('_Value')


class _Last(Struct, Generic[_Value]):
    args: tuple[object, ...]
    value: _Value


def cache_last(
    work_out: Callable[_Args, _Value],
) -> Callable[_Args, _Value]:
    """Work out again only when an argument is another object.

    A fleet has tens of thousands of members and a thousand services. Looked
    through several times a second by each daemon, they would take a few
    percent of a core; they change a few times a minute. Comparing identities
    is enough, since mesh and configuration replace their tables whole.

    :param work_out: called with positional arguments only.
    """
    last: _Last[_Value] | None = None

    def look_up(*args: _Args.args, **kwargs: _Args.kwargs) -> _Value:
        nonlocal last
        assert not kwargs, 'positional arguments only'
        if last is None or not all(map(_is_same, last.args, args)):
            last = _Last(args, work_out(*args, **kwargs))
        return last.value

    return look_up


def _is_same(one: object, other: object) -> bool:
    return one is other
