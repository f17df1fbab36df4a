"""What a bench concludes from replies and upstreams' journals."""

from collections import Counter

import pytest

from verbenamill_bench.calls_made import (
    CallMade,
    CallPlan,
    Ending,
    find_broken,
    judge,
)
from verbenamill_standins import CallFault, Message, Reply, digest_body


def answer(status=200, **headers):
    return Reply(
        message=Message(
            status=status,
            headers={
                name.replace('_', '-'): text for name, text in headers.items()
            },
            body=b'',
            length=2,
            digest=digest_body(b'ok'),
            keep_alive=True,
        ),
    )


RIGHT = {
    'x_request_id': 'c-1',
    'x_body_digest': digest_body(b''),
    'x_answer_digest': digest_body(b'ok'),
}


@pytest.mark.parametrize(
    ('reply', 'ending'),
    [
        (answer(**RIGHT), Ending.OK),
        (answer(**{**RIGHT, 'x_request_id': 'c-2'}), Ending.WRONG),
        (answer(**{**RIGHT, 'x_answer_digest': 'cut'}), Ending.WRONG),
        (answer(status=500, **RIGHT), Ending.FAILED),
        (answer(status=503, verbenamill_outcome='not-run'), Ending.NOT_RUN),
        (answer(status=504, verbenamill_outcome='unknown'), Ending.UNKNOWN),
        (Reply(fault=CallFault.BROKEN), Ending.BROKEN),
    ],
)
def test_judge(reply, ending):
    assert judge('c-1', CallPlan(), reply) is ending


def made(number, ending, *, once=True):
    return CallMade(
        id=f'c-{number}',
        target='',
        once=once,
        intended=0,
        latency=0,
        ending=ending,
    )


def test_each_broken_promise_is_found():
    """Callers were told one thing and the upstreams' journals say another.

    Call 1 is a fee that posted twice, 2 ran although it was refused as not
    run, 3 was answered although none ran it, 4 got another one's answer.
    Call 5 is idempotent and may run twice; 6 is an honest refusal.
    """
    calls = [
        made(1, Ending.OK),
        made(2, Ending.NOT_RUN),
        made(3, Ending.OK),
        made(4, Ending.WRONG),
        made(5, Ending.OK, once=False),
        made(6, Ending.NOT_RUN),
    ]
    runs = Counter({'c-1': 2, 'c-2': 1, 'c-4': 1, 'c-5': 2})
    broken = find_broken(calls, runs)
    assert broken.doubled == 1
    assert broken.untrue_not_run == 1
    assert broken.lost == 1
    assert broken.wrong == 1
