"""What daemons tell each other beside a request and its answer."""

from verbenamill_http.client import ClientResponse
from verbenamill_policy.limits import RateLimit
from verbenamill_sidecar.call import ExecutionStatus, Outcome, not_run
from verbenamill_sidecar.hop import encode_outcome, read_outcome


def answer_of(response):
    return ClientResponse(
        status=response.status,
        headers=response.headers,
        body=response.body,
        is_reusable=True,
    )


def test_an_owner_tells_its_own_mean_of_the_route():
    # One answer took long by chance. The ingress compares owners by the mean
    # that comes with it; with the single time, it would send the next
    # requests to another zone.
    outcome = Outcome(
        execution=ExecutionStatus.ANSWERED,
        answer=ClientResponse(
            status=200, headers=[], body=b'x', is_reusable=True
        ),
        took=0.9,
        usual=0.15,
        reached=True,
        load=7,
    )
    told = read_outcome(answer_of(encode_outcome(outcome)))
    assert (told.took, told.usual, told.load) == (0.9, 0.15, 7)


def test_a_refusal_tells_no_times():
    response = encode_outcome(not_run('no slot in time', wait=0.25))
    told = read_outcome(answer_of(response))
    assert told.execution is ExecutionStatus.NOT_RUN
    assert (told.took, told.usual, told.wait) == (None, None, 0.25)


def test_a_reply_tells_the_limit_and_when_it_has_room():
    limit = RateLimit(2.5, 1000)
    refused = not_run('the upstream is at its limit', wait=0.4)
    refused.limit = limit
    refused.knows_limit = True
    refused.pause = 0.4
    told = read_outcome(answer_of(encode_outcome(refused)))
    assert (told.limit, told.pause) == (limit, 0.4)
    assert told.knows_limit


def test_a_reply_tells_apart_no_limit_and_none_known():
    """Guards against a daemon that has just started and ends a limit."""
    refused = not_run('no upstream is known')
    told = read_outcome(answer_of(encode_outcome(refused)))
    assert told.limit is None
    assert not told.knows_limit
