"""Requests, responses and limits of an HTTP server."""

from collections.abc import Awaitable, Callable

from msgspec import Struct

from verbenamill_http.messages import Header, RequestHead


class Request(Struct, kw_only=True):
    """A complete request.

    :param received_at: when its first bytes were read, on trio's clock.
    """

    head: RequestHead
    body: bytes
    received_at: float


class Response(Struct, kw_only=True):
    """A response to send.

    The server leaves out the body where the method of the request or the
    status allows none.

    :param close: whether to close the connection after the response.
    :param length: length of the body if it is not known here, as that of an
        upstream's response to HEAD.
    """

    status: int
    headers: list[Header] = []
    body: bytes = b''
    close: bool = False
    length: int | None = None


Handler = Callable[[Request], Awaitable[Response]]


class ServerLimits(Struct, frozen=True, kw_only=True):
    """Limits on what a client may send.

    Sizes are in bytes and times in seconds.

    :param head_timeout: time in which a head is received, and longest pause
        within a body.
    :param request_timeout: time in which a whole request is received.
    """

    max_head: int = 32 * 1024
    max_body: int = 64 * 1024 * 1024
    head_timeout: float = 10
    request_timeout: float = 120
    idle_timeout: float = 60
    max_connections: int = 2000
