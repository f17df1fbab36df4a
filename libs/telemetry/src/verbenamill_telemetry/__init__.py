"""Catalogue of log events and structured logging."""

from verbenamill_telemetry.events import Event
from verbenamill_telemetry.log_settings import LogFormat, LogLevel
from verbenamill_telemetry.logs import log, set_up_logs

__all__ = ('Event', 'LogFormat', 'LogLevel', 'log', 'set_up_logs')
