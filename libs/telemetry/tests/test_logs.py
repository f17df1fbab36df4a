"""Events are written as text and JSON, limited, and in the catalogue."""

import io
import json
import logging
from datetime import timedelta
from pathlib import Path

import pytest

from verbenamill_telemetry.events import Event, render_catalogue
from verbenamill_telemetry.logs import BURST, log, set_up_logs
from verbenamill_runtime.settings import LogFormat, LoggingSettings

CATALOGUE = Path(__file__).parents[3] / 'docs/operators/events.md'


@pytest.fixture
def written():
    """Lines that the daemon would write, on a clock set by the test."""
    root = logging.getLogger()
    before = root.handlers[:], root.level
    stream = io.StringIO()
    clock = [timedelta(0)]

    def start(form):
        settings = LoggingSettings(format=form)
        set_up_logs(settings, stream=stream, elapsed=lambda: clock[0])
        return stream, clock

    yield start
    root.handlers[:], root.level = before


def test_json_lines(written):
    stream, _ = written(LogFormat.JSON)
    log(Event.PEER_LOST, peer='vm-2', reason='silent', after=timedelta(1))
    line = json.loads(stream.getvalue())
    assert line['code'] == 'VM4001'
    assert line['level'] == 'WARNING'
    assert line['message'] == 'link to vm-2 lost: silent'
    assert line['fields']['peer'] == 'vm-2'


def test_fields_cannot_break_lines(written):
    """A caller sends a line break in what is later quoted in an event.

    Written as it is, the rest would look like an event of the daemon.
    """
    stream, _ = written(LogFormat.TEXT)
    log(Event.OVERLOAD, service='a\nCRITICAL VM9001', reason='100% full')
    assert stream.getvalue().count('\n') == 1
    assert stream.getvalue().count('100% full') == 1
    assert 'VM6004' in stream.getvalue()


def test_missing_field_does_not_stop_the_daemon(written):
    stream, _ = written(LogFormat.TEXT)
    log(Event.STARTED)
    assert 'daemon {id} started' in stream.getvalue()


def test_repeated_events_are_held_back_and_counted(written):
    """A cut-off zone loses hundreds of links; other events must show."""
    stream, clock = written(LogFormat.JSON)
    for number in range(BURST + 30):
        log(Event.PEER_LOST, peer=number, reason='silent')
    log(Event.STARTED, id='vm-1')
    assert len(stream.getvalue().splitlines()) == BURST + 1
    clock[0] += timedelta(seconds=1)
    log(Event.PEER_LOST, peer='last', reason='silent')
    last = json.loads(stream.getvalue().splitlines()[-1])
    assert last['fields']['suppressed'] == 30


def test_a_flood_of_one_outcome_does_not_hide_another(written):
    """A service is full and thousands are refused; one request fails."""
    stream, _ = written(LogFormat.JSON)
    for number in range(BURST + 30):
        log(Event.CALL_FAILED, request=number, outcome='refused')
    log(Event.CALL_FAILED, request='the one', outcome='failed')
    last = json.loads(stream.getvalue().splitlines()[-1])
    assert last['fields']['request'] == 'the one'


def test_codes_are_unique_and_in_order():
    codes = [event.kind.code for event in Event]
    assert codes == sorted(set(codes))


def test_every_event_is_written_somewhere():
    """An event of the catalogue that nothing writes misleads on call."""
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
