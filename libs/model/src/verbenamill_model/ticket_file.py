"""Parser of ticket files that reports all errors at once."""

import tomllib
from collections.abc import Mapping
from datetime import datetime, timedelta
from enum import Enum
from types import NoneType, UnionType
from typing import Any, get_args, get_origin

import msgspec
from msgspec import Struct
from msgspec.structs import FieldInfo, fields
from returns.result import Failure, Result, Success

from verbenamill_model.durations import parse_duration
from verbenamill_model.faults import Fault, show_value, unknown_key
from verbenamill_model.tickets import Ticket

_EXPECTED = {
    str: 'text in quotes',
    int: 'a whole number',
    bool: 'true or false',
    datetime: (
        'a time with its offset and without quotes, '
        'such as 2026-12-02T08:00:00Z'
    ),
    timedelta: 'a number with a unit (ms, s, m, h) in quotes, such as "3s"',
}


def read_ticket(text: str) -> Result[Ticket, tuple[Fault, ...]]:
    """Parse a ticket from TOML, or list all errors in it."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Failure((Fault(key='', expected=f'TOML: {error}'),))
    values, faults = _read_table(Ticket, document, '')
    return Failure(tuple(faults)) if faults else Success(Ticket(**values))


def _read_table(
    struct: type[Struct],
    table: Mapping[str, Any],
    prefix: str,
) -> tuple[dict[str, Any], list[Fault]]:
    known = {field.name: field for field in fields(struct)}
    faults = [
        unknown_key(f'{prefix}{name}', value, known)
        for name, value in table.items()
        if name not in known
    ]
    values = {}
    for name, field in known.items():
        key = f'{prefix}{name}'
        value = table.get(name)
        if value is not None:
            converted, field_faults = _read_field(field, value, key)
            values[name] = converted
            faults.extend(field_faults)
        elif field.required:
            expected = _describe(_plain_type(field))
            faults.append(Fault(key=key, expected=expected))
    return values, faults


def _read_field(
    field: FieldInfo,
    value: Any,
    key: str,
) -> tuple[Any, list[Fault]]:
    kind = _plain_type(field)
    struct = _table_type(kind)
    if struct is not None and _is_table_list(value):
        return _read_tables(struct, value, key)
    try:
        return _convert(kind, value), []
    except ValueError:
        fault = Fault(
            key=key,
            found=show_value(value),
            expected=_describe(kind, key),
        )
        return None, [fault]


def _read_tables(
    struct: type[Struct],
    tables: list[dict[str, Any]],
    key: str,
) -> tuple[Any, list[Fault]]:
    items = []
    faults: list[Fault] = []
    for number, table in enumerate(tables, start=1):
        values, table_faults = _read_table(struct, table, f'{key}[{number}].')
        faults.extend(table_faults)
        if not table_faults:
            items.append(struct(**values))
    return tuple(items), faults


def _is_table_list(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, Mapping) for item in value
    )


def _convert(kind: Any, value: Any) -> Any:
    if kind is timedelta:
        return parse_duration(value)
    converted = msgspec.convert(value, kind)
    if isinstance(converted, datetime) and converted.tzinfo is None:
        # Operators and VMs may be in different time zones, in which a deadline
        # without a UTC offset would denote different times.
        raise ValueError('time has no UTC offset')
    return converted


def _plain_type(field: FieldInfo) -> Any:
    """Type of a field, without ``None`` and NewType."""
    kind = field.type
    if get_origin(kind) is UnionType:
        kind = next(part for part in get_args(kind) if part is not NoneType)
    return getattr(kind, '__supertype__', kind)


def _table_type(kind: Any) -> type[Struct] | None:
    """Type of the tables if the type is a list of tables."""
    item = next(iter(get_args(kind)), None)
    if isinstance(item, type) and issubclass(item, Struct):
        return item
    return None


def _describe(kind: Any, key: str = '') -> str:
    if _table_type(kind) is not None:
        return f'one [[{key}]] for each'
    if isinstance(kind, type) and issubclass(kind, Enum):
        choices = ', '.join(f'"{choice.value}"' for choice in kind)
        return f'one of {choices}'
    if get_origin(kind) is tuple:
        return 'a list of names in quotes, such as ["entries"]'
    return _EXPECTED[kind]
