"""Structured logging of numbered events, as text or lines of JSON."""

import logging
import sys
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from time import monotonic
from typing import Any

import msgspec
from msgspec import Struct

from verbenamill_telemetry.events import Event
from verbenamill_telemetry.log_settings import LogSettings, LogFormat, Sink

#: Events of one code that may be written at once, and the time after which
#: one more may.
BURST = 20
REFILL = timedelta(seconds=1)
#: Outcomes and events that count apart; outcomes are few words, and this only
#: bounds what a mistake could do.
MAX_BUCKETS = 512

#: Libraries that write a line a request; these would hide the events.
_TALKATIVE = ('httpx', 'httpcore', 'hypercorn', 'quart')

_logger = logging.getLogger('verbenamill')


def log(event: Event, **fields: Any) -> None:
    """Write one event.

    :param fields: values named in the event's template, and any others.
    """
    kind = event.kind
    _logger.log(
        kind.level,
        kind.template.format_map(_Fields(fields)),
        extra={'event': event, 'fields': fields},
    )


class _Fields(dict[str, Any]):
    """Fields of a template; a missing one must not stop the daemon."""

    def __missing__(self, name: str) -> str:
        return f'{{{name}}}'


def set_up_logs(
    settings: LogSettings,
    *,
    stream: Sink = sys.stderr,
    vm: str = '',
    elapsed: Callable[[], timedelta] = lambda: timedelta(seconds=monotonic()),
) -> None:
    """Send all logging of the process to a stream.

    :param vm: stands in each line of JSON, so that logs of several daemons
        can be read together.
    :param elapsed: monotonic time, for the limit on repeated events.
    """
    as_json = settings.format is LogFormat.JSON
    handler = logging.StreamHandler(stream)
    handler.setFormatter(_JsonLines(vm) if as_json else _Text())
    handler.addFilter(_RateLimit(elapsed).filter)
    root = logging.getLogger()
    root.handlers.clear()
    root.addHandler(handler)
    root.setLevel(settings.level.value.upper())
    for library in _TALKATIVE:
        logging.getLogger(library).setLevel(logging.WARNING)


class _Line(Struct, omit_defaults=True):
    """An event as it is written; a library's own record has no code."""

    at: datetime
    level: str
    code: str | None
    message: str
    fields: dict[str, Any] = {}
    vm: str = ''


def _read(record: logging.LogRecord) -> _Line:
    event: Event | None = getattr(record, 'event', None)
    message = record.getMessage() if event is None else str(record.msg)
    if record.exc_info:
        failure = logging.Formatter().formatException(record.exc_info)
        message = f'{message}\n{failure}'
    return _Line(
        at=datetime.fromtimestamp(record.created, UTC),
        level=record.levelname,
        code=None if event is None else event.kind.code,
        message=message,
        fields=getattr(record, 'fields', {}),
    )


class _JsonLines(logging.Formatter):
    def __init__(self, vm: str) -> None:
        super().__init__()
        self._vm = vm

    def format(self, record: logging.LogRecord) -> str:
        line = _read(record)
        line.vm = self._vm
        return msgspec.json.encode(line, enc_hook=str).decode()


class _Text(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
        line = _read(record)
        at = line.at.isoformat(timespec='milliseconds')
        parts = (at, line.level, line.code, line.message, _show_rest(record))
        text = ' '.join(part for part in parts if part)
        # A field may quote what a caller sent; a line break in it would
        # let the caller write lines of its own into the log.
        return text.replace('\r', r'\r').replace('\n', r'\n')


def _show_rest(record: logging.LogRecord) -> str:
    """Fields that the message does not tell already."""
    event: Event | None = getattr(record, 'event', None)
    if event is None:
        return ''
    fields: dict[str, Any] = record.__dict__['fields']
    shown = ' '.join(
        f'{name}={value}'
        for name, value in fields.items()
        if f'{{{name}}}' not in event.kind.template
    )
    return f'[{shown}]' if shown else ''


class _RateLimit:
    """Holds back an event that repeats.

    When an availability zone is cut off, each daemon loses hundreds of
    links at once; without a limit the log would hide what matters and
    cost more than the fault. The count of what was held back is enough.
    Each outcome of an event counts apart: a flood of refused requests must
    not hide the few that failed.
    """

    def __init__(self, elapsed: Callable[[], timedelta]) -> None:
        self._elapsed = elapsed
        self._buckets: dict[tuple[Event, Any], _Bucket] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether a record is written."""
        event: Event | None = getattr(record, 'event', None)
        if event is None:
            return True
        now = self._elapsed()
        outcome = record.__dict__['fields'].get('outcome')
        if len(self._buckets) >= MAX_BUCKETS:
            outcome = None
        bucket = self._buckets.setdefault((event, outcome), _Bucket(now))
        if not bucket.take(now, event.kind.rate):
            bucket.suppressed += 1
            return False
        if bucket.suppressed:
            held_back = {'suppressed': bucket.suppressed}
            record.__dict__['fields'] = record.__dict__['fields'] | held_back
            bucket.suppressed = 0
        return True


class _Bucket:
    """Tokens of one event; a token is one line that may be written."""

    def __init__(self, now: timedelta) -> None:
        self.suppressed = 0
        self._tokens = float(BURST)
        self._since = now

    def take(self, now: timedelta, rate: float) -> bool:
        """Take a token, when there is one.

        :param rate: tokens that come back in each ``REFILL``.
        """
        refilled = self._tokens + rate * ((now - self._since) / REFILL)
        self._since = now
        self._tokens = min(refilled, BURST)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
