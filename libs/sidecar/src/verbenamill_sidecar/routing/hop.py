"""Headers that daemons add to a forwarded request and to its response.

A request is forwarded between daemons once at most: a daemon that receives one
with these headers runs it on its own upstream or refuses it, so no loops arise.
"""

import math
from typing import Annotated
from urllib.parse import quote, unquote

import msgspec
from msgspec import Meta, Struct

from verbenamill_http.client import ClientResponse
from verbenamill_http.messages import Header, end_to_end_headers, get_header
from verbenamill_http.server import Response
from verbenamill_model.external import (
    MAX_DURATION_MS,
    DurationMs,
    InstanceField,
    Load,
    Number,
    NumberOrNone,
    PriorityNumber,
    RouteField,
    ServiceField,
    TextField,
    UnixMs,
    VersionField,
    decode_external,
)
from verbenamill_model.typing import OrganisationName
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.organisations import NO_KEY, KeyFingerprint
from verbenamill_policy.pace import PaceReport
from verbenamill_policy.quarantine import CrashId
from verbenamill_policy.routes import RouteKind
from verbenamill_sidecar.routing.call import ExecutionStatus, Outcome
from verbenamill_sidecar.state.desired_state import NO_STAMP, VersionStamp

#: Text that a header can hold.
_HeaderText = Annotated[str, Meta(pattern=r'^[^\x00\r\n\u0100-\U0010ffff]*\Z')]
_StampField = tuple[NumberOrNone, NumberOrNone]

CALL_HEADER = b'verbenamill-call'
OWNER_HEADER = b'verbenamill-owner'
#: On a response, the pace of the upstream: the figure and its age.
PACE_HEADER = b'verbenamill-pace'
#: Requests the configuration that a daemon runs.
FETCH_HEADER = b'verbenamill-fetch'
ORGANISATION_HEADER = b'verbenamill-organisation'

_NOT_RUN_STATUS = 503
_UNKNOWN_STATUS = 502
_HEXADECIMAL = 16


class HopCall(Struct, frozen=True, kw_only=True, array_like=True):
    """Metadata of a request that is forwarded to its owner.

    Times are durations in milliseconds, as the clocks of daemons differ.

    :param instance: the upstream instance that the request is meant for.
    :param sender: VM and incarnation of the daemon that sends the request.
    :param sent: time of sending on the sender's monotonic clock.
    :param is_alone: whether the request is suspected of crashes and isolated.
    :param born: start of that upstream, Unix time in milliseconds.
    :param limit: the upstream's limit as known to the sender. A daemon that
        was restarted since then may have lost it.
    :param stamp: version stamp of the sender's desired state.
    """

    id: _HeaderText
    route: RouteField
    kind: RouteKind
    priority: PriorityNumber
    service: ServiceField
    version: VersionField
    instance: InstanceField
    origin: _HeaderText
    objective: DurationMs
    deadline: DurationMs
    is_nested: bool = False
    sender: TextField = ''
    sent: Number = 0
    is_alone: bool = False
    born: UnixMs = 0
    limit: RateLimit | None = None
    stamp: _StampField = NO_STAMP


class OrganisationClaim(Struct, frozen=True):
    """The organisation that the sender of a request found for it.

    :param name: empty if there is none.
    :param key: fingerprint of the key that identified it.
    """

    name: OrganisationName = OrganisationName('')
    key: KeyFingerprint = NO_KEY


NO_ORGANISATION = OrganisationClaim()


class OwnerReport(Struct, kw_only=True, array_like=True):
    """Metadata that an owner adds to its response.

    :param service_time: time at the upstream in milliseconds; -1 if unknown.
    :param mean_service_time: mean of the route at this upstream in
        milliseconds; -1 if unknown.
    :param wait: expected time until a slot is free, in milliseconds.
    :param crash: id of the crash during the request; empty if there was none.
    :param blocked: whether the request is refused because of crashes under it.
    :param limit: the limit that the upstream names, if it names one.
    :param knows_limit: whether the owner knows if the upstream has a limit.
    :param pause: time until the limit admits such a request, in milliseconds.
    :param has_left: whether the upstream has announced that it ends.
    :param stamp: version stamp of the owner's desired state.
    """

    load: Load
    execution: ExecutionStatus
    service_time: DurationMs = -1
    reason: str = ''
    wait: DurationMs = 0
    reached: bool = False
    everywhere: bool = False
    mean_service_time: DurationMs = -1
    crash: str = ''
    blocked: bool = False
    limit: RateLimit | None = None
    pause: DurationMs = 0
    has_left: bool = False
    knows_limit: bool = False
    stamp: _StampField = NO_STAMP


_call_decoder = msgspec.json.Decoder(HopCall)
_report_decoder = msgspec.json.Decoder(OwnerReport)
_pace_decoder = msgspec.json.Decoder(PaceReport)
_encoder = msgspec.json.Encoder()


def encode_hop(hop: HopCall) -> Header:
    """Encode the header of a request that is forwarded to its owner."""
    return CALL_HEADER, _encoder.encode(hop)


def read_hop(headers: list[Header]) -> HopCall | None:
    """Decode the header of a forwarded request, ``None`` if not valid."""
    encoded = get_header(headers, CALL_HEADER)
    if encoded is None:
        return None
    try:
        return decode_external(_call_decoder, encoded)
    except msgspec.MsgspecError:
        return None


def encode_claim(claim: OrganisationClaim) -> Header:
    """Encode the header with the organisation of a forwarded request.

    The name is arbitrary text and therefore percent-encoded.
    """
    name = quote(claim.name, safe='')
    return ORGANISATION_HEADER, f'{name} {claim.key:016x}'.encode()


def read_claim(headers: list[Header]) -> OrganisationClaim | None:
    """Decode the organisation of a forwarded request.

    Further fields are ignored: a later version of the software may add them.

    :returns: :data:`NO_ORGANISATION` if the sender found none, and ``None`` if
        the header is not valid.
    """
    encoded = get_header(headers, ORGANISATION_HEADER)
    if encoded is None:
        return NO_ORGANISATION
    try:
        name, fingerprint = encoded.decode('ascii').split(' ')[:2]
        return OrganisationClaim(
            OrganisationName(unquote(name, errors='strict')),
            KeyFingerprint(int(fingerprint, _HEXADECIMAL)),
        )
    except ValueError:
        return None


def encode_outcome(
    outcome: Outcome, stamp: VersionStamp = NO_STAMP
) -> Response:
    """Encode an owner's response to a forwarded request.

    :param stamp: version stamp of the owner's desired state.
    """
    service_time = outcome.service_time
    mean_service_time = outcome.mean_service_time
    report = OwnerReport(
        load=outcome.load,
        execution=outcome.execution,
        service_time=-1 if service_time is None else _to_ms(service_time),
        mean_service_time=-1
        if mean_service_time is None
        else _to_ms(mean_service_time),
        reason=outcome.reason,
        wait=_to_ms(outcome.wait),
        reached=outcome.reached,
        everywhere=outcome.everywhere,
        crash=outcome.crash or '',
        blocked=outcome.blocked,
        limit=outcome.limit,
        pause=_to_ms(outcome.pause, round_up=True),
        has_left=outcome.has_left,
        knows_limit=outcome.knows_limit,
        stamp=stamp,
    )
    report_headers = [(OWNER_HEADER, _encoder.encode(report))]
    if outcome.pace is not None:
        report_headers.append((PACE_HEADER, _encoder.encode(outcome.pace)))
    answer = outcome.answer
    if answer is None:
        refused = outcome.execution is ExecutionStatus.NOT_RUN
        status = _NOT_RUN_STATUS if refused else _UNKNOWN_STATUS
        return Response(status=status, headers=report_headers)
    return Response(
        status=answer.status,
        headers=[*end_to_end_headers(answer.headers), *report_headers],
        body=answer.body,
        length=answer.length,
    )


def _to_ms(seconds: float, *, round_up: bool = False) -> int:
    """Convert a duration, which is infinite where no end is known."""
    milliseconds = min(seconds * 1000, MAX_DURATION_MS)
    return math.ceil(milliseconds) if round_up else int(milliseconds)


def read_outcome(answer: ClientResponse) -> Outcome | None:
    """Decode an owner's response; ``None`` if no owner has sent it."""
    encoded = get_header(answer.headers, OWNER_HEADER)
    if encoded is None:
        return None
    try:
        report = decode_external(_report_decoder, encoded)
    except msgspec.MsgspecError:
        return None
    outcome = Outcome(
        execution=report.execution,
        reason=report.reason,
        wait=report.wait / 1000,
        reached=report.reached,
        everywhere=report.everywhere,
        service_time=None
        if report.service_time < 0
        else report.service_time / 1000,
        mean_service_time=None
        if report.mean_service_time < 0
        else report.mean_service_time / 1000,
        load=report.load,
        pace=_read_pace(answer.headers),
        crash=CrashId(report.crash) if report.crash else None,
        blocked=report.blocked,
        limit=report.limit,
        pause=report.pause / 1000,
        has_left=report.has_left,
        knows_limit=report.knows_limit,
        stamp=report.stamp,
    )
    if report.execution is ExecutionStatus.ANSWERED:
        answer.headers = end_to_end_headers(answer.headers)
        outcome.answer = answer
    return outcome


def _read_pace(headers: list[Header]) -> PaceReport | None:
    encoded = get_header(headers, PACE_HEADER)
    if encoded is None:
        return None
    try:
        return decode_external(_pace_decoder, encoded)
    except msgspec.MsgspecError:
        return None
