"""Durations as files for operators write them: a number with a unit."""

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


def parse_duration(found: Any) -> timedelta:
    """Read a number with a unit, such as ``250ms`` or ``3s``.

    :raises ValueError: when it is none.
    """
    match = _DURATION.fullmatch(found) if isinstance(found, str) else None
    if match is None:
        raise ValueError(f'{found!r} is not a number with a unit')
    return float(match[1]) * _UNITS[match[2]]
