"""What goes back to a caller or to the daemon that passed a call on."""

import math
from datetime import timedelta

import msgspec
from msgspec import Struct

from verbenamill_calls.body import Limits, Relayed, relay
from verbenamill_calls.call import Fate, Refusal, Reply
from verbenamill_http.connection import HttpConnection
from verbenamill_http.messages import (
    EMPTY_BODY,
    Framing,
    Header,
    ResponseHead,
    encode_response,
    end_to_end_headers,
)

OUTCOME_HEADER = b'verbenamill-outcome'
_FIRST_RETRY = timedelta(seconds=1)


class _Problem(Struct):
    """Body of a refusal."""

    outcome: Fate
    reason: str
    status: int
    retry_after_ms: int | None = None


def encode_refusal(refusal: Refusal, *, close: bool) -> bytes:
    """A refusal as a caller gets it."""
    hint = refusal.retry_after
    if hint is None and refusal.fate is Fate.NOT_RUN:
        hint = _FIRST_RETRY
    problem = _Problem(refusal.fate, refusal.reason, refusal.status)
    headers: list[Header] = [
        (OUTCOME_HEADER, refusal.fate.value.encode()),
        (b'content-type', b'application/json'),
    ]
    if hint is not None:
        problem.retry_after_ms = hint // timedelta(milliseconds=1)
        seconds = max(math.ceil(hint.total_seconds()), 1)
        headers.append((b'retry-after', b'%d' % seconds))
    body = msgspec.json.encode(problem)
    head = ResponseHead(
        status=refusal.status,
        headers=headers,
        framing=Framing(len(body)),
        keep_alive=not close,
    )
    return encode_response(head, close=close) + body


def encode_report_only(report: Header, *, status: int, close: bool) -> bytes:
    """A reply between daemons that has no body."""
    head = ResponseHead(
        status=status,
        headers=[report],
        framing=EMPTY_BODY,
        keep_alive=not close,
    )
    return encode_response(head, close=close)


async def send_reply(
    connection: HttpConnection,
    reply: Reply,
    *,
    extra: list[Header],
    limits: Limits,
    close: bool,
) -> Relayed:
    """Relay an answer; one that breaks off leaves the connection unusable.

    :param extra: headers of ours beside the upstream's.
    """
    head = reply.head
    out = ResponseHead(
        status=head.status,
        headers=end_to_end_headers(head.headers) + extra,
        framing=head.framing,
        keep_alive=not close,
        is_bodiless=head.is_bodiless,
    )
    return await relay(
        encode_response(out, close=close),
        reply.source,
        connection,
        None if head.is_bodiless else head.framing,
        limits=limits,
    )
