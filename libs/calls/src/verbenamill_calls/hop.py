"""What daemons tell each other beside a call: headers between them.

A call takes one hop between daemons at most: whoever gets one with these
headers runs it on the own upstream or refuses it, so loops cannot arise.
"""

from datetime import timedelta

import msgspec
from msgspec import Struct

from verbenamill_calls.call import Call, Fate, Refusal
from verbenamill_http.messages import Header
from verbenamill_model.typing import (
    Priority,
    RequestId,
    RouteName,
    ServiceName,
    VersionName,
)

CALL_HEADER = b'verbenamill-call'
ASK_HEADER = b'verbenamill-ask'
OWNER_HEADER = b'verbenamill-owner'
ASK_TARGET = b'/'
_MILLISECOND = timedelta(milliseconds=1)


class HopCall(Struct, frozen=True, kw_only=True, array_like=True):
    """A call as ingress passes it to the owner.

    :param timeout: time left, in milliseconds; clocks are not compared.
    """

    id: RequestId
    route: RouteName
    service: ServiceName
    version: VersionName
    priority: Priority
    idempotent: bool
    timeout: int
    caller: str
    key: str | None = None
    is_shortened: bool = False


class HopAsk(Struct, frozen=True, kw_only=True, array_like=True):
    """A question of what became of a call.

    :param timeout: longest wait for the call's end, in milliseconds.
    """

    id: RequestId
    idempotent: bool
    timeout: int
    key: str | None = None


class Unreadable(Struct, frozen=True):
    """Headers of ours that no daemon would send."""


class HopRefusal(Struct, frozen=True, kw_only=True, array_like=True):
    """A refusal as the owner passes it to ingress."""

    status: int
    fate: Fate
    reason: str
    retry_after: int | None


class OwnerReport(Struct, frozen=True, kw_only=True, array_like=True):
    """What rides on each reply of an owner.

    :param calls: that run or wait there.
    :param slots: for them.
    :param remembers: how far back it knows every call that may not be
        repeated, in milliseconds.
    :param is_running: whether a call that was asked about runs.
    """

    calls: int
    slots: int
    remembers: int
    refusal: HopRefusal | None = None
    is_running: bool = False


_call_decoder = msgspec.json.Decoder(HopCall)
_ask_decoder = msgspec.json.Decoder(HopAsk)
_report_decoder = msgspec.json.Decoder(OwnerReport)
_encoder = msgspec.json.Encoder()


def encode_call(call: Call, now: timedelta) -> Header:
    """Header of a call on its way to the owner."""
    hop = HopCall(
        id=call.id,
        route=call.route,
        service=call.service,
        version=call.version,
        priority=call.priority,
        idempotent=call.idempotent,
        timeout=whole_milliseconds(call.deadline - now),
        caller=call.caller,
        key=call.key,
        is_shortened=call.is_shortened,
    )
    return CALL_HEADER, _encoder.encode(hop)


def encode_ask(ask: HopAsk) -> Header:
    """Header of a question."""
    return ASK_HEADER, _encoder.encode(ask)


def encode_report(report: OwnerReport) -> Header:
    """Header of an owner's reply."""
    return OWNER_HEADER, _encoder.encode(report)


def read_hop(headers: list[Header]) -> HopCall | HopAsk | Unreadable | None:
    """What a daemon tells of itself; ``None`` for a caller's request."""
    for name, value in headers:
        if name == CALL_HEADER:
            return _decode(_call_decoder, value)
        if name == ASK_HEADER:
            return _decode(_ask_decoder, value)
    return None


def _decode(
    decoder: msgspec.json.Decoder[HopCall] | msgspec.json.Decoder[HopAsk],
    value: bytes,
) -> HopCall | HopAsk | Unreadable:
    try:
        return decoder.decode(value)
    except msgspec.MsgspecError:
        return Unreadable()


def decode_report(value: bytes) -> OwnerReport | None:
    """Read the header of an owner's reply, if it is one."""
    try:
        return _report_decoder.decode(value)
    except msgspec.MsgspecError:
        return None


def pack_refusal(refusal: Refusal) -> HopRefusal:
    """Turn a refusal into what goes between daemons."""
    hint = refusal.retry_after
    return HopRefusal(
        status=refusal.status,
        fate=refusal.fate,
        reason=refusal.reason,
        retry_after=None if hint is None else whole_milliseconds(hint),
    )


def unpack_refusal(refusal: HopRefusal) -> Refusal:
    """Turn what came from another daemon into a refusal."""
    hint = refusal.retry_after
    return Refusal(
        status=refusal.status,
        fate=refusal.fate,
        reason=refusal.reason,
        retry_after=None if hint is None else hint * _MILLISECOND,
    )


def whole_milliseconds(span: timedelta) -> int:
    """Whole milliseconds, rounded down and never negative."""
    return max(span // _MILLISECOND, 0)
