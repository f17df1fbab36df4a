"""How events are written: their least level and their form."""

from enum import Enum, unique
from typing import Protocol


@unique
class LogLevel(str, Enum):
    """Least severe events that are written."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


@unique
class LogFormat(str, Enum):
    """Form of a written event."""

    TEXT = 'text'
    JSON = 'json'


class LogSettings(Protocol):
    """What a settings file says of the logs."""

    @property
    def level(self) -> LogLevel:
        """Least severe events that are written."""

    @property
    def format(self) -> LogFormat:
        """Form of a written event."""


class Sink(Protocol):
    """Where lines are written."""

    def write(self, text: str, /) -> object:
        """Write a line."""
