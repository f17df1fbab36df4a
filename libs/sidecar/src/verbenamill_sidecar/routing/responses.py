"""Responses that the daemon itself makes, and checks of request heads."""

import math
from http import HTTPStatus
from random import Random

import msgspec
from msgspec import Struct

from verbenamill_http.messages import RequestHead
from verbenamill_http.server import Response

#: Shortest and longest retry hint, in seconds.
_SHORTEST_HINT = 0.05
_LONGEST_HINT = 2.0
#: Random share that is added to a hint, so that requests that were refused
#: together aren't retried together.
_HINT_SPREAD = 0.5
#: Hint while the configuration or the owners are unknown, in seconds.
_UNKNOWN_HINT = 0.3
#: Hint for a blocked request if the end of the block is unknown, in seconds.
_BLOCKED_HINT = 60


class _ErrorBody(Struct):
    """Body of an error response."""

    status: int
    reason: str


def error_response(status: HTTPStatus, reason: str) -> Response:
    """Make an error response with a JSON body."""
    error_body = _ErrorBody(status.value, reason)
    return Response(
        status=status.value,
        headers=[(b'content-type', b'application/json')],
        body=msgspec.json.encode(error_body),
    )


def retry_later_response(reason: str, wait: float, random: Random) -> Response:
    """Refuse a request that has not run, with a hint when to retry it.

    :param wait: expected time until there is room, in seconds; 0 if unknown.
    """
    response = error_response(HTTPStatus.SERVICE_UNAVAILABLE, reason)
    _add_hint(response, wait, random)
    return response


def over_quota_response(reason: str, wait: float, random: Random) -> Response:
    """Refuse a request beyond the quota of its organisation.

    :param wait: time until the quota has room, in seconds; 0 if unknown.
    """
    response = error_response(HTTPStatus.TOO_MANY_REQUESTS, reason)
    _add_hint(response, wait, random)
    return response


def _add_hint(response: Response, wait: float, random: Random) -> None:
    hint = wait or _UNKNOWN_HINT
    hint *= 1 + _HINT_SPREAD * random.random()
    hint = min(max(hint, _SHORTEST_HINT), _LONGEST_HINT)
    retry_after = math.ceil(hint * 1000) / 1000
    response.headers.append((b'retry-after', b'%.3f' % retry_after))


def blocked_response(reason: str, wait: float) -> Response:
    """Refuse a blocked request, with a hint when the block ends.

    :param wait: remaining time of the block, in seconds; 0 if unknown.
    """
    response = error_response(HTTPStatus.SERVICE_UNAVAILABLE, reason)
    retry_after = math.ceil(wait) or _BLOCKED_HINT
    response.headers.append((b'retry-after', b'%d' % retry_after))
    return response


def validate_head(head: RequestHead) -> Response | None:
    """Return an error response for an invalid request head, else ``None``.

    Ambiguous heads are rejected: if the upstream parsed a head differently from
    the daemon, requests could be smuggled past the daemon's checks.
    """
    if head.version != '1.1':
        return error_response(
            HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
            f'HTTP/{head.version} is not supported; use HTTP/1.1',
        )
    hosts = 0
    lengths = 0
    encodings: list[bytes] = []
    for name, value in head.headers:
        hosts += name == b'host'
        lengths += name == b'content-length'
        if name == b'transfer-encoding':
            encodings.append(value.lower())
    if hosts != 1:
        return error_response(HTTPStatus.BAD_REQUEST, 'send one Host header')
    if encodings and (encodings != [b'chunked'] or lengths):
        return error_response(
            HTTPStatus.BAD_REQUEST,
            'a body has a length or is chunked, and nothing else',
        )
    if not head.target.startswith(b'/'):
        return error_response(
            HTTPStatus.BAD_REQUEST, 'the target must be a path'
        )
    return None
