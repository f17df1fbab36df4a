"""Checks of a caller's request, and the call that it asks for."""

from collections.abc import Callable, Iterator
from datetime import timedelta
from hashlib import blake2b
from http import HTTPStatus

from verbenamill_calls.attempts import DEADLINE_HEADER
from verbenamill_calls.body import Body
from verbenamill_calls.call import Call, Fate, Refusal, refuse
from verbenamill_http.messages import (
    CHUNKED,
    TRANSFER_ENCODING,
    Header,
    RequestHead,
    end_to_end_headers,
    get_header,
)
from verbenamill_calls.routing import is_idempotent
from verbenamill_calls.settings import CallSettings
from verbenamill_model.tickets import Route
from verbenamill_model.typing import RequestId, VersionName

_IDEMPOTENCY_KEY = b'idempotency-key'
_MAX_KEY = 255
_EXPECT = b'expect'


def find_fault(head: RequestHead, settings: CallSettings) -> Refusal | None:
    """Why a request is refused for its own sake, if it is.

    What two parsers may read in two ways is refused, since an upstream that
    sees other requests than we do can be made to run them unchecked.
    """
    return next(_find_faults(head, settings), None)


def _find_faults(
    head: RequestHead,
    settings: CallSettings,
) -> Iterator[Refusal]:
    if head.version != '1.1':
        yield _fail(
            HTTPStatus.HTTP_VERSION_NOT_SUPPORTED,
            f'HTTP/{head.version} is not supported; use HTTP/1.1',
        )
    if _has_odd_encoding(head):
        yield _fail(
            HTTPStatus.NOT_IMPLEMENTED,
            'the only transfer encoding supported is chunked',
        )
    if sum(name == b'host' for name, _ in head.headers) != 1:
        yield _fail(HTTPStatus.BAD_REQUEST, 'send one Host header')
    if not _is_plain_path(head.target):
        yield _fail(
            HTTPStatus.BAD_REQUEST,
            'the target must be a path without "." and ".." segments',
        )
    length = head.framing.length
    if length is not None and length > settings.max_body:
        yield _fail(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f'a body of {length} bytes is longer than {settings.max_body}',
        )


def wants_continue(head: RequestHead) -> bool:
    """Whether the sender waits for a word before it sends the body."""
    expected = get_header(head.headers, _EXPECT)
    return expected is not None and expected.lower() == b'100-continue'


def deadline_of(
    head: RequestHead,
    route: Route,
    now: timedelta,
) -> tuple[timedelta, bool]:
    """When a call must have ended, and whether its caller shortened that."""
    told = get_header(head.headers, DEADLINE_HEADER)
    if told is None or not told.isdigit():
        return now + route.timeout, False
    wanted = timedelta(milliseconds=min(int(told[:12]), 10**9))
    return now + min(wanted, route.timeout), wanted < route.timeout


def make_call(
    head: RequestHead,
    route: Route,
    body: Body,
    *,
    caller: str,
    deadline: timedelta,
    is_shortened: bool,
    is_gone: Callable[[], bool],
) -> Call | Refusal:
    """The call that a request asks for."""
    key = get_header(head.headers, _IDEMPOTENCY_KEY)
    if key is not None and not 0 < len(key) <= _MAX_KEY:
        return _fail(
            HTTPStatus.BAD_REQUEST,
            f'an idempotency key has 1 to {_MAX_KEY} bytes',
        )
    # A key asks for one run only, whatever the route says of repeating.
    idempotent = key is None and is_idempotent(route, head.method)
    return Call(
        id=RequestId(''),
        route=route.name,
        service=route.service,
        version=VersionName(''),
        priority=route.priority,
        idempotent=idempotent,
        deadline=deadline,
        caller=caller,
        method=head.method,
        target=head.target,
        headers=clean_headers(head),
        body=body,
        is_gone=is_gone,
        key=None if key is None else _scope_key(head, route, key),
        is_shortened=is_shortened,
    )


def clean_headers(head: RequestHead) -> list[Header]:
    """Headers of a request that go on to the upstream."""
    return [
        pair
        for pair in end_to_end_headers(head.headers)
        if pair[0] != DEADLINE_HEADER and pair[0] != _EXPECT
    ]


def _scope_key(head: RequestHead, route: Route, key: bytes) -> str:
    """Key that two callers cannot share, as they would share its answer."""
    identity = get_header(head.headers, b'authorization') or b''
    cookie = get_header(head.headers, b'cookie') or b''
    digest = blake2b(digest_size=16)
    for part in (route.service.encode(), identity, cookie, key):
        digest.update(b'%d:%b' % (len(part), part))
    return digest.hexdigest()


def _has_odd_encoding(head: RequestHead) -> bool:
    if head.framing is not CHUNKED:
        return False
    encodings = [
        value.lower()
        for name, value in head.headers
        if name == TRANSFER_ENCODING
    ]
    return encodings != [b'chunked']


def _is_plain_path(target: bytes) -> bool:
    if not target.startswith(b'/'):
        return False
    if b'.' not in target and b'%' not in target and b'\\' not in target:
        return True
    # `/public/../private` takes the route of one path at us and may run the
    # other at the upstream.
    path = target.partition(b'?')[0].lower()
    plain = path.replace(b'%2e', b'.').replace(b'%2f', b'/')
    plain = plain.replace(b'%5c', b'/').replace(b'\\', b'/')
    segments = plain.split(b'/')
    return b'.' not in segments and b'..' not in segments


def _fail(status: HTTPStatus, reason: str) -> Refusal:
    return refuse(status, Fate.FAILED, reason)
