"""A stand-in caller: sends calls and says exactly how each one ended."""

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

#: Unused connections kept to one target.
MAX_IDLE = 256


@unique
class CallFault(str, Enum):
    """Why a call has no whole answer.

    ``NOT_SENT`` is certain; after the others the call may have run.
    ``BROKEN`` means that a part of the answer came.
    """

    NOT_SENT = 'not-sent'
    LOST = 'lost'
    BROKEN = 'broken'
    TIMEOUT = 'timeout'


class Reply(Struct, kw_only=True, frozen=True):
    """How a call ended: with a whole answer, or with a fault."""

    message: Message | None = None
    fault: CallFault | None = None


class Caller:
    """Sends calls over kept connections, one call a connection at a time."""

    def __init__(self) -> None:
        self._idle: defaultdict[str, list[trio.SocketStream]] = defaultdict(
            list,
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
        """Send one call and wait for its answer; never repeats it.

        :param target: ``host:port`` to send it to.
        :param timeout: seconds until the caller gives up.
        """
        with trio.move_on_after(timeout):
            stream = await self._connect(target)
            if stream is None:
                return Reply(fault=CallFault.NOT_SENT)
            sent = encode_request(
                method,
                path,
                {'host': target, **headers},
                body,
            )
            return await self._exchange(target, stream, sent)
        return Reply(fault=CallFault.TIMEOUT)

    async def aclose(self) -> None:
        """Close the kept connections."""
        for streams in self._idle.values():
            for stream in streams:
                await trio.aclose_forcefully(stream)
        self._idle.clear()

    async def _connect(self, target: str) -> trio.SocketStream | None:
        idle = self._idle[target]
        while idle:
            kept = idle.pop()
            if _is_quiet(kept):
                return kept
            await trio.aclose_forcefully(kept)
        host, port = target.rsplit(':', 1)
        try:
            return await trio.open_tcp_stream(host, int(port))
        except OSError:
            return None

    async def _exchange(
        self,
        target: str,
        stream: trio.SocketStream,
        sent: bytes,
    ) -> Reply:
        reader = MessageReader(stream, httptools.HttpResponseParser)
        keep = False
        try:
            await stream.send_all(sent)
            message = await reader.read()
            keep = message is not None and message.keep_alive
        except trio.BrokenResourceError:
            message = None
        finally:
            if keep and len(self._idle[target]) < MAX_IDLE:
                self._idle[target].append(stream)
            else:
                await trio.aclose_forcefully(stream)
        if message is not None:
            return Reply(message=message)
        return Reply(
            fault=CallFault.BROKEN if reader.begun else CallFault.LOST,
        )


def _is_quiet(stream: trio.SocketStream) -> bool:
    """Whether nothing, not even its end, has arrived on a connection."""
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN | select.POLLHUP)
    return not poll.poll(0)
