"""`verbenamill explain`: from a request's id to what decided it."""

import json

from returns.result import Failure, Success

from verbenamill_cli.errors import ExitCode
from verbenamill_cli.request_trace import (
    decode_lines,
    format_trace,
    trace_request,
)


def line(second, source, code, message, **fields):
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
    line(1, 'vm1', 'VM2003', 'running version 7', version=7),
    line(2, 'vm2', 'VM2003', 'running version 8', version=8),
    line(3, 'vm1', 'VM4006', 'daemon vm2 drains', vm='vm2'),
    line(3, 'vm1', 'VM4006', 'daemon vm9 is ready', vm='vm9'),
    line(5, 'vm1', 'VM2003', 'running version 9', version=9),
    line(4.5, 'vm2', 'VM6011', 'refused here', request='abc'),
    line(
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


def test_the_story_is_in_order_with_what_was_believed():
    lines, unreadable = decode_lines(LOG)
    assert unreadable == 2
    match trace_request('abc', lines, unreadable):
        case Success(story):
            assert [one.vm for one in story.lines] == ['vm2', 'vm1']
            assert story.cause.fields['reason'] == 'no slot in time'
            beliefs = {one.matter: one for one in story.beliefs}
            assert set(beliefs) == {'configuration', 'daemon vm2'}
            assert beliefs['configuration'].message == 'running version 7'
            assert round(beliefs['configuration'].age, 3) == 3.6
            text = '\n'.join(format_trace(story).lines)
            assert 'decided by VM6008 at vm1' in text
        case Failure(error):
            raise AssertionError(error)


def test_a_nested_call_explains_the_request_that_made_it():
    lines, _ = decode_lines(
        [
            line(1, 'vm1', 'VM6008', 'nested refused', request='a.b'),
            line(2, 'vm2', 'VM6008', 'failed with 500', request='a'),
        ],
    )
    story = trace_request('a', lines).unwrap()
    assert story.cause.request == 'a.b'
    assert len(story.lines) == 2


def test_an_unknown_id_and_another_format_are_told_apart():
    lines, unreadable = decode_lines(LOG)
    missing = trace_request('xyz', lines, unreadable).failure()
    assert missing.code is ExitCode.NOT_FOUND
    assert 'no line of 7' in missing.message
    other, faulty = decode_lines(['plain text', 'more'])
    wrong = trace_request('abc', other, faulty).failure()
    assert 'format = "json"' in wrong.action


def test_the_command(run, tmp_path):
    file = tmp_path / 'vm1.log'
    file.write_text('\n'.join(LOG))
    found = run('explain', 'abc', str(file))
    assert found.exit_code == ExitCode.OK
    assert 'no slot in time' in found.stdout
    missing = run('explain', 'abc', str(tmp_path / 'none.log'))
    assert missing.exit_code == ExitCode.USAGE
    assert 'cannot be read' in missing.stderr


def test_the_crashes_under_a_blocked_request_are_told():
    lines, _ = decode_lines(
        [
            line(1, 'vm2', 'VM6013', 'crashed', fingerprints=['ab', 'cd']),
            line(2, 'vm3', 'VM6013', 'crashed', fingerprints=['cd']),
            line(3, 'vm1', 'VM6014', 'blocked', fingerprint='cd'),
            line(3, 'vm9', 'VM6014', 'blocked', fingerprint='cd'),
            line(3, 'vm1', 'VM6014', 'blocked', fingerprint='ab'),
            line(4, 'vm1', 'VM6008', 'blocked', request='r', fingerprint='cd'),
        ],
    )
    story = trace_request('r', lines).unwrap()
    assert [one.vm for one in story.crashes] == ['vm2', 'vm3', 'vm1']
    assert 'crashes of upstreams' in '\n'.join(format_trace(story).lines)
