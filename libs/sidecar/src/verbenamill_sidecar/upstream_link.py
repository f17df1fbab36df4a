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
from verbenamill_sidecar.call import Call
from verbenamill_sidecar.protocol import HeaderNames

#: Idle time after which a connection is not used again, in seconds. Servers
#: commonly close idle ones after 5 s or more; a request must not race that.
MAX_IDLE = 4.0
#: The same for requests that must not be repeated.
MAX_IDLE_UNSAFE = 1.0
CONNECT_TIMEOUT = 0.25
#: Open connections; the slots bound those in use.
MAX_CONNECTIONS = 100
#: Longest answer that is kept, in bytes.
MAX_ANSWER = 32 * 1024 * 1024


class UpstreamLink:
    """Exchanges requests and answers with the own upstream.

    :ivar pool: its connections.
    """

    def __init__(self, address: Address, names: HeaderNames) -> None:
        self.pool = ConnectionPool(
            address,
            limit=MAX_CONNECTIONS,
            max_idle=MAX_IDLE,
            connect_timeout=CONNECT_TIMEOUT,
            # An upstream may answer before it reads a long body.
            user_timeout_ms=0,
        )
        self._names = names

    async def exchange(
        self,
        call: Call,
        upstream: UpstreamRecord,
        connection: ClientConnection,
    ) -> ClientResponse | ExchangeFailure:
        """Send a request on a connection, and read its answer."""
        result: ClientResponse | ExchangeFailure = (
            ExchangeFailure.CONNECTION_LOST
        )
        try:
            result = await connection.exchange(
                self._encode(call, upstream),
                matches_request=partial(self._is_ours, call.id),
                is_bodiless=call.method == b'HEAD',
                max_body=MAX_ANSWER,
            )
        finally:
            if isinstance(result, ClientResponse) and result.is_reusable:
                self.pool.release(connection)
            else:
                self.pool.discard(connection)
        return result

    def _encode(self, call: Call, upstream: UpstreamRecord) -> bytes:
        names = self._names
        left = max(call.deadline - trio.current_time(), 0)
        headers = [
            *call.headers,
            (names.deadline, b'%d' % max(int(left * 1000), 1)),
            (names.instance, upstream.instance.encode()),
            (names.caller, call.origin),
        ]
        head = encode_request(
            call.method,
            call.target,
            headers,
            Framing(len(call.body)),
        )
        return head + call.body

    def _is_ours(self, id: bytes, head: ResponseHead) -> bool:
        """Whether an answer belongs to a request.

        One to an earlier request on the connection may come late. Passed
        on, a caller would get what somebody else asked for.
        """
        told = get_header(head.headers, self._names.request_id)
        return told is None or not id or told == id


def max_idle_of(call: Call) -> float:
    """Idle time after which a request does not use a connection, in s."""
    return MAX_IDLE if call.is_idempotent else MAX_IDLE_UNSAFE
