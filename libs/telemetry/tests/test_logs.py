"""Formats and rate limits of the log, and the catalogue of events."""

import io
import json
import logging
from datetime import timedelta
from pathlib import Path

import pytest

from verbenamill_telemetry.events import (
    BURST_EVENTS,
    Event,
    render_catalogue,
)
from verbenamill_telemetry.logs import log, set_up_logs
from verbenamill_runtime.settings import LogFormat, LoggingSettings

CATALOGUE = Path(__file__).parents[3] / 'docs/operators/events.md'


@pytest.fixture
def configure_logs():
    """Configure the log with a format, a text buffer and a manual clock."""
    root = logging.getLogger()
    previous = root.handlers[:], root.level
    stream = io.StringIO()
    clock = [timedelta(0)]

    def configure(log_format):
        settings = LoggingSettings(format=log_format)
        set_up_logs(settings, stream=stream, elapsed=lambda: clock[0])
        return stream, clock

    yield configure
    root.handlers[:], root.level = previous


def test_json_lines(configure_logs):
    stream, _ = configure_logs(LogFormat.JSON)
    log(Event.PEER_LOST, peer='vm-2', reason='silent', after=timedelta(1))
    line = json.loads(stream.getvalue())
    assert line['code'] == 'VM4001'
    assert line['level'] == 'WARNING'
    assert line['message'] == 'link to vm-2 lost: silent'
    assert line['fields']['peer'] == 'vm-2'


def test_fields_cannot_add_lines(configure_logs):
    """A caller sends a line break in data that an event later contains.

    Written unchanged, the rest of the data would look like another event.
    """
    stream, _ = configure_logs(LogFormat.TEXT)
    log(Event.OVERLOAD, service='a\nCRITICAL VM9001', reason='100% full')
    assert stream.getvalue().count('\n') == 1
    assert stream.getvalue().count('100% full') == 1
    assert 'VM6004' in stream.getvalue()


def test_missing_field_does_not_stop_the_daemon(configure_logs):
    stream, _ = configure_logs(LogFormat.TEXT)
    log(Event.STARTED)
    assert 'daemon {id} started' in stream.getvalue()


def test_repeated_events_are_suppressed_and_counted(configure_logs):
    """The loss of hundreds of links at once must not hide other events."""
    stream, clock = configure_logs(LogFormat.JSON)
    for number in range(BURST_EVENTS + 30):
        log(Event.PEER_LOST, peer=number, reason='silent')
    log(Event.STARTED, id='vm-1')
    assert len(stream.getvalue().splitlines()) == BURST_EVENTS + 1
    clock[0] += timedelta(seconds=1)
    log(Event.PEER_LOST, peer='last', reason='silent')
    last = json.loads(stream.getvalue().splitlines()[-1])
    assert last['fields']['suppressed'] == 30


def test_flood_of_one_outcome_does_not_hide_another(configure_logs):
    """Thousands of requests are refused for overload, and one fails."""
    stream, _ = configure_logs(LogFormat.JSON)
    for number in range(BURST_EVENTS + 30):
        log(Event.CALL_FAILED, request=number, outcome='refused')
    log(Event.CALL_FAILED, request='the one', outcome='failed')
    last = json.loads(stream.getvalue().splitlines()[-1])
    assert last['fields']['request'] == 'the one'


def test_refused_keys_have_one_line_per_second_and_reason(configure_logs):
    """Guards against a log that callers without keys fill."""
    stream, clock = configure_logs(LogFormat.JSON)
    for _ in range(2):
        for outcome in ('missing', 'unknown') * 30:
            log(Event.KEY_REFUSED, request='r', outcome=outcome)
        clock[0] += timedelta(seconds=1)
    assert len(stream.getvalue().splitlines()) == 4


def test_codes_are_unique_and_in_order():
    codes = [event.definition.code for event in Event]
    assert codes == sorted(set(codes))


def test_every_event_is_logged_somewhere():
    """An event in the catalogue that is never logged misleads operators."""
    sources = Path(__file__).parents[2].glob('*/src/**/*.py')
    code = '\n'.join(source.read_text() for source in sources)
    unused = [
        event.name for event in Event if f'Event.{event.name}' not in code
    ]
    assert unused == []


def test_catalogue_matches_the_code():
    expected = render_catalogue()
    assert CATALOGUE.read_text() == expected, (
        'docs/operators/events.md is out of date; run '
        'python -m verbenamill_telemetry.events > docs/operators/events.md'
    )
