"""``ticket publish``: the log decides the outcome, even if answers are lost."""

import pytest

from verbenamill_cli.errors import ExitCode
from verbenamill_model import Service, Ticket, TicketRecord, encode_record
from verbenamill_runtime import LogFault


@pytest.fixture
def ticket(examples):
    return examples / 'lone-star/1-entries.toml'


def test_lost_answer_is_resolved_from_the_log(run_json, log, ticket):
    """The append takes effect and its answer is lost.

    The command must report the ticket as accepted, and the log must hold
    only one copy.
    """
    log.append_faults = [LogFault.UNKNOWN]
    published = run_json('ticket', 'publish', ticket)
    assert published['offset'] == 0
    assert not published['repeated']
    assert len(log.streams['config']) == 1


def test_throttled_append_is_retried(run_json, log, ticket):
    log.append_faults = [LogFault.THROTTLED, LogFault.NOT_APPENDED]
    assert run_json('ticket', 'publish', ticket)['offset'] == 0


def test_publishing_twice_is_harmless(run, run_json, log, ticket):
    run('ticket', 'publish', ticket)
    again = run_json('ticket', 'publish', ticket)
    assert again['repeated']
    assert again['offset'] == 0
    assert len(log.streams['config']) == 1


def test_race_is_decided_by_the_log(run, log, ticket):
    """Another operator's ticket 1 arrives while this one is appended.

    This ticket was valid when it was checked. It is refused because of its
    position on the log, and the command must report that.
    """
    other = Ticket(
        number=1,
        author='bob',
        services=(Service(name='entries', version='v9'),),
    )
    append = log.append

    async def append_after_other(stream, body):
        log.put('config', encode_record(TicketRecord(ticket=other)))
        return await append(stream, body)

    log.append = append_after_other
    outcome = run('ticket', 'publish', ticket)
    assert outcome.exit_code == ExitCode.REFUSED
    assert 'other content' in outcome.stderr
    assert 'what to do' in outcome.stderr


@pytest.mark.parametrize(
    ('is_lost', 'code'),
    [(False, ExitCode.UNAVAILABLE), (True, ExitCode.UNKNOWN)],
)
def test_outage_while_publishing(run, log, ticket, is_lost, code):
    """The log becomes unavailable during the append.

    "Nothing was changed" may only be printed when that is certain. After a
    lost answer the error must say that the ticket may be on the log.
    """
    append = log.append

    async def append_then_fail(stream, body):
        if is_lost and not log.is_down:
            log.append_faults = [LogFault.UNKNOWN]
            answer = await append(stream, body)
            log.is_down = True
            return answer
        log.is_down = True
        return await append(stream, body)

    log.append = append_then_fail
    outcome = run('ticket', 'publish', ticket, '--timeout', 0.2)
    assert outcome.exit_code == code
    assert ('nothing was changed' in outcome.stderr) is not is_lost


def test_faulty_ticket_is_not_appended(run, log, tmp_path):
    file = tmp_path / 'bad.toml'
    file.write_text(
        'number = 1\nauthor = "ann"\n'
        '[[routes]]\nname = "r"\nprefix = "r"\nservice = "none"\n',
    )
    outcome = run('ticket', 'publish', file)
    assert outcome.exit_code == ExitCode.REFUSED
    assert log.streams == {}
    validated = run('ticket', 'validate', file)
    assert validated.exit_code == ExitCode.FAULTY
    assert validated.stderr.splitlines() == [
        'error: ticket 1 would be refused',
        "  - prefix 'r' of route r must begin with /",
        '  - route r points at service none, which does not exist; '
        'add it in the same ticket or first',
        'what to do: correct these and validate again; nothing was published',
    ]


def test_missing_log_url_error_names_the_variable(run, ticket):
    outcome = run('ticket', 'publish', ticket, env={'VERBENAMILL_LOG': ''})
    assert outcome.exit_code == ExitCode.USAGE
    assert 'VERBENAMILL_LOG' in outcome.stderr
