"""Callers that keep their connections until the daemon is gone."""

from collections.abc import Callable
from enum import Enum, unique
from random import Random

import h11
import trio
from msgspec import Struct

from verbenamill_platform_standins.callers import (
    read_seal,
    request_headers,
)
from verbenamill_soak.nodes import Node

HOST = '127.0.0.1'
SITE = 'shop.example'
#: Deadline that callers tell, in seconds.
DEADLINE = 1.5
#: How long beyond it a caller waits, to see whether an answer comes, in s.
PATIENCE = 2.0
#: Mean pause between two requests of a caller, in seconds.
PAUSE = 0.04
#: Share of the requests that must not be repeated.
_FEES = 0.4
#: Path that many harmless requests share, and how often it is called.
POPULAR = '/lookup/popular'
_POPULAR_EVERY = 5
#: Share on routes that only some versions have, and versions they are of.
_PROBES = 0.25
_NEWEST = 3


@unique
class Ending(Enum):
    """How a request ended for its caller."""

    ANSWERED = 'answered'
    CUT = 'cut'
    NO_ANSWER = 'no-answer'
    UNSENT = 'unsent'


class Asked(Struct, kw_only=True):
    """One request and what its caller saw."""

    id: str
    vm: str
    life: int
    path: str
    is_fee: bool
    sent_at: float
    target: str = ''
    ended_at: float = 0
    ending: Ending = Ending.UNSENT
    status: int = 0
    body: bytes = b''
    seal: bytes = b''


class Caller:
    """One caller on a VM, with one connection at a time."""

    def __init__(self, node: Node, place: int, random: Random) -> None:
        self.asked: list[Asked] = []
        self._node = node
        self._name = f'{node.name}-{place}'
        self._random = random
        self._stream: trio.SocketStream | None = None
        self._connection = h11.Connection(h11.CLIENT)

    async def run(self, versions: Callable[[], list[int]]) -> None:
        """Call until cancelled.

        :param versions: those that were published, the newest last.
        """
        while True:
            await trio.sleep(self._random.expovariate(1 / PAUSE))
            is_fee = self._random.random() < _FEES
            path = '/fee/' if is_fee else '/lookup/'
            if self._random.random() < _PROBES:
                is_fee = False
                path = f'/v{self._random.choice(versions()[-_NEWEST:])}/'
            if path == '/lookup/' and len(self.asked) % _POPULAR_EVERY == 0:
                await self.call(POPULAR, is_fee=False, is_unique=False)
            else:
                await self.call(path, is_fee=is_fee)

    async def call(
        self,
        path: str,
        *,
        is_fee: bool,
        is_unique: bool = True,
    ) -> Asked:
        """Make one request.

        :param is_unique: whether its path is one that no other request has.
        """
        asked = self._note(path, is_fee=is_fee, is_unique=is_unique)
        try:
            await self._exchange(asked)
        except (OSError, trio.BrokenResourceError, h11.ProtocolError):
            if asked.ending is not Ending.UNSENT:
                asked.ending = Ending.CUT
            await self._drop()
        asked.ended_at = trio.current_time()
        return asked

    def _note(
        self,
        path: str,
        *,
        is_fee: bool,
        is_unique: bool = True,
    ) -> Asked:
        id = f'{self._name}-{len(self.asked)}'
        asked = Asked(
            id=id,
            target=f'{path}{id}' if is_unique else path,
            vm=self._node.name,
            life=self._node.lives,
            path=path,
            is_fee=is_fee,
            sent_at=trio.current_time(),
        )
        self.asked.append(asked)
        return asked

    async def _exchange(self, asked: Asked) -> None:
        if self._stream is None:
            self._stream = await trio.open_tcp_stream(
                HOST,
                self._node.ports[0],
            )
            self._connection = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method='POST' if asked.is_fee else 'GET',
            target=asked.target,
            headers=[
                ('Host', SITE),
                *request_headers(asked.id, deadline=DEADLINE),
                ('Content-Length', '0'),
            ],
        )
        data = self._connection.send(request) or b''
        self._connection.send(h11.EndOfMessage())
        await self._stream.send_all(data)
        asked.ending = Ending.NO_ANSWER
        with trio.move_on_after(DEADLINE + PATIENCE):
            await self._read(self._stream, asked)
        if asked.ending is not Ending.ANSWERED:
            await self._drop()
            return
        if self._connection.our_state is h11.DONE:
            self._connection.start_next_cycle()
        else:
            await self._drop()

    async def _read(self, stream: trio.SocketStream, asked: Asked) -> None:
        while True:
            event = self._connection.next_event()
            match event:
                case h11.NEED_DATA:
                    data = await stream.receive_some(65_536)
                    if not data:
                        asked.ending = Ending.CUT
                    self._connection.receive_data(data)
                case h11.Response():
                    asked.status = event.status_code
                    asked.seal = read_seal(event.headers)
                case h11.Data():
                    asked.body += bytes(event.data)
                case h11.EndOfMessage():
                    asked.ending = Ending.ANSWERED
                    return
                case _:
                    asked.ending = Ending.CUT
                    return

    async def _drop(self) -> None:
        if self._stream is not None:
            await trio.aclose_forcefully(self._stream)
        self._stream = None
