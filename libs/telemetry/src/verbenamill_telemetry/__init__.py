"""Catalogue of log events and structured logging."""

from verbenamill_telemetry.errors import describe_error
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.log_settings import LogFormat, LogLevel
from verbenamill_telemetry.logs import log, set_up_logs

__all__ = (
    'Event',
    'LogFormat',
    'LogLevel',
    'describe_error',
    'log',
    'set_up_logs',
)
