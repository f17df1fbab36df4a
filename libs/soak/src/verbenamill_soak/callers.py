"""Callers that reuse one connection until it fails or the daemon closes it."""

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

LOOPBACK = '127.0.0.1'
SERVICE_HOST = 'shop.example'
#: Deadline that callers send with each request.
DEADLINE_S = 1.5
#: Time beyond the deadline in which a caller still accepts a response.
LATE_RESPONSE_WAIT_S = 2.0
#: Mean pause between two requests of one caller.
MEAN_PAUSE_S = 0.04
#: Share of the requests that are not idempotent.
_FEE_SHARE = 0.4
#: The organisation of most callers, and its key, which all configurations have.
MEMBER = 'Mitglieder für Tests'
MEMBER_KEY = 'key-of-members'
#: The organisation of the callers whose keys are revoked, and its keys.
GUEST = 'guests'
#: Part of the ids of their requests.
GUEST_MARK = '-guest-'
_GUEST_KEY = 'key-of-guests-{0}'
#: Text that all keys have in common, and no other header of a request.
KEY_MARK = 'key-of-'
#: Number of newest versions whose keys these callers try.
_TRIED_KEYS = 6
#: Path shared by many harmless requests, and the interval of request numbers
#: at which a lookup uses it.
POPULAR = '/lookup/popular'
_POPULAR_INTERVAL = 5
#: Share of the requests to routes that only some configuration versions
#: contain, and the number of newest versions that these routes come from.
_PROBE_SHARE = 0.25
_PROBED_VERSIONS = 3


@unique
class Outcome(Enum):
    """How a request ended, as its caller observed it.

    :cvar ANSWERED: the caller received a complete response.
    :cvar CUT: the connection was lost, or its response was invalid, after the
        request had been sent.
    :cvar NO_ANSWER: no response came within the time that a caller waits.
    :cvar UNSENT: the request was not sent, or it followed a request whose
        response closed the connection or did not come.
    """

    ANSWERED = 'answered'
    CUT = 'cut'
    NO_ANSWER = 'no-answer'
    UNSENT = 'unsent'


class RequestRecord(Struct, kw_only=True):
    """One request and the outcome that its caller observed.

    :param daemon_start: number of the daemon start that received the request.
    :param is_fee: whether the request is not idempotent.
    :param guest_version: version of the configuration that brought the key of
        a guest; 0 for a key that all configurations have.
    """

    id: str
    vm: str
    daemon_start: int
    path: str
    is_fee: bool
    sent_at: float
    target: str = ''
    ended_at: float = 0
    outcome: Outcome = Outcome.UNSENT
    status: int = 0
    body: bytes = b''
    seal: bytes = b''
    guest_version: int = 0

    @property
    def key(self) -> str:
        """The key that the caller sends."""
        if self.guest_version:
            return make_guest_key(self.guest_version)
        return MEMBER_KEY


def make_guest_key(version: int) -> str:
    """Return the key that a version of the configuration brings to guests."""
    return _GUEST_KEY.format(version)


class Caller:
    """A caller on a VM that uses one connection at a time."""

    def __init__(self, node: Node, index: int, random: Random) -> None:
        self.records: list[RequestRecord] = []
        self._node = node
        self._name = f'{node.name}-{index}'
        self._random = random
        self._stream: trio.SocketStream | None = None
        self._connection = h11.Connection(h11.CLIENT)

    async def run(self, versions: Callable[[], list[int]]) -> None:
        """Send requests until cancelled.

        :param versions: returns the published configuration versions, the
            newest last.
        """
        while True:
            await trio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))
            is_fee = self._random.random() < _FEE_SHARE
            path = '/fee/' if is_fee else '/lookup/'
            if self._random.random() < _PROBE_SHARE:
                is_fee = False
                path = (
                    f'/v{self._random.choice(versions()[-_PROBED_VERSIONS:])}/'
                )
            if (
                path == '/lookup/'
                and len(self.records) % _POPULAR_INTERVAL == 0
            ):
                await self.call(POPULAR, is_fee=False, is_unique=False)
            else:
                await self.call(path, is_fee=is_fee)

    async def call(
        self,
        path: str,
        *,
        is_fee: bool,
        is_unique: bool = True,
        guest_version: int = 0,
    ) -> RequestRecord:
        """Send one request and return its record.

        :param is_unique: whether the request ID is part of the path, so that
            no other request has the same path.
        :param guest_version: version whose key for guests is sent, if any.
        """
        record = self._add_record(path, is_fee=is_fee, is_unique=is_unique)
        record.guest_version = guest_version
        try:
            await self._send_and_receive(record)
        except (OSError, trio.BrokenResourceError, h11.ProtocolError):
            if record.outcome is not Outcome.UNSENT:
                record.outcome = Outcome.CUT
            await self._drop_connection()
        record.ended_at = trio.current_time()
        return record

    def _add_record(
        self,
        path: str,
        *,
        is_fee: bool,
        is_unique: bool = True,
    ) -> RequestRecord:
        id = f'{self._name}-{len(self.records)}'
        record = RequestRecord(
            id=id,
            target=f'{path}{id}' if is_unique else path,
            vm=self._node.name,
            daemon_start=self._node.daemon_starts,
            path=path,
            is_fee=is_fee,
            sent_at=trio.current_time(),
        )
        self.records.append(record)
        return record

    async def _send_and_receive(self, record: RequestRecord) -> None:
        if self._stream is None:
            self._stream = await trio.open_tcp_stream(
                LOOPBACK,
                self._node.ports[0],
            )
            self._connection = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method='POST' if record.is_fee else 'GET',
            target=record.target,
            headers=[
                ('Host', SERVICE_HOST),
                *request_headers(
                    record.id, deadline=DEADLINE_S, key=record.key
                ),
                ('Content-Length', '0'),
            ],
        )
        data = self._connection.send(request) or b''
        self._connection.send(h11.EndOfMessage())
        await self._stream.send_all(data)
        record.outcome = Outcome.NO_ANSWER
        with trio.move_on_after(DEADLINE_S + LATE_RESPONSE_WAIT_S):
            await self._read_response(self._stream, record)
        if record.outcome is not Outcome.ANSWERED:
            await self._drop_connection()
            return
        if self._connection.our_state is h11.DONE:
            self._connection.start_next_cycle()
        else:
            await self._drop_connection()

    async def _read_response(
        self, stream: trio.SocketStream, record: RequestRecord
    ) -> None:
        while True:
            event = self._connection.next_event()
            match event:
                case h11.NEED_DATA:
                    data = await stream.receive_some(65_536)
                    if not data:
                        record.outcome = Outcome.CUT
                    self._connection.receive_data(data)
                case h11.Response():
                    record.status = event.status_code
                    record.seal = read_seal(event.headers)
                case h11.Data():
                    record.body += bytes(event.data)
                case h11.EndOfMessage():
                    record.outcome = Outcome.ANSWERED
                    return
                case _:
                    record.outcome = Outcome.CUT
                    return

    async def _drop_connection(self) -> None:
        if self._stream is not None:
            await trio.aclose_forcefully(self._stream)
        self._stream = None


class GuestCaller(Caller):
    """A caller that tries keys which are valid for some versions only."""

    def __init__(self, node: Node, random: Random) -> None:
        super().__init__(node, 0, random)
        self._name = f'{node.name}{GUEST_MARK.rstrip("-")}'

    async def run(self, versions: Callable[[], list[int]]) -> None:
        """Send requests with keys of the newest versions until cancelled.

        :param versions: returns the published configuration versions, the
            newest last.
        """
        while True:
            await trio.sleep(self._random.expovariate(1 / MEAN_PAUSE_S))
            version = self._random.choice(versions()[-_TRIED_KEYS:])
            await self.call('/lookup/', is_fee=False, guest_version=version)
