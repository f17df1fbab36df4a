"""Which answers are believed in what they say of their upstream."""

import pytest

from verbenamill_http.client import ClientResponse
from verbenamill_sidecar.in_band import InBand, read_in_band
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
)
SEAL = (b'seal', b's')


def read(*headers, status=200):
    answer = ClientResponse(status=status, headers=list(headers), body=b'')
    return read_in_band(answer, NAMES)


def test_a_sealed_answer_names_a_limit():
    assert read(SEAL, (b'limit', b'2.5')).limit == 2.5


def test_a_refusal_of_the_upstream_names_a_limit_and_ends_none():
    error_response = ((b'not-run', b'1'), (b'limit', b'2'))
    assert read(*error_response, status=503).limit == 2
    assert not read(error_response[0], status=503).names_none


@pytest.mark.parametrize('status', [200, 421])
def test_an_answer_of_somebody_else_says_nothing(status):
    """Guards against limits and leaves that are another upstream's."""
    said = read((b'limit', b'0'), (b'leaving', b'1'), status=status)
    assert said == InBand()


def test_a_sealed_answer_without_a_limit_ends_one():
    assert read(SEAL).names_none
    assert read(SEAL, status=404).names_none
    assert not read(SEAL, status=504).names_none


def test_a_limit_that_cannot_be_read_neither_names_nor_ends_one():
    """Guards against a burst at an upstream that misspells its limit."""
    assert read(SEAL, (b'limit', b'nan')) == InBand()


@pytest.mark.parametrize('value', [b'0', b'', b'true', b'11'])
def test_only_one_word_says_that_an_upstream_leaves(value):
    assert not read(SEAL, (b'leaving', value)).is_leaving
    assert read(SEAL, (b'leaving', b'1')).is_leaving
