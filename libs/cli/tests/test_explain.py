"""``verbenamill explain``: the trace of a request and the cause of its end."""

import json

from returns.result import Failure, Success

from verbenamill_cli.errors import ExitCode
from verbenamill_cli.request_trace import (
    decode_lines,
    format_trace,
    trace_request,
)


def encode_line(second, source, code, message, **fields):
    document = {
        'at': f'2026-12-03T10:00:{second:06.3f}Z',
        'level': 'INFO',
        'code': code,
        'message': message,
        'fields': fields,
        'vm': source,
    }
    return json.dumps(document)


LOG = [
    encode_line(1, 'vm1', 'VM2003', 'running version 7', version=7),
    encode_line(2, 'vm2', 'VM2003', 'running version 8', version=8),
    encode_line(3, 'vm1', 'VM4006', 'daemon vm2 drains', vm='vm2'),
    encode_line(3, 'vm1', 'VM4006', 'daemon vm9 is ready', vm='vm9'),
    encode_line(5, 'vm1', 'VM2003', 'running version 9', version=9),
    encode_line(4.5, 'vm2', 'VM6011', 'refused here', request='abc'),
    encode_line(
        4.6,
        'vm1',
        'VM6008',
        'request abc refused',
        request='abc',
        reason='no slot in time',
        tried=['vm2: not-run, no slot in time'],
    ),
    'collector: {"at": broken',
    'a line of another program',
]


def test_trace_is_in_order_with_the_known_states():
    lines, unreadable = decode_lines(LOG)
    assert unreadable == 2
    match trace_request('abc', lines, unreadable):
        case Success(trace):
            assert [line.vm for line in trace.lines] == ['vm2', 'vm1']
            assert trace.cause.fields['reason'] == 'no slot in time'
            states = {state.matter: state for state in trace.beliefs}
            assert set(states) == {'configuration', 'daemon vm2'}
            assert states['configuration'].message == 'running version 7'
            assert round(states['configuration'].age, 3) == 3.6
            text = '\n'.join(format_trace(trace).lines)
            assert 'decided by VM6008 at vm1' in text
        case Failure(error):
            raise AssertionError(error)


def test_failed_nested_call_is_the_cause_of_the_request():
    lines, _ = decode_lines(
        [
            encode_line(1, 'vm1', 'VM6008', 'nested refused', request='a.b'),
            encode_line(2, 'vm2', 'VM6008', 'failed with 500', request='a'),
        ],
    )
    trace = trace_request('a', lines).unwrap()
    assert trace.cause.request == 'a.b'
    assert len(trace.lines) == 2


def test_unknown_id_and_wrong_format_give_different_errors():
    lines, unreadable = decode_lines(LOG)
    missing = trace_request('xyz', lines, unreadable).failure()
    assert missing.code is ExitCode.NOT_FOUND
    assert 'no line of 7' in missing.message
    decoded, skipped = decode_lines(['plain text', 'more'])
    wrong = trace_request('abc', decoded, skipped).failure()
    assert 'format = "json"' in wrong.action


def test_command_reads_log_files(run, tmp_path):
    file = tmp_path / 'vm1.log'
    file.write_text('\n'.join(LOG))
    result = run('explain', 'abc', str(file))
    assert result.exit_code == ExitCode.OK
    assert 'no slot in time' in result.stdout
    missing = run('explain', 'abc', str(tmp_path / 'none.log'))
    assert missing.exit_code == ExitCode.USAGE
    assert 'cannot be read' in missing.stderr


def test_trace_of_a_blocked_request_lists_its_crashes():
    lines, _ = decode_lines(
        [
            encode_line(
                1, 'vm2', 'VM6013', 'crashed', fingerprints=['ab', 'cd']
            ),
            encode_line(2, 'vm3', 'VM6013', 'crashed', fingerprints=['cd']),
            encode_line(3, 'vm1', 'VM6014', 'blocked', fingerprint='cd'),
            encode_line(3, 'vm9', 'VM6014', 'blocked', fingerprint='cd'),
            encode_line(3, 'vm1', 'VM6014', 'blocked', fingerprint='ab'),
            encode_line(
                4, 'vm1', 'VM6008', 'blocked', request='r', fingerprint='cd'
            ),
        ],
    )
    trace = trace_request('r', lines).unwrap()
    assert [line.vm for line in trace.crashes] == ['vm2', 'vm3', 'vm1']
    assert 'crashes of upstreams' in '\n'.join(format_trace(trace).lines)
