"""Kinds of settings: how a value is read and what is expected of it."""

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

#: Reads a value of the file; raises ValueError when it does not fit.
Reader = Callable[[Any], Any]

_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,99}')


def _setting(expected: str, read: Reader) -> Meta:
    return Meta(description=expected, extra={'read': read})


def _read_name(found: Any) -> str:
    if not isinstance(found, str) or not _NAME.fullmatch(found):
        raise ValueError
    return found


def _read_url(found: Any) -> str:
    if not isinstance(found, str):
        raise ValueError
    parts = urlsplit(found)
    if parts.scheme not in {'http', 'https'} or not parts.hostname:
        raise ValueError
    if parts.query or parts.fragment or parts.port == 0:
        raise ValueError
    return found


def _read_flag(found: Any) -> bool:
    if not isinstance(found, bool):
        raise ValueError
    return found


Name = _setting(
    'a name of up to 100 letters, digits, ".", "_" and "-", in quotes',
    _read_name,
)
HttpUrl = _setting(
    'a URL such as "http://10.0.0.9:8080" without a query',
    _read_url,
)
Flag = _setting('true or false', _read_flag)


def _read_address(found: Any) -> str:
    return str(parse_address(found))


def _read_addresses(found: Any) -> tuple[str, ...]:
    if not isinstance(found, list):
        raise ValueError
    addresses = tuple(map(parse_address, found))
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


def _read_integer(found: Any, *, least: int, most: int) -> int:
    # A bool is an int to Python but not to whoever wrote the file.
    if not isinstance(found, int) or isinstance(found, bool):
        raise ValueError
    if not least <= found <= most:
        raise ValueError
    return found


def integer_in_range(least: int, most: int) -> Meta:
    """Metadata of a whole number in a range, ends included."""
    return _setting(
        f'a whole number from {least} to {most}',
        partial(_read_integer, least=least, most=most),
    )


def _read_duration(
    found: Any,
    *,
    least: timedelta,
    most: timedelta,
) -> timedelta:
    duration = parse_duration(found)
    if not least <= duration <= most:
        raise ValueError
    return duration


def duration_in_range(least: timedelta, most: timedelta) -> Meta:
    """Metadata of a duration in a range, ends included."""
    return _setting(
        'a number with a unit (ms, s, m, h) in quotes, such as "3s", from '
        f'{least.total_seconds():g}s to {most.total_seconds():g}s',
        partial(_read_duration, least=least, most=most),
    )


def one_of(choices: type[Enum]) -> Meta:
    """Metadata of one of the values of an Enum."""
    names = ', '.join(f'"{choice.value}"' for choice in choices)
    return _setting(f'one of {names}', choices)
