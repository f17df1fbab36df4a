"""Structured logging of events as text or as lines of JSON."""

import logging
import sys
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from time import monotonic
from typing import Any

import msgspec
from msgspec import Struct

from verbenamill_telemetry.events import Event, EventDefinition
from verbenamill_telemetry.log_settings import LogFormat, LogSettings, Sink

#: Interval in which an event regains as many lines as its ``rate`` says.
REFILL_INTERVAL = timedelta(seconds=1)
#: Largest number of pairs of event and outcome that are limited separately.
#: There are few outcomes; the limit bounds the memory if a field is misused.
MAX_BUCKETS = 512

#: Libraries that log a line for each request and would hide the events.
_VERBOSE_LIBRARIES = ('httpx', 'httpcore', 'hypercorn', 'quart')

_logger = logging.getLogger('verbenamill')


def log(event: Event, **fields: Any) -> None:
    """Log one event.

    :param fields: values for the event's template, and additional ones.
    """
    definition = event.definition
    _logger.log(
        definition.level,
        definition.template.format_map(_Fields(fields)),
        extra={'event': event, 'fields': fields},
    )


class _Fields(dict[str, Any]):
    """Fields of a template; a missing field is not an error.

    Its name is written instead, because logging must not stop the daemon.
    """

    def __missing__(self, name: str) -> str:
        return f'{{{name}}}'


def set_up_logs(
    settings: LogSettings,
    *,
    stream: Sink = sys.stderr,
    vm: str = '',
    elapsed: Callable[[], timedelta] = lambda: timedelta(seconds=monotonic()),
) -> None:
    """Configure all logging of the process to go to a stream.

    :param vm: name of the VM, which is added to each line of JSON so that the
        logs of several daemons can be merged.
    :param elapsed: monotonic clock for the limit on repeated events.
    """
    is_json = settings.format is LogFormat.JSON
    handler = logging.StreamHandler(stream)
    handler.setFormatter(_JsonFormatter(vm) if is_json else _TextFormatter())
    handler.addFilter(_RateLimit(elapsed).filter)
    root = logging.getLogger()
    root.handlers.clear()
    root.addHandler(handler)
    root.setLevel(settings.level.value.upper())
    for library in _VERBOSE_LIBRARIES:
        logging.getLogger(library).setLevel(logging.WARNING)


class _LogLine(Struct, omit_defaults=True):
    """A line of the log; records of other libraries have no code."""

    at: datetime
    level: str
    code: str | None
    message: str
    fields: dict[str, Any] = {}
    vm: str = ''


def _build_line(record: logging.LogRecord) -> _LogLine:
    event: Event | None = getattr(record, 'event', None)
    message = record.getMessage() if event is None else str(record.msg)
    if record.exc_info:
        traceback = logging.Formatter().formatException(record.exc_info)
        message = f'{message}\n{traceback}'
    return _LogLine(
        at=datetime.fromtimestamp(record.created, UTC),
        level=record.levelname,
        code=None if event is None else event.definition.code,
        message=message,
        fields=getattr(record, 'fields', {}),
    )


class _JsonFormatter(logging.Formatter):
    def __init__(self, vm: str) -> None:
        super().__init__()
        self._vm = vm

    def format(self, record: logging.LogRecord) -> str:
        line = _build_line(record)
        line.vm = self._vm
        return msgspec.json.encode(line, enc_hook=str).decode()


class _TextFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        line = _build_line(record)
        at = line.at.isoformat(timespec='milliseconds')
        parts = (
            at,
            line.level,
            line.code,
            line.message,
            _format_extra_fields(record),
        )
        text = ' '.join(part for part in parts if part)
        # Fields may contain data from callers. A line break in them would
        # allow callers to forge lines of the log.
        return text.replace('\r', r'\r').replace('\n', r'\n')


def _format_extra_fields(record: logging.LogRecord) -> str:
    """Format the fields that are not part of the message."""
    event: Event | None = getattr(record, 'event', None)
    if event is None:
        return ''
    fields: dict[str, Any] = record.__dict__['fields']
    extra_fields = ' '.join(
        f'{name}={value}'
        for name, value in fields.items()
        if f'{{{name}}}' not in event.definition.template
    )
    return f'[{extra_fields}]' if extra_fields else ''


class _RateLimit:
    """Limits the rate of repeated events.

    When an availability zone is cut off, each daemon loses hundreds of links
    at once. Without a limit, the log would hide the important events and cost
    more than the outage; the number of suppressed events is sufficient. Each
    outcome of an event is limited separately: a flood of refused requests
    must not hide the few that failed.
    """

    def __init__(self, elapsed: Callable[[], timedelta]) -> None:
        self._elapsed = elapsed
        self._buckets: dict[tuple[Event, Any], _TokenBucket] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a record."""
        event: Event | None = getattr(record, 'event', None)
        if event is None:
            return True
        now = self._elapsed()
        outcome = record.__dict__['fields'].get('outcome')
        if len(self._buckets) >= MAX_BUCKETS:
            outcome = None
        bucket = self._buckets.setdefault(
            (event, outcome), _TokenBucket(now, event.definition)
        )
        if not bucket.take(now):
            bucket.suppressed += 1
            return False
        if bucket.suppressed:
            suppressed_count = {'suppressed': bucket.suppressed}
            record.__dict__['fields'] = (
                record.__dict__['fields'] | suppressed_count
            )
            bucket.suppressed = 0
        return True


class _TokenBucket:
    """Token bucket of one event; each line that is written takes a token."""

    def __init__(self, now: timedelta, definition: EventDefinition) -> None:
        self.suppressed = 0
        self._rate = definition.rate
        self._burst = definition.burst
        self._tokens = float(definition.burst)
        self._refilled_at = now

    def take(self, now: timedelta) -> bool:
        """Take a token if one is available."""
        refilled = self._tokens + self._rate * (
            (now - self._refilled_at) / REFILL_INTERVAL
        )
        self._refilled_at = now
        self._tokens = min(refilled, self._burst)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
