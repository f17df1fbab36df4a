"""Errors in a TOML file, with the key, the value found and what is expected."""

from collections.abc import Iterable, Mapping
from difflib import get_close_matches
from typing import Any

from msgspec import Struct

#: Minimum similarity of an unknown key to a known one that is suggested in its
#: place.
MIN_SIMILARITY = 0.65


class Fault(Struct, frozen=True, kw_only=True):
    """One error in a file.

    :param key: dotted key; empty for the whole file.
    :param expected: description of the valid values.
    :param found: the value in TOML syntax; ``None`` if it is missing.
    """

    key: str
    expected: str
    found: str | None = None

    def __str__(self) -> str:
        """Format the error as one line for the operator."""
        if not self.key:
            return f'expected {self.expected}'
        if self.found is None:
            return f'{self.key}: missing; expected {self.expected}'
        return f'{self.key} = {self.found}: expected {self.expected}'


def unknown_key(key: str, value: Any, known: Iterable[str]) -> Fault:
    """Error for an unknown key, with a suggestion if a known one is similar."""
    names = tuple(known)
    name = key.rpartition('.')[-1]
    close = get_close_matches(name, names, n=1, cutoff=MIN_SIMILARITY)
    suggestion = f'no such key; did you mean {close[0]}?' if close else ''
    return Fault(
        key=key,
        found=show_value(value),
        expected=suggestion or f'one of the keys {", ".join(names)}',
    )


def show_value(value: Any) -> str:
    """Format a value in TOML syntax; the content of a table is omitted."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    if isinstance(value, Mapping):
        return 'a table'
    if isinstance(value, list):
        return f'[{", ".join(map(show_value, value))}]'
    return str(value)
