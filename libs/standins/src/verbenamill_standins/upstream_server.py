"""A stand-in upstream: answers calls and counts what it ran."""

import logging
from collections import Counter
from random import Random
from typing import BinaryIO
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec
import trio
from msgspec import Struct

from verbenamill_standins.behaviour import Behaviour, Plan, plan_call
from verbenamill_standins.http_messages import (
    Message,
    MessageReader,
    digest_body,
    encode_response,
)

#: Header by which a caller names a call; echoed in the answer.
REQUEST_ID_HEADER = 'x-request-id'
#: Header that tells which upstream answered.
UPSTREAM_HEADER = 'x-upstream'
_logger = logging.getLogger(__name__)
_JSON = {'content-type': 'application/json'}


class UpstreamCounters(Struct, kw_only=True):
    """What an upstream saw since its start.

    :param executions: calls that ran; shed ones are not among them.
    :param doubled: ids that ran more than once.
    :param most_running: most calls that ran at a time.
    :param after_drain: calls that arrived ``GRACE`` after draining began.
    """

    executions: int = 0
    doubled: int = 0
    shed: int = 0
    failed: int = 0
    cancelled: int = 0
    running: int = 0
    most_running: int = 0
    connections: int = 0
    most_connections: int = 0
    after_drain: int = 0


class _Control(Struct):
    behaviour: Behaviour
    counters: UpstreamCounters


class _Echo(Struct):
    id: str
    method: str
    path: str
    digest: str
    length: int
    version: str


#: Time after which a draining upstream should get no new work, in seconds.
GRACE = 3.0


class UpstreamServer:
    """Serves calls over HTTP/1.1 on trio.

    :param version: told in the ``x-version`` header of each answer.
    :param address: told in its ``x-upstream`` header.
    :param slots: calls it works on at a time.
    :param journal: unbuffered file that gets the id of each call before it
        runs, so that a killed upstream's calls are still known.
    """

    def __init__(
        self,
        *,
        version: str,
        address: str = '',
        slots: int,
        behaviour: Behaviour,
        random: Random,
        journal: BinaryIO | None = None,
    ) -> None:
        self._version = version
        self._address = address
        self._slots = slots
        self._behaviour = behaviour
        self._random = random
        self._journal = journal
        self._started = trio.current_time()
        self._counters = UpstreamCounters()
        self._executions: Counter[str] = Counter()
        self._bodies: dict[int, tuple[bytes, str]] = {}
        self._draining_since: float | None = None

    @property
    def running(self) -> int:
        """Calls that run now."""
        return self._counters.running

    def drain(self) -> None:
        """Note that from now on no new work should come."""
        self._draining_since = trio.current_time()

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Answer the requests of one connection until it ends."""
        counters = self._counters
        counters.connections += 1
        counters.most_connections = max(
            counters.most_connections,
            counters.connections,
        )
        try:
            async with stream:
                await self._serve_requests(stream)
        except* trio.BrokenResourceError:
            # A killed daemon resets its connections; raised in a task of
            # the nursery it comes in a group, and would end the upstream.
            _logger.debug('a connection was reset')
        finally:
            counters.connections -= 1

    async def _serve_requests(self, stream: trio.SocketStream) -> None:
        reader = MessageReader(stream, httptools.HttpRequestParser)
        send, receive = trio.open_memory_channel[Message](1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._answer_all, stream, receive, nursery)
            message = await reader.read()
            while message is not None:
                await send.send(message)
                message = await reader.read()
            # The caller has gone, so its work is cancelled, as the platform
            # promises of its upstreams.
            nursery.cancel_scope.cancel()

    async def _answer_all(
        self,
        stream: trio.SocketStream,
        receive: trio.MemoryReceiveChannel[Message],
        nursery: trio.Nursery,
    ) -> None:
        async for message in receive:
            if not await self._answer(stream, message):
                break
        nursery.cancel_scope.cancel()

    async def _answer(self, stream: trio.SocketStream, asked: Message) -> bool:
        path = urlsplit(asked.target).path
        if path == '/control':
            await stream.send_all(self._answer_control(asked))
            return asked.keep_alive
        return await self._run_call(stream, asked, path)

    def _answer_control(self, asked: Message) -> bytes:
        if asked.method == 'PUT':
            try:
                self._change(asked.body)
            except (msgspec.MsgspecError, TypeError) as error:
                return encode_response(400, {}, str(error).encode())
        told = _Control(self._behaviour, self._counters)
        return encode_response(200, _JSON, msgspec.json.encode(told))

    def _change(self, body: bytes) -> None:
        changes = msgspec.json.decode(body, type=dict[str, object])
        merged = {**msgspec.to_builtins(self._behaviour), **changes}
        self._behaviour = msgspec.convert(merged, Behaviour)

    async def _run_call(
        self,
        stream: trio.SocketStream,
        asked: Message,
        path: str,
    ) -> bool:
        counters = self._counters
        if self._behaviour.shed and counters.running >= self._slots:
            counters.shed += 1
            headers = {'retry-after': '1', 'x-version': self._version}
            await stream.send_all(encode_response(503, headers, b'shed'))
            return asked.keep_alive
        self._count(asked)
        try:
            return await self._work(stream, asked, path)
        except trio.Cancelled:
            counters.cancelled += 1
            raise
        finally:
            counters.running -= 1

    def _count(self, asked: Message) -> None:
        counters = self._counters
        counters.executions += 1
        counters.running += 1
        counters.most_running = max(counters.most_running, counters.running)
        drained = self._draining_since
        if drained is not None and trio.current_time() > drained + GRACE:
            counters.after_drain += 1
        call_id = asked.headers.get(REQUEST_ID_HEADER, '')
        if call_id:
            self._executions[call_id] += 1
            if self._journal is not None:
                self._journal.write(f'{call_id}\n'.encode())
            counters.doubled += self._executions[call_id] == 2

    async def _work(
        self,
        stream: trio.SocketStream,
        asked: Message,
        path: str,
    ) -> bool:
        plan = plan_call(
            self._behaviour,
            path=path,
            age=trio.current_time() - self._started,
            running=self._counters.running,
            random=self._random,
        )
        if plan.stalls:
            await trio.sleep_forever()
        if plan.seconds:
            await trio.sleep(plan.seconds)
        answer = self._make_answer(asked, path, plan)
        if plan.is_cut:
            await stream.send_all(answer[: len(answer) - 1])
            return False
        await stream.send_all(answer)
        return asked.keep_alive

    def _make_answer(self, asked: Message, path: str, plan: Plan) -> bytes:
        call_id = asked.headers.get(REQUEST_ID_HEADER, '')
        headers = {
            'x-version': self._version,
            REQUEST_ID_HEADER: call_id,
            UPSTREAM_HEADER: self._address,
            'x-body-digest': asked.digest,
        }
        if plan.fails:
            self._counters.failed += 1
            return encode_response(500, headers, b'failed')
        body, digest = self._make_body(asked, path, call_id)
        headers['x-answer-digest'] = digest
        return encode_response(200, headers, body)

    def _make_body(
        self,
        asked: Message,
        path: str,
        call_id: str,
    ) -> tuple[bytes, str]:
        sizes = parse_qs(urlsplit(asked.target).query).get('size')
        if sizes:
            return self._large_body(int(sizes[0]))
        echo = _Echo(
            call_id,
            asked.method,
            path,
            asked.digest,
            asked.length,
            self._version,
        )
        body = msgspec.json.encode(echo)
        return body, digest_body(body)

    def _large_body(self, size: int) -> tuple[bytes, str]:
        if size not in self._bodies:
            body = Random(size).randbytes(size)
            self._bodies[size] = (body, digest_body(body))
        return self._bodies[size]
