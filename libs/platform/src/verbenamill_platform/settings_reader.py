"""Reading of a settings document, section by section, with every fault."""

from collections.abc import Mapping
from difflib import get_close_matches
from typing import Any, get_args

from msgspec import NODEFAULT, Meta, Struct
from msgspec.structs import FieldInfo, fields

from verbenamill_platform.settings_fields import Reader


class SettingsFault(Struct, frozen=True, kw_only=True):
    """One fault of a settings file.

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


def read_sections(
    settings: type[Struct],
    document: Mapping[str, Any],
) -> tuple[dict[str, Any], tuple[SettingsFault, ...]]:
    """Read each section of a document into its struct.

    :param settings: struct with one field a section.
    :returns: the sections that could be read, and all faults.
    """
    known = {field.name: field for field in fields(settings)}
    faults = [
        _unknown(name, found, known)
        for name, found in document.items()
        if name not in known
    ]
    sections = {}
    for name, field in known.items():
        if name not in document and not field.required:
            continue
        table = document.get(name, {})
        if not isinstance(table, Mapping):
            faults.append(
                SettingsFault(
                    key=name,
                    found=_show(table),
                    expected=f'a section, [{name}]',
                ),
            )
            continue
        found_values, found_faults = _read_section(name, field.type, table)
        faults.extend(found_faults)
        if not found_faults:
            sections[name] = field.type(**found_values)
    return sections, tuple(faults)


def _read_section(
    section: str,
    struct: type[Struct],
    table: Mapping[str, Any],
) -> tuple[dict[str, Any], list[SettingsFault]]:
    known = {field.name: field for field in fields(struct)}
    faults = [
        _unknown(f'{section}.{name}', found, known)
        for name, found in table.items()
        if name not in known
    ]
    values = {}
    for name, field in known.items():
        key = f'{section}.{name}'
        if name not in table:
            if _is_required(field):
                expected, _ = _meta(field)
                faults.append(SettingsFault(key=key, expected=expected))
            continue
        expected, read = _meta(field)
        try:
            values[name] = read(table[name])
        except ValueError:
            found = _show(table[name])
            fault = SettingsFault(key=key, found=found, expected=expected)
            faults.append(fault)
    return values, faults


def _is_required(field: FieldInfo) -> bool:
    return field.default is NODEFAULT and field.default_factory is NODEFAULT


def _meta(field: FieldInfo) -> tuple[str, Reader]:
    meta: Meta = get_args(field.type)[1]
    assert meta.description and meta.extra, f'{field.name} has no reader'
    return meta.description, meta.extra['read']


def _unknown(
    key: str,
    found: Any,
    known: Mapping[str, object],
) -> SettingsFault:
    name = key.rpartition('.')[-1]
    close = get_close_matches(name, known, n=1)
    listed = ', '.join(known)
    expected = f'no such key; did you mean {close[0]}?' if close else ''
    return SettingsFault(
        key=key,
        found=_show(found),
        expected=expected or f'one of the keys {listed}',
    )


def _show(found: Any) -> str:
    if isinstance(found, bool):
        return str(found).lower()
    if isinstance(found, str):
        return f'"{found}"'
    if isinstance(found, Mapping):
        return 'a section'
    return str(found)
