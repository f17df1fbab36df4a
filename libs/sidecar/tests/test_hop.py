"""Metadata of forwarded requests and of their responses."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_http.client import ClientResponse
from verbenamill_policy.limits import RateLimit
from verbenamill_sidecar.routing.call import ExecutionStatus, Outcome, not_run
from verbenamill_sidecar.routing.hop import (
    NO_ORGANISATION,
    ORGANISATION_HEADER,
    OrganisationClaim,
    encode_claim,
    encode_outcome,
    read_claim,
    read_outcome,
)


def response_of(response):
    return ClientResponse(
        status=response.status,
        headers=response.headers,
        body=response.body,
        is_reusable=True,
    )


def test_an_owner_reports_its_mean_service_time():
    # One response was slow by chance. The ingress compares owners by the mean
    # that comes with the response; if it used the single time, it would send
    # the next requests to another zone.
    outcome = Outcome(
        execution=ExecutionStatus.ANSWERED,
        answer=ClientResponse(
            status=200, headers=[], body=b'x', is_reusable=True
        ),
        service_time=0.9,
        mean_service_time=0.15,
        reached=True,
        load=7,
    )
    decoded = read_outcome(response_of(encode_outcome(outcome)))
    assert (decoded.service_time, decoded.mean_service_time, decoded.load) == (
        0.9,
        0.15,
        7,
    )


def test_a_refusal_reports_no_service_times():
    response = encode_outcome(not_run('no slot in time', wait=0.25))
    decoded = read_outcome(response_of(response))
    assert decoded.execution is ExecutionStatus.NOT_RUN
    assert (decoded.service_time, decoded.mean_service_time, decoded.wait) == (
        None,
        None,
        0.25,
    )


@pytest.mark.parametrize('wait', [1e30, float('inf')])
def test_a_refusal_without_an_end_is_readable(wait):
    """Guards against a refusal that its ingress takes for no answer."""
    refused = not_run('the upstream is at its limit', wait=wait)
    refused.pause = wait
    decoded = read_outcome(response_of(encode_outcome(refused)))
    assert decoded.execution is ExecutionStatus.NOT_RUN
    assert decoded.wait > 1e6
    assert decoded.pause > 1e6


def test_a_reply_reports_the_limit_and_when_it_has_room():
    limit = RateLimit(2.5, 1000)
    refused = not_run('the upstream is at its limit', wait=0.4)
    refused.limit = limit
    refused.knows_limit = True
    refused.pause = 0.4
    decoded = read_outcome(response_of(encode_outcome(refused)))
    assert (decoded.limit, decoded.pause) == (limit, 0.4)
    assert decoded.knows_limit


def test_a_reply_distinguishes_no_limit_from_an_unknown_limit():
    """Guards against a restarted daemon that clears a limit it doesn't know."""
    refused = not_run('no upstream is known')
    decoded = read_outcome(response_of(encode_outcome(refused)))
    assert decoded.limit is None
    assert not decoded.knows_limit


@settings(derandomize=True, deadline=None)
@given(st.text(min_size=1, max_size=20), st.integers(0, 2**64 - 1))
def test_any_name_of_an_organisation_survives_the_hop(name, key):
    """Guards against a name that ends the header or becomes another one."""
    claim = OrganisationClaim(name, key)
    header, encoded = encode_claim(claim)
    assert encoded.isascii()
    assert encoded.decode().isprintable()
    assert read_claim([(header, encoded)]) == claim
    # A later version of the software may add fields.
    assert read_claim([(header, encoded + b' more')]) == claim


@pytest.mark.parametrize('encoded', [b'', b'a', b'a x', b'%ff 1', b'\xc3 1'])
def test_a_garbled_organisation_is_not_taken_for_none(encoded):
    """Guards against a request that runs without its organisation's name."""
    assert read_claim([(ORGANISATION_HEADER, encoded)]) is None
    assert read_claim([]) == NO_ORGANISATION
