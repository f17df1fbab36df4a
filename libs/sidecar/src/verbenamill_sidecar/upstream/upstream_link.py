"""Connections to the own upstream, and requests and answers on them."""

from functools import partial

import trio

from verbenamill_http.addresses import Address
from verbenamill_http.client import (
    ClientConnection,
    ClientResponse,
    ConnectionPool,
    ExchangeFailure,
)
from verbenamill_http.messages import (
    Framing,
    ResponseHead,
    encode_request,
    get_header,
)
from verbenamill_policy.members import UpstreamRecord
from verbenamill_sidecar.protocol import HeaderNames
from verbenamill_sidecar.routing.call import Call

#: Idle time after which a connection is not reused, in seconds. Servers often
#: close idle connections after 5 s or more; a request must not race with that.
MAX_IDLE = 4.0
#: The same for requests that aren't idempotent, in seconds.
MAX_IDLE_UNSAFE = 1.0
CONNECT_TIMEOUT = 0.25
#: Open connections; those in use are bounded by the slots.
MAX_CONNECTIONS = 100
#: Longest response that is buffered, in bytes.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024


class UpstreamLink:
    """Exchanges requests and responses with the local upstream.

    :ivar pool: the connections to the upstream.
    """

    def __init__(self, address: Address, names: HeaderNames) -> None:
        self.pool = ConnectionPool(
            address,
            limit=MAX_CONNECTIONS,
            max_idle=MAX_IDLE,
            connect_timeout=CONNECT_TIMEOUT,
            # An upstream may respond before it has read a long body.
            user_timeout_ms=0,
        )
        self._names = names

    async def exchange(
        self,
        call: Call,
        upstream: UpstreamRecord,
        connection: ClientConnection,
    ) -> ClientResponse | ExchangeFailure:
        """Send a request on a connection and read the response."""
        return await self.pool.exchange(
            connection,
            self._encode(call, upstream),
            matches_request=partial(self._matches_request, call.id),
            is_bodiless=call.method == b'HEAD',
            max_body=MAX_RESPONSE_BYTES,
        )

    def _encode(self, call: Call, upstream: UpstreamRecord) -> bytes:
        names = self._names
        time_left = max(call.deadline - trio.current_time(), 0)
        headers = [
            *call.headers,
            (names.deadline, b'%d' % max(int(time_left * 1000), 1)),
            (names.instance, upstream.instance.encode()),
            (names.caller, call.origin),
        ]
        if call.organisation:
            headers.append((names.organisation, call.organisation.encode()))
        head = encode_request(
            call.method,
            call.target,
            headers,
            Framing(len(call.body)),
        )
        return head + call.body

    def _matches_request(self, id: bytes, head: ResponseHead) -> bool:
        """Whether a response belongs to the request.

        A late response to an earlier request on the same connection must not
        be forwarded: the caller would get the answer to another request.
        """
        response_id = get_header(head.headers, self._names.request_id)
        return response_id is None or not id or response_id == id


def max_idle_of(call: Call) -> float:
    """Idle time after which a request does not reuse a connection, in s."""
    return MAX_IDLE if call.is_idempotent else MAX_IDLE_UNSAFE
