"""Settings of a daemon, read from TOML and checked whole.

They live here, below the daemon, because the command-line tool checks a
file with the same code that the daemon starts with.
"""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from verbenamill_model.faults import Fault
from verbenamill_runtime.settings_checks import find_clashes
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
    """Read a settings file.

    :returns: the settings, or every fault as one line with its key, the
        value that was found and what was expected.
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
    """Check the text of a settings file whole.

    :returns: the settings, or every fault.
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
    clashes = find_clashes(settings)
    return Failure(clashes) if clashes else Success(settings)
