"""Test caller that reports exactly how each call ended."""

import select
from collections import defaultdict
from collections.abc import Mapping
from enum import Enum, unique

import httptools
import trio
from msgspec import Struct

from verbenamill_standins.http_messages import (
    Message,
    MessageReader,
    encode_request,
)

#: Upper bound on idle connections kept open to one target.
MAX_IDLE_CONNECTIONS = 256


@unique
class CallFault(str, Enum):
    """Reason why a call has no complete response.

    After ``NOT_SENT`` the call has certainly not run; after the other faults
    it may have. ``BROKEN`` means that a part of the response arrived.
    """

    NOT_SENT = 'not-sent'
    LOST = 'lost'
    BROKEN = 'broken'
    TIMEOUT = 'timeout'


class Reply(Struct, kw_only=True, frozen=True):
    """Result of a call: either a complete response or a fault."""

    message: Message | None = None
    fault: CallFault | None = None


class Caller:
    """Sends calls over persistent connections, without pipelining."""

    def __init__(self) -> None:
        self._idle_streams: defaultdict[str, list[trio.SocketStream]] = (
            defaultdict(list)
        )

    async def call(
        self,
        target: str,
        method: str,
        path: str,
        *,
        headers: Mapping[str, str],
        body: bytes = b'',
        timeout: float = 10,
    ) -> Reply:
        """Send one call and wait for its response, without retries.

        :param target: ``host:port`` of the server.
        :param timeout: seconds until the call is abandoned.
        """
        with trio.move_on_after(timeout):
            stream = await self._connect(target)
            if stream is None:
                return Reply(fault=CallFault.NOT_SENT)
            encoded_request = encode_request(
                method,
                path,
                {'host': target, **headers},
                body,
            )
            return await self._exchange(target, stream, encoded_request)
        return Reply(fault=CallFault.TIMEOUT)

    async def aclose(self) -> None:
        """Close the idle connections."""
        for streams in self._idle_streams.values():
            for stream in streams:
                await trio.aclose_forcefully(stream)
        self._idle_streams.clear()

    async def _connect(self, target: str) -> trio.SocketStream | None:
        idle = self._idle_streams[target]
        while idle:
            candidate = idle.pop()
            if _has_no_pending_input(candidate):
                return candidate
            await trio.aclose_forcefully(candidate)
        host, port = target.rsplit(':', 1)
        try:
            return await trio.open_tcp_stream(host, int(port))
        except OSError:
            return None

    async def _exchange(
        self,
        target: str,
        stream: trio.SocketStream,
        encoded_request: bytes,
    ) -> Reply:
        reader = MessageReader(stream, httptools.HttpResponseParser)
        is_reusable = False
        try:
            await stream.send_all(encoded_request)
            message = await reader.read()
            is_reusable = message is not None and message.keep_alive
        except trio.BrokenResourceError:
            message = None
        finally:
            if (
                is_reusable
                and len(self._idle_streams[target]) < MAX_IDLE_CONNECTIONS
            ):
                self._idle_streams[target].append(stream)
            else:
                await trio.aclose_forcefully(stream)
        if message is not None:
            return Reply(message=message)
        return Reply(
            fault=CallFault.BROKEN
            if reader.has_partial_message
            else CallFault.LOST,
        )


def _has_no_pending_input(stream: trio.SocketStream) -> bool:
    """Whether neither data nor the end of the stream is pending."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN | select.POLLHUP)
    return not poll.poll(0)
