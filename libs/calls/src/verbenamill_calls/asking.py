"""Asking an owner what became of a call, over a new connection."""

from datetime import timedelta

import trio
from msgspec import Struct

from verbenamill_calls.attempts import unknown
from verbenamill_calls.body import Body
from verbenamill_calls.call import Answer, Call, Fate
from verbenamill_calls.exchange import Exchange, Fault, FaultKind
from verbenamill_calls.hop import (
    ASK_TARGET,
    OWNER_HEADER,
    HopAsk,
    OwnerReport,
    decode_report,
    encode_ask,
    whole_milliseconds,
    unpack_refusal,
)
from verbenamill_calls.ledger import StoredAnswer
from verbenamill_calls.links import Links
from verbenamill_http.messages import EMPTY_BODY, ResponseHead, get_header
from verbenamill_calls.peers import Peer
from verbenamill_calls.stored import read_answer, recall

#: Pause between two tries to reach an owner, in seconds.
_PAUSE = 0.1
#: Allowance for two clocks that run at different speeds.
_MARGIN = timedelta(milliseconds=100)


class Asked(Struct, frozen=True):
    """What an owner said."""

    report: OwnerReport
    answer: StoredAnswer | None


async def ask(
    links: Links,
    peer: Peer,
    call: Call,
    sent_at: timedelta,
) -> Answer:
    """Find out what became of a call that may not be repeated.

    :param sent_at: when it was sent to the owner.
    """
    clock = links.context.clock
    links.stats.asked += 1
    give_up_at = clock.monotonic() + links.settings.ask_timeout
    while clock.monotonic() < call.deadline and not call.is_gone():
        asked = await ask_once(links, peer, call)
        now = clock.monotonic()
        if isinstance(asked, Asked) and asked.report.is_running:
            give_up_at = now + links.settings.ask_timeout
        elif isinstance(asked, Asked):
            return _conclude(links, asked, now - sent_at)
        elif now >= give_up_at:
            return unknown('the owner of the call cannot be reached')
        else:
            await trio.sleep(_PAUSE)
    return unknown('the call had not ended by its deadline')


def _conclude(links: Links, asked: Asked, age: timedelta) -> Answer:
    if asked.answer is not None:
        links.stats.recovered += 1
        return recall(asked.answer)
    assert asked.report.refusal is not None
    refusal = unpack_refusal(asked.report.refusal)
    # An owner that was restarted since, or has forgotten, knows nothing of
    # the call either; to it, each call looks like one that never came.
    remembers = timedelta(milliseconds=asked.report.remembers)
    if refusal.fate is Fate.NOT_RUN and remembers - _MARGIN <= age:
        return unknown('the owner of the call was restarted')
    return refusal


async def ask_once(links: Links, peer: Peer, call: Call) -> Asked | Fault:
    """Ask once; the owner answers within ``silence``, also if it runs."""
    connection = await peer.pool.take(is_new=True)
    if connection is None:
        return Fault(FaultKind.NOT_SENT, 'the owner takes no connection')
    clock = links.context.clock
    wait = links.settings.silence
    exchange = Exchange(
        connection,
        deadline=clock.monotonic() + 2 * wait,
        is_gone=call.is_gone,
        clock=clock,
        settings=links.settings,
    )
    question = HopAsk(
        id=call.id,
        idempotent=call.idempotent,
        timeout=whole_milliseconds(wait),
        key=call.key,
    )
    try:
        return await _converse(links, exchange, question)
    finally:
        peer.pool.discard(connection)


async def _converse(
    links: Links,
    exchange: Exchange,
    question: HopAsk,
) -> Asked | Fault:
    fault = await exchange.send(
        b'GET',
        ASK_TARGET,
        [(b'host', b'verbenamill'), encode_ask(question)],
        Body(b'', EMPTY_BODY, None),
    )
    head = fault or await exchange.wait()
    assert head is not None
    if isinstance(head, Fault):
        return head
    report = read_report(head)
    if report is None:
        return Fault(FaultKind.BAD_ANSWER, 'this is no owner of ours')
    if report.refusal is not None or report.is_running or question.idempotent:
        return Asked(report, None)
    return await _read_stored(links, exchange, head, report)


async def _read_stored(
    links: Links,
    exchange: Exchange,
    head: ResponseHead,
    report: OwnerReport,
) -> Asked | Fault:
    stored = await read_answer(
        head,
        exchange.connection,
        limit=links.settings.max_stored_answer,
        limits=exchange.limits,
    )
    if isinstance(stored, StoredAnswer):
        return Asked(report, stored)
    return Fault(FaultKind.LOST, 'the answer broke off')


def read_report(head: ResponseHead) -> OwnerReport | None:
    """What an owner told beside its reply."""
    told = get_header(head.headers, OWNER_HEADER)
    return None if told is None else decode_report(told)
