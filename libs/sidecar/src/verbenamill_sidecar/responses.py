"""Answers of our own, and requests that are refused for their own sake."""

import math
from http import HTTPStatus
from random import Random

import msgspec
from msgspec import Struct

from verbenamill_http.messages import RequestHead
from verbenamill_http.server import Response

#: Shortest and longest hint for when to come back, in seconds.
_SHORTEST_HINT = 0.05
_LONGEST_HINT = 2.0
#: Random part of a hint: those refused together must not return together.
_HINT_SPREAD = 0.5
#: Hint while no configuration is known, or no owner, in seconds.
_UNKNOWN_HINT = 0.3
#: Hint for a request that is blocked, nobody knows for how long, in seconds.
_BLOCKED_HINT = 60


class _Problem(Struct):
    """Body of an answer of our own."""

    status: int
    reason: str


def error_response(status: HTTPStatus, reason: str) -> Response:
    """An answer of our own."""
    problem = _Problem(status.value, reason)
    return Response(
        status=status.value,
        headers=[(b'content-type', b'application/json')],
        body=msgspec.json.encode(problem),
    )


def come_back(reason: str, wait: float, random: Random) -> Response:
    """Refuse a request that has not run, and say when to come back.

    :param wait: until there may be room, in seconds; 0 if nobody knows.
    """
    hint = wait or _UNKNOWN_HINT
    hint *= 1 + _HINT_SPREAD * random.random()
    hint = min(max(hint, _SHORTEST_HINT), _LONGEST_HINT)
    response = error_response(HTTPStatus.SERVICE_UNAVAILABLE, reason)
    told = math.ceil(hint * 1000) / 1000
    response.headers.append((b'retry-after', b'%.3f' % told))
    return response


def refuse_blocked(reason: str, wait: float) -> Response:
    """Refuse a request that is not to come back for long.

    :param wait: until it may run again, in seconds; 0 if nobody knows.
    """
    response = error_response(HTTPStatus.SERVICE_UNAVAILABLE, reason)
    told = math.ceil(wait) or _BLOCKED_HINT
    response.headers.append((b'retry-after', b'%d' % told))
    return response


def find_fault(head: RequestHead) -> Response | None:
    """Why a request is refused for its own sake, if it is.

    What two parsers may read in two ways is refused: an upstream that sees
    other requests than we do can be made to run them unchecked.
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
