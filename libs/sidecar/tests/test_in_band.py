"""Which responses are trusted to announce limits and leaves."""

import pytest

from verbenamill_http.client import ClientResponse
from verbenamill_sidecar.upstream.in_band import UpstreamSignals, read_signals
from verbenamill_sidecar.protocol import HeaderNames

NAMES = HeaderNames(
    request_id=b'id',
    deadline=b'deadline',
    seal=b'seal',
    instance=b'instance',
    load=b'load',
    not_run=b'not-run',
    caller=b'caller',
    limit=b'limit',
    leaving=b'leaving',
    cold=b'cold',
    instance_id=b'instance-id',
    key=b'key',
    organisation=b'organisation',
)
SEAL = (b'seal', b's')


def read_response(*headers, status=200):
    answer = ClientResponse(status=status, headers=list(headers), body=b'')
    return read_signals(answer, NAMES)


def test_a_sealed_response_names_a_limit():
    assert read_response(SEAL, (b'limit', b'2.5')).limit == 2.5


def test_a_refusal_may_name_a_limit_but_ends_none():
    upstream_refusal = ((b'not-run', b'1'), (b'limit', b'2'))
    assert read_response(*upstream_refusal, status=503).limit == 2
    assert not read_response(upstream_refusal[0], status=503).shows_no_limit


@pytest.mark.parametrize('status', [200, 421])
def test_a_response_of_another_server_has_no_signals(status):
    """Guards against applying the limit or leave of another upstream."""
    signals = read_response((b'limit', b'0'), (b'leaving', b'1'), status=status)
    assert signals == UpstreamSignals()


def test_a_sealed_response_without_a_limit_ends_it():
    assert read_response(SEAL).shows_no_limit
    assert read_response(SEAL, status=404).shows_no_limit
    assert not read_response(SEAL, status=504).shows_no_limit


def test_an_invalid_limit_neither_sets_nor_ends_a_limit():
    """Guards against a burst to an upstream whose limit is misspelt."""
    assert read_response(SEAL, (b'limit', b'nan')) == UpstreamSignals()


@pytest.mark.parametrize('value', [b'0', b'', b'true', b'11'])
def test_only_one_value_announces_a_leave(value):
    assert not read_response(SEAL, (b'leaving', value)).is_leaving
    assert read_response(SEAL, (b'leaving', b'1')).is_leaving


@pytest.mark.parametrize(
    ('value', 'pace'),
    [
        (b'3,0,9,250', 250),
        (b'3, 0, 9, 97.5', 97.5),
        (b'3 0 9 100 7', 100),
        (b'3,0,9', None),
        (b'3,0,9,', None),
        (b'3,0,9,nan', None),
        (b'3,0,9,inf', None),
        (b'3,0,9,-250', None),
        (b'', None),
    ],
)
def test_the_fourth_figure_of_the_load_is_the_pace(value, pace):
    """Guards against a malformed figure that is taken for a pace."""
    assert read_response(SEAL, (b'load', value)).pace == pace
    assert read_response((b'load', value)).pace is None
