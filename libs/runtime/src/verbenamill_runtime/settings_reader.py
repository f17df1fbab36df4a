"""Reading of a settings document, section by section, with every fault."""

from collections.abc import Mapping
from typing import Any, get_args

from msgspec import NODEFAULT, Meta, Struct
from msgspec.structs import FieldInfo, fields

from verbenamill_model.faults import Fault, show_value, unknown_key
from verbenamill_runtime.settings_fields import Reader


def read_sections(
    settings: type[Struct],
    document: Mapping[str, Any],
) -> tuple[dict[str, Any], tuple[Fault, ...]]:
    """Read each section of a document into its struct.

    :param settings: struct with one field a section.
    :returns: the sections that could be read, and all faults.
    """
    known = {field.name: field for field in fields(settings)}
    faults = [
        unknown_key(name, found, known)
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
                Fault(
                    key=name,
                    found=show_value(table),
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
) -> tuple[dict[str, Any], list[Fault]]:
    known = {field.name: field for field in fields(struct)}
    faults = [
        unknown_key(f'{section}.{name}', found, known)
        for name, found in table.items()
        if name not in known
    ]
    values = {}
    for name, field in known.items():
        key = f'{section}.{name}'
        if name not in table:
            if _is_required(field):
                expected, _ = _meta(field)
                faults.append(Fault(key=key, expected=expected))
            continue
        expected, read = _meta(field)
        try:
            values[name] = read(table[name])
        except ValueError:
            found = show_value(table[name])
            fault = Fault(key=key, found=found, expected=expected)
            faults.append(fault)
    return values, faults


def _is_required(field: FieldInfo) -> bool:
    return field.default is NODEFAULT and field.default_factory is NODEFAULT


def _meta(field: FieldInfo) -> tuple[str, Reader]:
    meta: Meta = get_args(field.type)[1]
    assert meta.description and meta.extra, f'{field.name} has no reader'
    return meta.description, meta.extra['read']
