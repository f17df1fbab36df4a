"""Headers that daemons put beside a request and its answer.

A request takes one hop between daemons at most: whoever gets one with these
headers runs it on the own upstream or refuses it, so loops cannot arise.
"""

import math

import msgspec
from msgspec import Struct

from verbenamill_http.client import ClientResponse
from verbenamill_http.messages import Header, end_to_end_headers, get_header
from verbenamill_http.server import Response
from verbenamill_model.typing import (
    RouteName,
    ServiceName,
    VersionName,
)
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.quarantine import CrashId
from verbenamill_policy.routes import RouteKind
from verbenamill_sidecar.call import ExecutionStatus, Outcome

CALL_HEADER = b'verbenamill-call'
OWNER_HEADER = b'verbenamill-owner'
#: Asks a daemon for the configuration that it runs.
FETCH_HEADER = b'verbenamill-fetch'

_NOT_RUN_STATUS = 503
_UNKNOWN_STATUS = 502


class HopCall(Struct, frozen=True, kw_only=True, array_like=True):
    """A request as it is passed to the owner.

    Times are spans in milliseconds, since clocks are not compared.

    :param instance: the upstream that it is meant for.
    :param sender: the daemon that sends it, with its incarnation.
    :param sent: when it leaves, on the sender's monotonic clock.
    :param is_alone: whether it is suspected of crashes, and runs alone.
    :param born: start of that upstream, Unix time in milliseconds.
    :param limit: that it has named, as the sender knows. A daemon that has
        started since may have forgotten it.
    """

    id: str
    route: RouteName
    kind: RouteKind
    priority: int
    service: ServiceName
    version: VersionName
    instance: str
    origin: str
    objective: int
    deadline: int
    is_nested: bool = False
    sender: str = ''
    sent: int = 0
    is_alone: bool = False
    born: int = 0
    limit: RateLimit | None = None


class OwnerReport(Struct, kw_only=True, array_like=True):
    """What an owner tells beside its reply.

    :param took: time at the upstream in milliseconds; -1 if not known.
    :param usual: mean time of the route there in milliseconds; -1 if not known.
    :param wait: when there may be room, in milliseconds.
    :param crash: of the upstream while it ran the request; empty if none.
    :param blocked: whether the request is refused for crashes under it.
    :param limit: that the upstream names, if it names one.
    :param knows_limit: whether the owner has anything to tell that by.
    :param pause: until that has room for such a request, in milliseconds.
    :param has_left: whether the upstream has said that it ends.
    """

    load: int
    execution: ExecutionStatus
    took: int = -1
    reason: str = ''
    wait: int = 0
    reached: bool = False
    everywhere: bool = False
    usual: int = -1
    crash: str = ''
    blocked: bool = False
    limit: RateLimit | None = None
    pause: int = 0
    has_left: bool = False
    knows_limit: bool = False


_calls = msgspec.json.Decoder(HopCall)
_reports = msgspec.json.Decoder(OwnerReport)
_encoder = msgspec.json.Encoder()


def encode_hop(hop: HopCall) -> Header:
    """Header of a request on its way to its owner."""
    return CALL_HEADER, _encoder.encode(hop)


def read_hop(headers: list[Header]) -> HopCall | None:
    """What a daemon tells of a request; ``None`` if it is none of ours."""
    told = get_header(headers, CALL_HEADER)
    if told is None:
        return None
    try:
        return _calls.decode(told)
    except msgspec.MsgspecError:
        return None


def encode_outcome(outcome: Outcome) -> Response:
    """Reply of an owner."""
    took = outcome.took
    usual = outcome.usual
    report = OwnerReport(
        load=outcome.load,
        execution=outcome.execution,
        took=-1 if took is None else int(took * 1000),
        usual=-1 if usual is None else int(usual * 1000),
        reason=outcome.reason,
        wait=int(outcome.wait * 1000),
        reached=outcome.reached,
        everywhere=outcome.everywhere,
        crash=outcome.crash or '',
        blocked=outcome.blocked,
        limit=outcome.limit,
        pause=math.ceil(outcome.pause * 1000),
        has_left=outcome.has_left,
        knows_limit=outcome.knows_limit,
    )
    told = (OWNER_HEADER, _encoder.encode(report))
    answer = outcome.answer
    if answer is None:
        refused = outcome.execution is ExecutionStatus.NOT_RUN
        status = _NOT_RUN_STATUS if refused else _UNKNOWN_STATUS
        return Response(status=status, headers=[told])
    return Response(
        status=answer.status,
        headers=[*end_to_end_headers(answer.headers), told],
        body=answer.body,
    )


def read_outcome(answer: ClientResponse) -> Outcome | None:
    """What an owner's reply says; ``None`` if it is no owner's."""
    told = get_header(answer.headers, OWNER_HEADER)
    if told is None:
        return None
    try:
        report = _reports.decode(told)
    except msgspec.MsgspecError:
        return None
    outcome = Outcome(
        execution=report.execution,
        reason=report.reason,
        wait=report.wait / 1000,
        reached=report.reached,
        everywhere=report.everywhere,
        took=None if report.took < 0 else report.took / 1000,
        usual=None if report.usual < 0 else report.usual / 1000,
        load=report.load,
        crash=CrashId(report.crash) if report.crash else None,
        blocked=report.blocked,
        limit=report.limit,
        pause=report.pause / 1000,
        has_left=report.has_left,
        knows_limit=report.knows_limit,
    )
    if report.execution is ExecutionStatus.ANSWERED:
        answer.headers = end_to_end_headers(answer.headers)
        outcome.answer = answer
    return outcome
