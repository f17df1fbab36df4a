"""Pace of upstreams in messages, also to and from daemons without it."""

import msgspec
import pytest

from verbenamill_http.client import ClientResponse
from verbenamill_policy.pace import PaceReport
from verbenamill_sidecar.membership.datagrams import (
    Alive,
    decode_message,
    encode_message,
)
from verbenamill_sidecar.routing.call import ExecutionStatus, Outcome, not_run
from verbenamill_sidecar.routing.hop import (
    PACE_HEADER,
    encode_outcome,
    read_outcome,
)


class FormerAlive(msgspec.Struct, tag='l', array_like=True):
    """The answer to a load probe before it had a pace."""

    sender: str
    load: int = -1


def transmit(outcome, *headers):
    response = encode_outcome(outcome)
    return read_outcome(
        ClientResponse(
            status=response.status,
            headers=[*response.headers, *headers],
            body=response.body,
        )
    )


def test_a_former_daemon_reads_an_answer_with_a_pace():
    """Guards against load probes that fail during an upgrade."""
    data = encode_message(Alive('vm1', 3, PaceReport(250, 12)))
    decoded = msgspec.msgpack.decode(data, type=FormerAlive)
    assert decoded == FormerAlive('vm1', 3)


def test_the_answer_of_a_former_daemon_has_no_pace():
    """Guards against load probes that fail during an upgrade."""
    data = msgspec.msgpack.encode(FormerAlive('vm1', 3))
    assert decode_message(data) == Alive('vm1', 3)


def test_an_answer_without_a_pace_is_as_long_as_before():
    """Guards against bytes for a figure that no upstream reports."""
    assert encode_message(Alive('vm1', 3)) == msgspec.msgpack.encode(
        FormerAlive('vm1', 3)
    )


def test_an_answer_carries_the_pace():
    message = Alive('vm1', 3, PaceReport(250, 12))
    assert decode_message(encode_message(message)) == message


def test_a_response_carries_the_pace_to_the_ingress_only():
    """Guards against a header of the mesh in the caller's response."""
    answer = ClientResponse(status=200, headers=[(b'a', b'b')], body=b'x')
    outcome = Outcome(
        execution=ExecutionStatus.ANSWERED,
        answer=answer,
        pace=PaceReport(250, 12),
    )
    decoded = transmit(outcome)
    assert decoded.pace == PaceReport(250, 12)
    assert decoded.answer.headers == [(b'a', b'b')]


def test_a_response_without_a_pace_has_no_header_for_it():
    """Guards against bytes for a figure that no upstream reports."""
    response = encode_outcome(not_run('no slot in time'))
    assert PACE_HEADER not in dict(response.headers)


@pytest.mark.parametrize('value', [b'', b'250', b'["x"]', b'[1e999]', b'\xff'])
def test_a_malformed_pace_does_not_invalidate_the_response(value):
    """Guards against an answer that is lost for the sake of its pace."""
    decoded = transmit(not_run('no slot'), (PACE_HEADER, value))
    assert decoded.reason == 'no slot'
    assert decoded.pace is None
