"""Settings of the log: minimum level and format."""

from enum import Enum, unique
from typing import Protocol


@unique
class LogLevel(str, Enum):
    """Minimum severity of the events that are logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@unique
class LogFormat(str, Enum):
    """Format of the log."""

    TEXT = 'text'
    JSON = 'json'


class LogSettings(Protocol):
    """Settings of the log in a settings file."""

    @property
    def level(self) -> LogLevel:
        """Minimum severity of the events that are logged."""

    @property
    def format(self) -> LogFormat:
        """Format of the log."""


class Sink(Protocol):
    """Destination of the lines of the log."""

    def write(self, text: str, /) -> object:
        """Write a line."""
