"""Settings of a daemon, loaded from TOML and fully validated.

They are defined in this library rather than in the daemon because the
command-line tool validates settings files with the same code.
"""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from verbenamill_model.faults import Fault
from verbenamill_runtime.settings_checks import find_conflicts
from verbenamill_runtime.settings_reader import read_sections
from verbenamill_runtime.settings_types import (
    CallLimits,
    ListenSettings,
    LoggingSettings,
    LogServiceSettings,
    MeshSettings,
    Settings,
    TestSettings,
    VmSettings,
)
from verbenamill_telemetry.log_settings import LogFormat, LogLevel

__all__ = (
    'CallLimits',
    'ListenSettings',
    'LogFormat',
    'LoggingSettings',
    'LogLevel',
    'LogServiceSettings',
    'MeshSettings',
    'Settings',
    'TestSettings',
    'VmSettings',
    'load_settings',
    'parse_settings',
)


def load_settings(path: Path) -> Result[Settings, tuple[str, ...]]:
    """Read and validate a settings file.

    :returns: the settings, or one line for each fault with its key, the
        value found and the value expected.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Failure((f'the file cannot be read: {error}',))
    return parse_settings(text).alt(
        lambda faults: tuple(str(fault) for fault in faults),
    )


def parse_settings(
    text: str,
) -> Result[Settings, tuple[Fault, ...]]:
    """Parse and validate the text of a settings file.

    :returns: the settings, or all faults.
    """
    try:
        document: Mapping[str, Any] = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        fault = Fault(key='', expected=f'TOML: {error}')
        return Failure((fault,))
    sections, faults = read_sections(Settings, document)
    if faults:
        return Failure(faults)
    settings = Settings(**sections)
    conflicts = find_conflicts(settings)
    return Failure(conflicts) if conflicts else Success(settings)
