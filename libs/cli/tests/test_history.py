"""Reports after records have expired and daemons were replaced."""

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


def encode_ticket(number, version, *, deadline=None):
    service = Service(name='entries', version=version, deadline=deadline)
    return encode_record(
        TicketRecord(
            ticket=Ticket(number=number, author='ann', services=(service,)),
        ),
    )


def encode_verdict(move, kind=VerdictKind.DONE):
    return encode_record(
        VerdictRecord(
            move=move,
            service='entries',
            kind=kind,
            decided_by='vm-1',
            reason='120 calls',
        ),
    )


def encode_step(move, text, *, second=0):
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
def log_with_moves(log):
    """A log with a finished move (1) and a running one (3)."""
    log.put(
        'config',
        encode_ticket(1, 'v1'),
        encode_ticket(2, 'v2', deadline=DEADLINE),
        encode_verdict(1),
        encode_ticket(3, 'v3', deadline=DEADLINE),
    )
    log.put(
        'audit',
        encode_step(1, 'canary', second=1),
        # The daemon wrote the line again because an answer was lost.
        encode_step(1, 'canary', second=1),
        encode_step(3, 'canary at 5%', second=4),
    )
    return log


def test_audit_trail_covers_expired_records(log_with_moves, run_json):
    """All daemons were replaced and the oldest records have expired.

    The author of the move of entries to v2 must still be known, from a
    checkpoint and the audit stream.
    """
    log_with_moves.checkpoint(2)
    log_with_moves.oldest['config'] = 3
    trail = run_json('audit')
    authors = [(entry['who'], entry['ticket']) for entry in trail['entries']]
    assert authors == [
        ('ann', 1),
        ('ann', 2),
        ('vm-1', 2),
        ('vm-1', 2),
        ('ann', 3),
        ('vm-1', 3),
    ]
    of_ticket = run_json('audit', '--ticket', 3)['entries']
    assert [entry['text'] for entry in of_ticket][1:] == [
        'entries: canary at 5%'
    ]


def test_old_checkpoint_of_a_paused_writer_is_skipped(log_with_moves, run_json):
    """A writer resumes after a pause and appends its checkpoint of offset 0.

    That checkpoint follows the newer one, and the records after it have
    expired. The newer checkpoint must be found nevertheless.
    """
    log_with_moves.checkpoint(2)
    log_with_moves.checkpoint(0)
    log_with_moves.put('checkpoints', b'broken')
    log_with_moves.oldest['config'] = 3
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
def test_a_checkpoint_changes_no_answer(log_with_moves, run_json, command):
    """The newest checkpoint avoids folding a day of records.

    The answer must be the same as from the first record, except for the time
    from which it is complete.
    """
    answer = run_json(*command)
    log_with_moves.checkpoint(2)
    assert without_since(run_json(*command)) == without_since(answer)


def without_since(answer):
    return answer | {'since': None} if isinstance(answer, dict) else answer


def test_records_before_the_newest_checkpoint_are_not_read(
    log_with_moves, run_json
):
    log_with_moves.checkpoint(2)
    run_json('verdicts')
    assert ('config', 3) in log_with_moves.reads
    assert ('config', 0) not in log_with_moves.reads


def test_expired_records_without_a_checkpoint_are_an_error(log_with_moves, run):
    log_with_moves.oldest['config'] = 3
    outcome = run('verdicts')
    assert outcome.exit_code == ExitCode.UNAVAILABLE
    assert 'no checkpoint' in outcome.stderr


@pytest.mark.parametrize('has_expired', [False, True])
def test_timeline_of_a_finished_move(log_with_moves, run, has_expired):
    """The lines are in order, even when the ticket's record has expired."""
    if has_expired:
        log_with_moves.checkpoint(2)
        log_with_moves.oldest['config'] = 3
    output = run('move', 'show', 1).stdout
    parts = (
        'from v1 to v2',
        'ticket 2 accepted, of ann',
        'canary',
        'verdict: done',
    )
    positions = [output.index(part) for part in parts]
    assert positions == sorted(positions)
    assert output.count('canary') == 1


def test_times_are_shown_in_utc(log, run):
    """A deadline that an operator set in Texas is read by one in Bangkok."""
    deadline = datetime.fromisoformat('2026-12-02T18:00:00-06:00')
    log.put(
        'config',
        encode_ticket(1, 'v1'),
        encode_ticket(2, 'v2', deadline=deadline),
    )
    assert 'by 2026-12-03 00:00:00Z' in run('move', 'show', 1).stdout


def test_timeline_of_a_running_move(log_with_moves, run):
    output = run('move', 'show', 3).stdout
    assert 'no verdict yet' in output
    assert 'no daemon was asked' in output


def test_ticket_number_in_place_of_a_move(log_with_moves, run):
    """A ticket number given as a move id must produce a helpful error."""
    outcome = run('move', 'show', 2)
    assert outcome.exit_code == ExitCode.NOT_FOUND
    assert 'this one began 1' in outcome.stderr


def test_show_reports_the_outcome_of_a_ticket(log_with_moves, run, run_json):
    log_with_moves.put('config', encode_ticket(2, 'v9', deadline=DEADLINE))
    shown = run_json('ticket', 'show', 2)
    assert shown[0]['outcome'] == 'accepted'
    assert shown[1]['outcome'].startswith('refused: number 2')
    assert run('ticket', 'show', 77).exit_code == ExitCode.NOT_FOUND


def test_diff_shows_changed_fields_and_the_ended_move(
    log_with_moves, run_json, tmp_path
):
    file = tmp_path / 'ticket.toml'
    file.write_text(
        'number = 4\nauthor = "ann"\n[[services]]\nname = "entries"\n'
        'version = "v4"\ndeadline = 2026-12-02T01:00:00Z\n',
    )
    [change] = run_json('ticket', 'diff', file)['changes']
    assert 'version v3 -> v4' in change
    assert 'ends move 3 as superseded' in change


def test_terminal_escape_sequences_are_not_printed(log, run):
    """The author of a ticket contains a sequence that clears the screen."""
    malicious = Ticket(
        number=1,
        author='ann\x1b[2J',
        services=(Service(name='entries', version='v1'),),
    )
    log.put('config', encode_record(TicketRecord(ticket=malicious)))
    output = run('audit').stdout
    assert '\x1b' not in output
    assert r'ann\x1b[2J' in output
    assert json.loads(run('audit', '--json').stdout)
