"""Durations in files for operators: a number with a unit."""

import re
from datetime import timedelta
from typing import Any

_DURATION = re.compile(r'(\d{1,9}(?:\.\d{1,9})?)(ms|s|m|h)')
_UNITS = {
    'ms': timedelta(milliseconds=1),
    's': timedelta(seconds=1),
    'm': timedelta(minutes=1),
    'h': timedelta(hours=1),
}


def parse_duration(value: Any) -> timedelta:
    """Parse a number with a unit, such as ``250ms`` or ``3s``.

    :raises ValueError: if the value is not a duration.
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f'{value!r} is not a number with a unit')
    return float(match[1]) * _UNITS[match[2]]
