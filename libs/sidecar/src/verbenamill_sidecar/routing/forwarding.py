"""Forwards a request to the daemon beside another upstream."""

import trio

from verbenamill_http.client import (
    ClientConnection,
    ClientResponse,
    ExchangeFailure,
)
from verbenamill_http.messages import Framing, encode_request
from verbenamill_policy.members import UpstreamRecord
from verbenamill_sidecar.membership.peers import Peer, SuspicionCallback
from verbenamill_sidecar.routing.call import Call, Outcome, not_run, unknown
from verbenamill_sidecar.routing.hop import (
    HopCall,
    OrganisationClaim,
    encode_claim,
    encode_hop,
    read_outcome,
)
from verbenamill_sidecar.state.desired_state import VersionStamp
from verbenamill_sidecar.upstream.upstream_link import MAX_RESPONSE_BYTES


async def forward_call(
    call: Call,
    peer: Peer,
    upstream: UpstreamRecord,
    *,
    sender: str,
    stamp: VersionStamp,
    on_suspect: SuspicionCallback,
) -> Outcome:
    """Have another daemon run a request on its upstream.

    :param upstream: the upstream that the request is meant for; the daemon
        refuses the request if it has another upstream by now.
    :param sender: identifies this daemon and its incarnation to other daemons.
    :param stamp: version stamp of this daemon's desired state.
    :param on_suspect: called while the other daemon is suspected.
    """
    if peer.pool.is_full:
        return not_run('too many requests wait for the owner')
    connection = await peer.pool.acquire(
        max_idle=peer.max_idle(
            trio.current_time(),
            is_idempotent=call.is_idempotent,
        ),
    )
    if connection is None:
        peer.mark_unreachable('it takes no connection')
        return not_run('the owner cannot be reached')
    with peer.awaiting_answer(on_suspect):
        data = _encode_call(call, peer, upstream, sender, stamp)
        return await _exchange(call, peer, connection, data)


async def _exchange(
    call: Call,
    peer: Peer,
    connection: ClientConnection,
    data: bytes,
) -> Outcome:
    was_reused = not connection.is_new
    result = await peer.pool.exchange(
        connection,
        data,
        matches_request=_accept_any,
        is_bodiless=call.method == b'HEAD',
        max_body=MAX_RESPONSE_BYTES,
    )
    if isinstance(result, ClientResponse):
        peer.mark_alive()
        outcome = read_outcome(result)
        return outcome or unknown('the answer is no daemon’s')
    if result is ExchangeFailure.NOT_SENT:
        # The daemon has closed the connection, as after a restart.
        peer.pool.invalidate()
        return not_run('the owner closed the connection')
    if was_reused:
        peer.pool.invalidate()
    return unknown('the connection to the owner broke')


def _accept_any(_: object) -> bool:
    return True


def _encode_call(
    call: Call,
    peer: Peer,
    upstream: UpstreamRecord,
    sender: str,
    stamp: VersionStamp,
) -> bytes:
    now = trio.current_time()
    hop = HopCall(
        id=call.id.decode('latin-1'),
        route=call.route.name,
        kind=call.route.kind,
        priority=call.priority,
        service=call.service,
        version=upstream.version,
        instance=upstream.instance,
        origin=call.origin.decode('latin-1'),
        objective=int((call.objective - now) * 1000),
        deadline=max(int((call.deadline - now) * 1000), 1),
        is_nested=call.is_nested,
        sender=sender,
        sent=int(now * 1000),
        is_alone=call.is_alone,
        born=upstream.born,
        limit=peer.limit_of(upstream),
        stamp=stamp,
    )
    headers = [*call.headers, encode_hop(hop)]
    if call.organisation:
        claim = OrganisationClaim(call.organisation, call.key)
        headers.append(encode_claim(claim))
    head = encode_request(
        call.method,
        call.target,
        headers,
        Framing(len(call.body)),
    )
    return head + call.body
