"""Faults of a TOML file: the key, what was found and what was expected."""

from collections.abc import Iterable, Mapping
from difflib import get_close_matches
from typing import Any

from msgspec import Struct

#: How like a known key an unknown one is, to be taken for a slip.
LIKENESS = 0.65


class Fault(Struct, frozen=True, kw_only=True):
    """One fault of a file.

    :param key: dotted key, empty for the whole file.
    :param found: the value as TOML writes it, ``None`` when it is missing.
    """

    key: str
    expected: str
    found: str | None = None

    def __str__(self) -> str:
        """One line for the operator."""
        if not self.key:
            return f'expected {self.expected}'
        if self.found is None:
            return f'{self.key}: missing; expected {self.expected}'
        return f'{self.key} = {self.found}: expected {self.expected}'


def unknown_key(key: str, found: Any, known: Iterable[str]) -> Fault:
    """Fault of a key that means nothing, with the one that was meant."""
    names = tuple(known)
    name = key.rpartition('.')[-1]
    close = get_close_matches(name, names, n=1, cutoff=LIKENESS)
    guess = f'no such key; did you mean {close[0]}?' if close else ''
    return Fault(
        key=key,
        found=show_value(found),
        expected=guess or f'one of the keys {", ".join(names)}',
    )


def show_value(found: Any) -> str:
    """A value as TOML writes it; a table is only named."""
    if isinstance(found, bool):
        return str(found).lower()
    if isinstance(found, str):
        return f'"{found}"'
    if isinstance(found, Mapping):
        return 'a table'
    if isinstance(found, list):
        return f'[{", ".join(map(show_value, found))}]'
    return str(found)
