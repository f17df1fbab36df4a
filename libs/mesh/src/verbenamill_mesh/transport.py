"""Requests and answers over pynng, behind a narrow interface.

Tests replace it by a transport in memory, which runs on a mock clock.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio
from pynng import Context, NNGException, Rep0, Req0
from returns.result import Failure, Result, Success

#: Requests that one daemon handles concurrently.
MAX_CONCURRENT_REQUESTS = 16
#: Longest message; a compressed checkpoint is far below it.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024

#: Handles a request; ``None`` leaves it without an answer.
RequestCallback = Callable[[bytes], Awaitable[bytes | None]]


class Link(Protocol):
    """A connection to one other daemon; one request at a time."""

    async def request(self, body: bytes) -> Result[bytes, str]:
        """Send a request and wait for its answer, without a timeout."""

    def close(self) -> None:
        """Close the connection."""


class Transport(Protocol):
    """How daemons reach each other."""

    async def serve(
        self,
        address: str,
        on_request: RequestCallback,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Answer requests until cancelled."""

    def dial(self, address: str) -> Link:
        """Start a connection, which need not be established yet."""


class PynngLink:
    """A link over a ``Req0`` socket."""

    def __init__(self, address: str) -> None:
        self._socket = Req0(recv_max_size=MAX_MESSAGE_BYTES)
        try:
            # A blocking dial would stop the whole event loop while the peer's
            # machine is off; this one continues in the background.
            self._socket.dial(_url(address), block=False)
        except NNGException:
            # Requests on the link fail, and a later dial may succeed.
            self._socket.close()

    async def request(self, body: bytes) -> Result[bytes, str]:
        """Send a request and wait for its answer."""
        try:
            await self._socket.asend(body)
            return Success(await self._socket.arecv())
        except NNGException as error:
            return Failure(repr(error))

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()


class PynngTransport:
    """Transport over pynng's request and reply protocol."""

    async def serve(
        self,
        address: str,
        on_request: RequestCallback,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Answer requests until cancelled.

        :raises NNGException: when the address cannot be bound.
        """
        with Rep0(recv_max_size=MAX_MESSAGE_BYTES) as socket:
            socket.listen(_url(address))
            async with trio.open_nursery() as nursery:
                for _ in range(MAX_CONCURRENT_REQUESTS):
                    nursery.start_soon(_serve_context, socket, on_request)
                task_status.started()

    def dial(self, address: str) -> Link:
        """Start a connection."""
        return PynngLink(address)


async def _serve_context(socket: Rep0, on_request: RequestCallback) -> None:
    with socket.new_context() as context:
        while True:
            await _serve_request(context, on_request)


async def _serve_request(context: Context, on_request: RequestCallback) -> None:
    try:
        reply = await on_request(await context.arecv())
        if reply is not None:
            await context.asend(reply)
    except NNGException:
        # The peer has disconnected or sent an invalid message, which does not
        # concern the next request. Without a pause, a broken socket would
        # cause a busy loop.
        await trio.sleep(0.01)


def _url(address: str) -> str:
    return address if '://' in address else f'tcp://{address}'
