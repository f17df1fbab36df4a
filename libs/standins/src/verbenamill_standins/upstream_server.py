"""HTTP server of a stand-in upstream, which counts executions."""

import logging
from collections import Counter
from random import Random
from typing import BinaryIO
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec
import trio
from msgspec import Struct

from verbenamill_standins.behaviour import Behaviour, PlannedOutcome, plan_call
from verbenamill_standins.http_messages import (
    Message,
    MessageReader,
    digest_body,
    encode_response,
)

#: Header with the caller's ID of a call; the response repeats it.
REQUEST_ID_HEADER = 'x-request-id'
#: Response header with the address of the upstream that responded.
UPSTREAM_HEADER = 'x-upstream'
_logger = logging.getLogger(__name__)
_JSON_HEADERS = {'content-type': 'application/json'}


class UpstreamCounters(Struct, kw_only=True):
    """Statistics of an upstream since its start.

    :param executions: calls that were executed, without shed calls.
    :param doubled: call IDs that were executed more than once.
    :param most_running: highest number of concurrently running calls.
    :param after_drain: calls that arrived later than ``DRAIN_GRACE_SECONDS``
        after draining began.
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


class _ControlState(Struct):
    behaviour: Behaviour
    counters: UpstreamCounters


class _Echo(Struct):
    id: str
    method: str
    path: str
    digest: str
    length: int
    version: str


#: Time after which a draining upstream should receive no new calls.
DRAIN_GRACE_SECONDS = 3.0


class UpstreamServer:
    """Serves calls over HTTP/1.1.

    :param version: sent in the ``x-version`` header of responses to calls.
    :param address: sent in the ``x-upstream`` header of responses to calls.
    :param slots: number of concurrent calls; further calls are shed if the
        behaviour says so.
    :param journal: unbuffered file to which the ID of each call is written
        before it runs, so that the calls of a killed upstream are known.
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
        self._started_at = trio.current_time()
        self._counters = UpstreamCounters()
        self._executions: Counter[str] = Counter()
        self._large_bodies: dict[int, tuple[bytes, str]] = {}
        self._draining_since: float | None = None

    @property
    def running(self) -> int:
        """Number of calls that are running."""
        return self._counters.running

    def drain(self) -> None:
        """Record that the upstream should receive no new calls."""
        self._draining_since = trio.current_time()

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve the requests of one connection until it is closed."""
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
            # A killed daemon resets its connections. A task of the nursery
            # raises the error in an exception group, which would end the
            # upstream if it were not caught.
            _logger.debug('the peer reset the connection')
        finally:
            counters.connections -= 1

    async def _serve_requests(self, stream: trio.SocketStream) -> None:
        reader = MessageReader(stream, httptools.HttpRequestParser)
        sender, receiver = trio.open_memory_channel[Message](1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._answer_requests, stream, receiver, nursery)
            message = await reader.read()
            while message is not None:
                await sender.send(message)
                message = await reader.read()
            # The caller has disconnected. Its call is cancelled because the
            # platform guarantees that upstreams do so.
            nursery.cancel_scope.cancel()

    async def _answer_requests(
        self,
        stream: trio.SocketStream,
        receiver: trio.MemoryReceiveChannel[Message],
        nursery: trio.Nursery,
    ) -> None:
        async for message in receiver:
            if not await self._answer_request(stream, message):
                break
        nursery.cancel_scope.cancel()

    async def _answer_request(
        self, stream: trio.SocketStream, request: Message
    ) -> bool:
        path = urlsplit(request.target).path
        if path == '/control':
            await stream.send_all(self._answer_control(request))
            return request.keep_alive
        return await self._run_call(stream, request, path)

    def _answer_control(self, request: Message) -> bytes:
        if request.method == 'PUT':
            try:
                self._update_behaviour(request.body)
            except (msgspec.MsgspecError, TypeError) as error:
                return encode_response(400, {}, str(error).encode())
        state_snapshot = _ControlState(self._behaviour, self._counters)
        return encode_response(
            200, _JSON_HEADERS, msgspec.json.encode(state_snapshot)
        )

    def _update_behaviour(self, body: bytes) -> None:
        overrides = msgspec.json.decode(body, type=dict[str, object])
        merged = {**msgspec.to_builtins(self._behaviour), **overrides}
        self._behaviour = msgspec.convert(merged, Behaviour)

    async def _run_call(
        self,
        stream: trio.SocketStream,
        request: Message,
        path: str,
    ) -> bool:
        counters = self._counters
        if self._behaviour.shed and counters.running >= self._slots:
            counters.shed += 1
            headers = {'retry-after': '1', 'x-version': self._version}
            await stream.send_all(encode_response(503, headers, b'shed'))
            return request.keep_alive
        self._record_execution(request)
        try:
            return await self._execute_call(stream, request, path)
        except trio.Cancelled:
            counters.cancelled += 1
            raise
        finally:
            counters.running -= 1

    def _record_execution(self, request: Message) -> None:
        counters = self._counters
        counters.executions += 1
        counters.running += 1
        counters.most_running = max(counters.most_running, counters.running)
        draining_since = self._draining_since
        if (
            draining_since is not None
            and trio.current_time() > draining_since + DRAIN_GRACE_SECONDS
        ):
            counters.after_drain += 1
        call_id = request.headers.get(REQUEST_ID_HEADER, '')
        if call_id:
            self._executions[call_id] += 1
            if self._journal is not None:
                self._journal.write(f'{call_id}\n'.encode())
            counters.doubled += self._executions[call_id] == 2

    async def _execute_call(
        self,
        stream: trio.SocketStream,
        request: Message,
        path: str,
    ) -> bool:
        plan = plan_call(
            self._behaviour,
            path=path,
            age=trio.current_time() - self._started_at,
            running=self._counters.running,
            random=self._random,
        )
        if plan.stalls:
            await trio.sleep_forever()
        if plan.seconds:
            await trio.sleep(plan.seconds)
        answer = self._make_answer(request, path, plan)
        if plan.is_cut:
            await stream.send_all(answer[: len(answer) - 1])
            return False
        await stream.send_all(answer)
        return request.keep_alive

    def _make_answer(
        self, request: Message, path: str, plan: PlannedOutcome
    ) -> bytes:
        call_id = request.headers.get(REQUEST_ID_HEADER, '')
        headers = {
            'x-version': self._version,
            REQUEST_ID_HEADER: call_id,
            UPSTREAM_HEADER: self._address,
            'x-body-digest': request.digest,
        }
        if plan.fails:
            self._counters.failed += 1
            return encode_response(500, headers, b'failed')
        body, digest = self._make_body(request, path, call_id)
        headers['x-answer-digest'] = digest
        return encode_response(200, headers, body)

    def _make_body(
        self,
        request: Message,
        path: str,
        call_id: str,
    ) -> tuple[bytes, str]:
        sizes = parse_qs(urlsplit(request.target).query).get('size')
        if sizes:
            return self._get_large_body(int(sizes[0]))
        echo = _Echo(
            call_id,
            request.method,
            path,
            request.digest,
            request.length,
            self._version,
        )
        body = msgspec.json.encode(echo)
        return body, digest_body(body)

    def _get_large_body(self, size: int) -> tuple[bytes, str]:
        if size not in self._large_bodies:
            body = Random(size).randbytes(size)
            self._large_bodies[size] = (body, digest_body(body))
        return self._large_bodies[size]
