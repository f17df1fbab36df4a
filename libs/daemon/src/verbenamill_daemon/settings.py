"""Settings of the daemon.

The code is in ``verbenamill_runtime.settings``, since the command-line tool
checks a settings file with it and may not import the daemon.
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
