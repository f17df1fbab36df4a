"""Field types of the settings, with their readers and descriptions."""

import re
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from functools import partial
from typing import Any
from urllib.parse import urlsplit

from msgspec import Meta

from verbenamill_model.durations import parse_duration
from verbenamill_http.addresses import parse_address

#: Reads a value of the settings file; raises ValueError if it is invalid.
Reader = Callable[[Any], Any]

_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,99}')


def _setting(expected: str, read: Reader) -> Meta:
    return Meta(description=expected, extra={'read': read})


def _read_name(value: Any) -> str:
    if not isinstance(value, str) or not _NAME.fullmatch(value):
        raise ValueError
    return value


def _read_url(value: Any) -> str:
    if not isinstance(value, str):
        raise ValueError
    parts = urlsplit(value)
    if parts.scheme not in {'http', 'https'} or not parts.hostname:
        raise ValueError
    if parts.query or parts.fragment or parts.port == 0:
        raise ValueError
    return value


def _read_flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError
    return value


Name = _setting(
    'a name of up to 100 letters, digits, ".", "_" and "-", in quotes',
    _read_name,
)
HttpUrl = _setting(
    'a URL such as "http://10.0.0.9:8080" without a query',
    _read_url,
)
Flag = _setting('true or false', _read_flag)


def _read_address(value: Any) -> str:
    return str(parse_address(value))


def _read_addresses(value: Any) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise ValueError
    addresses = tuple(map(parse_address, value))
    if any(address.is_wildcard or address.port == 0 for address in addresses):
        raise ValueError
    return tuple(map(str, addresses))


SocketAddress = _setting(
    'an IP number and a port in quotes, such as "10.0.0.5:7001"',
    _read_address,
)
SocketAddresses = _setting(
    'a list of IP numbers with ports, such as ["10.0.0.6:7002"]',
    _read_addresses,
)


def _read_name_pairs(value: Any) -> tuple[tuple[str, str], ...]:
    if not isinstance(value, list):
        raise ValueError
    pairs = [str(entry).partition('=') for entry in value]
    return tuple(
        (_read_name(first), _read_name(second)) for first, _, second in pairs
    )


NamePairs = _setting(
    'a list of pairs of names, such as ["zone-a=region-1"]',
    _read_name_pairs,
)


def _read_integer(value: Any, *, minimum: int, maximum: int) -> int:
    # bool is a subclass of int, but a TOML boolean is not a number.
    if not isinstance(value, int) or isinstance(value, bool):
        raise ValueError
    if not minimum <= value <= maximum:
        raise ValueError
    return value


def integer_in_range(minimum: int, maximum: int) -> Meta:
    """Field metadata for an integer in an inclusive range."""
    return _setting(
        f'a whole number from {minimum} to {maximum}',
        partial(_read_integer, minimum=minimum, maximum=maximum),
    )


def _read_number(value: Any, *, minimum: float, maximum: float) -> float:
    # bool is a subclass of int, but a TOML boolean is not a number.
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise ValueError
    if not minimum <= value <= maximum:
        raise ValueError
    return float(value)


def number_in_range(minimum: float, maximum: float) -> Meta:
    """Field metadata for a number in an inclusive range."""
    return _setting(
        f'a number from {minimum:g} to {maximum:g}',
        partial(_read_number, minimum=minimum, maximum=maximum),
    )


def _read_duration(
    value: Any,
    *,
    minimum: timedelta,
    maximum: timedelta,
) -> timedelta:
    duration = parse_duration(value)
    if not minimum <= duration <= maximum:
        raise ValueError
    return duration


def duration_in_range(minimum: timedelta, maximum: timedelta) -> Meta:
    """Field metadata for a duration in an inclusive range."""
    return _setting(
        'a number with a unit (ms, s, m, h) in quotes, such as "3s", from '
        f'{minimum.total_seconds():g}s to {maximum.total_seconds():g}s',
        partial(_read_duration, minimum=minimum, maximum=maximum),
    )


def one_of(choices: type[Enum]) -> Meta:
    """Field metadata for one of the values of an enum."""
    names = ', '.join(f'"{choice.value}"' for choice in choices)
    return _setting(f'one of {names}', choices)
