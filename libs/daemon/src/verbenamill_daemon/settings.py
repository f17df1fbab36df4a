"""Settings of the daemon.

They are defined in ``verbenamill_runtime.settings`` because the command-line
tool validates settings files with the same code and may not import the daemon.
"""

from verbenamill_runtime.settings import (
    CallLimits,
    ListenSettings,
    LogFormat,
    LoggingSettings,
    LogLevel,
    Settings,
    load_settings,
)

__all__ = (
    'CallLimits',
    'ListenSettings',
    'LogFormat',
    'LogLevel',
    'LoggingSettings',
    'Settings',
    'load_settings',
)
