"""Fetches the whole desired state from another daemon."""

from verbenamill_http.client import (
    ClientResponse,
    ConnectionPool,
    ExchangeFailure,
)
from verbenamill_http.messages import EMPTY_BODY, encode_request
from verbenamill_sidecar.routing.hop import FETCH_HEADER
from verbenamill_sidecar.state.desired_state import (
    StateSnapshot,
    decode_snapshot,
)

#: Longest answer of another daemon, in bytes: some ten thousand routes.
_MAX_SNAPSHOT_BYTES = 16 * 1024 * 1024


async def fetch_snapshot(
    pool: ConnectionPool, *, connect_timeout: float | None = None
) -> StateSnapshot | None:
    """Fetch a snapshot; ``None`` if there is no answer or an invalid one.

    The connection is closed afterwards.

    :param connect_timeout: time limit for opening a connection, in seconds, if
        other than that of the pool. Requests give up soon, since other owners
        can run them; on a congested link no fetch would succeed in that time.
    """
    connection = await pool.acquire(connect_timeout=connect_timeout)
    if connection is None:
        return None
    request = encode_request(
        b'GET',
        b'/',
        [(b'host', b'verbenamill'), (FETCH_HEADER, b'all')],
        EMPTY_BODY,
    )
    answer: ClientResponse | ExchangeFailure | None = None
    try:
        answer = await connection.exchange(
            request,
            matches_request=lambda _: True,
            is_bodiless=False,
            max_body=_MAX_SNAPSHOT_BYTES,
        )
    finally:
        pool.discard(connection)
    if isinstance(answer, ClientResponse):
        return decode_snapshot(answer.body)
    return None
