"""What a server is asked, what it answers, and within which bounds."""

from collections.abc import Awaitable, Callable

from msgspec import Struct

from verbenamill_http.messages import Header, RequestHead


class Request(Struct, kw_only=True):
    """A whole request.

    :param arrived: when its head was read, on trio's clock.
    """

    head: RequestHead
    body: bytes
    received_at: float


class Response(Struct, kw_only=True):
    """An answer to send.

    :param is_bodiless: whether the body stays unsent, as after HEAD.
    """

    status: int
    headers: list[Header] = []
    body: bytes = b''
    close: bool = False
    is_bodiless: bool = False
    length: int | None = None


Handler = Callable[[Request], Awaitable[Response]]


class ServerLimits(Struct, frozen=True, kw_only=True):
    """Bounds on what a peer may send; times are in seconds."""

    max_head: int = 32 * 1024
    max_body: int = 64 * 1024 * 1024
    head_timeout: float = 10
    idle_timeout: float = 60
    max_connections: int = 2000
