"""Reader for the sections of a settings file that collects all faults."""

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

    :param settings: struct with one field for each section.
    :returns: the sections without faults, and all faults found.
    """
    fields_by_name = {field.name: field for field in fields(settings)}
    faults = [
        unknown_key(name, found, fields_by_name)
        for name, found in document.items()
        if name not in fields_by_name
    ]
    sections = {}
    for name, field in fields_by_name.items():
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
        section_values, section_faults = _read_section(name, field.type, table)
        faults.extend(section_faults)
        if not section_faults:
            sections[name] = field.type(**section_values)
    return sections, tuple(faults)


def _read_section(
    section: str,
    struct: type[Struct],
    table: Mapping[str, Any],
) -> tuple[dict[str, Any], list[Fault]]:
    fields_by_name = {field.name: field for field in fields(struct)}
    faults = [
        unknown_key(f'{section}.{name}', found, fields_by_name)
        for name, found in table.items()
        if name not in fields_by_name
    ]
    values = {}
    for name, field in fields_by_name.items():
        key = f'{section}.{name}'
        if name not in table:
            if _is_required(field):
                expected, _ = _get_field_metadata(field)
                faults.append(Fault(key=key, expected=expected))
            continue
        expected, read = _get_field_metadata(field)
        try:
            values[name] = read(table[name])
        except ValueError:
            found = show_value(table[name])
            fault = Fault(key=key, found=found, expected=expected)
            faults.append(fault)
    return values, faults


def _is_required(field: FieldInfo) -> bool:
    return field.default is NODEFAULT and field.default_factory is NODEFAULT


def _get_field_metadata(field: FieldInfo) -> tuple[str, Reader]:
    metadata: Meta = get_args(field.type)[1]
    assert metadata.description and metadata.extra, (
        f'{field.name} has no reader or description'
    )
    return metadata.description, metadata.extra['read']
