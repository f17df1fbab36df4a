"""What can be told after records have expired and daemons are gone."""

import json
from datetime import UTC, datetime, timedelta

import msgspec
import pytest

from verbenamill_cli.errors import ExitCode
from verbenamill_model import (
    Service,
    Ticket,
    TicketRecord,
    VerdictRecord,
    encode_record,
)
from verbenamill_model.typing import VerdictKind

DEADLINE = datetime(2026, 12, 2, 1, tzinfo=UTC)


def ticket(number, version, *, deadline=None):
    service = Service(name='entries', version=version, deadline=deadline)
    return encode_record(
        TicketRecord(
            ticket=Ticket(number=number, author='ann', services=(service,)),
        ),
    )


def verdict(move, kind=VerdictKind.DONE):
    return encode_record(
        VerdictRecord(
            move=move,
            service='entries',
            kind=kind,
            decided_by='vm-1',
            reason='120 calls',
        ),
    )


def step(move, text, *, second=0):
    at = datetime(2026, 12, 2, tzinfo=UTC) + timedelta(seconds=second)
    return msgspec.json.encode(
        {
            'at': at,
            'vm': 'vm-1',
            'move': move,
            'service': 'entries',
            'text': text,
        },
    )


@pytest.fixture
def moved(log):
    """A log with a finished move (1) and a running one (3)."""
    log.put(
        'config',
        ticket(1, 'v1'),
        ticket(2, 'v2', deadline=DEADLINE),
        verdict(1),
        ticket(3, 'v3', deadline=DEADLINE),
    )
    log.put(
        'audit',
        step(1, 'canary', second=1),
        # An answer was lost, so the daemon wrote the line again.
        step(1, 'canary', second=1),
        step(3, 'canary at 5%', second=4),
    )
    return log


def test_audit_outlives_daemons_and_records(moved, run_json):
    """All daemons were replaced and the head of the log has expired.

    Who moved entries to v2 must still be told, from a checkpoint and the
    audit stream.
    """
    moved.checkpoint(2)
    moved.oldest['config'] = 3
    trail = run_json('audit')
    told = [(entry['who'], entry['ticket']) for entry in trail['entries']]
    assert told == [
        ('ann', 1),
        ('ann', 2),
        ('vm-1', 2),
        ('vm-1', 2),
        ('ann', 3),
        ('vm-1', 3),
    ]
    only = run_json('audit', '--ticket', 3)['entries']
    assert [entry['text'] for entry in only][1:] == ['entries: canary at 5%']


def test_old_checkpoint_of_a_paused_writer_is_passed_over(moved, run_json):
    """A writer wakes from a pause and appends its checkpoint of offset 0.

    It stands above the newer one, and the records after it have expired;
    the newer one must be found all the same.
    """
    moved.checkpoint(2)
    moved.checkpoint(0)
    moved.put('checkpoints', b'broken')
    moved.oldest['config'] = 3
    assert [found['kind'] for found in run_json('verdicts')] == ['done']


@pytest.mark.parametrize(
    'command',
    [
        ('verdicts',),
        ('audit',),
        ('audit', '--last', '0'),
        ('move', 'show', '1'),
        ('move', 'show', '3'),
        ('ticket', 'show', '2'),
    ],
)
def test_a_checkpoint_changes_no_answer(moved, run_json, command):
    """The newest checkpoint saves folding a day of records.

    What is told must be the same as from the first record on; only the time
    from which it is complete may be named.
    """
    whole = run_json(*command)
    moved.checkpoint(2)
    assert without_since(run_json(*command)) == without_since(whole)


def without_since(told):
    return told | {'since': None} if isinstance(told, dict) else told


def test_newest_checkpoint_saves_reading(moved, run_json):
    moved.checkpoint(2)
    run_json('verdicts')
    assert ('config', 3) in moved.asked
    assert ('config', 0) not in moved.asked


def test_expired_without_a_checkpoint_is_said(moved, run):
    moved.oldest['config'] = 3
    outcome = run('verdicts')
    assert outcome.exit_code == ExitCode.UNAVAILABLE
    assert 'no checkpoint' in outcome.stderr


@pytest.mark.parametrize('has_expired', [False, True])
def test_story_of_a_finished_move(moved, run, has_expired):
    """It is told in order, also when the ticket's record has expired."""
    if has_expired:
        moved.checkpoint(2)
        moved.oldest['config'] = 3
    told = run('move', 'show', 1).stdout
    order = (
        'from v1 to v2',
        'ticket 2 accepted, of ann',
        'canary',
        'verdict: done',
    )
    places = [told.index(part) for part in order]
    assert places == sorted(places)
    assert told.count('canary') == 1


def test_times_are_shown_in_utc(log, run):
    """A deadline of an operator in Texas is read by one in Bangkok."""
    deadline = datetime.fromisoformat('2026-12-02T18:00:00-06:00')
    log.put('config', ticket(1, 'v1'), ticket(2, 'v2', deadline=deadline))
    assert 'by 2026-12-03 00:00:00Z' in run('move', 'show', 1).stdout


def test_story_of_a_running_move(moved, run):
    told = run('move', 'show', 3).stdout
    assert 'no verdict yet' in told
    assert 'no daemon was asked' in told


def test_ticket_number_in_place_of_a_move(moved, run):
    """Tickets and moves both have numbers; a mix-up must be explained."""
    outcome = run('move', 'show', 2)
    assert outcome.exit_code == ExitCode.NOT_FOUND
    assert 'this one began 1' in outcome.stderr


def test_show_tells_what_became_of_a_ticket(moved, run, run_json):
    moved.put('config', ticket(2, 'v9', deadline=DEADLINE))
    shown = run_json('ticket', 'show', 2)
    assert shown[0]['outcome'] == 'accepted'
    assert shown[1]['outcome'].startswith('refused: number 2')
    assert run('ticket', 'show', 77).exit_code == ExitCode.NOT_FOUND


def test_diff(moved, run_json, tmp_path):
    file = tmp_path / 'ticket.toml'
    file.write_text(
        'number = 4\nauthor = "ann"\n[[services]]\nname = "entries"\n'
        'version = "v4"\ndeadline = 2026-12-02T01:00:00Z\n',
    )
    [change] = run_json('ticket', 'diff', file)['changes']
    assert 'version v3 -> v4' in change
    assert 'ends move 3 as superseded' in change


def test_terminal_codes_of_others_are_not_printed(log, run):
    """A note carries an escape sequence that would hide what follows."""
    evil = Ticket(
        number=1,
        author='ann\x1b[2J',
        services=(Service(name='entries', version='v1'),),
    )
    log.put('config', encode_record(TicketRecord(ticket=evil)))
    told = run('audit').stdout
    assert '\x1b' not in told
    assert r'ann\x1b[2J' in told
    assert json.loads(run('audit', '--json').stdout)
