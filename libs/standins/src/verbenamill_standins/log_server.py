"""HTTP face of the stand-in log, with switches for its faults."""

from collections import defaultdict
from functools import partial

import msgspec
import trio
from msgspec import Struct
from quart import Response, request
from quart_trio import QuartTrio

from verbenamill_standins.log_store import Stored, Stream, TokenBucket

#: Longest that a reader is kept waiting for a record, in seconds.
MAX_WAIT = 60.0
#: How long an answer that is lost in silence is held, in seconds.
SILENCE = 30.0


class LogFaults(Struct, kw_only=True, forbid_unknown_fields=True):
    """Faults that ``PUT /control`` sets; fields left out are reset.

    :param outage: refuse everything with 503.
    :param delay_ms: added to each answer.
    :param lose_answers: appends to come that take effect unanswered.
    :param outage_after_pages: the outage begins once so many readers have
        been given records; -1 for never.
    :param lose_silently: hold a lost answer in place of a 500.
    """

    outage: bool = False
    outage_after_pages: int = -1
    delay_ms: float = 0
    lose_answers: int = 0
    lose_silently: bool = False


class LogCounters(Struct, kw_only=True):
    """Requests since the start; ``reads`` counts long polls once."""

    appends: int = 0
    reads: int = 0
    throttled: int = 0
    refused: int = 0
    lost: int = 0
    expired: int = 0


class _Appended(Struct):
    offset: int


class _Page(Struct):
    oldest: int
    end: int
    records: list[Stored]


class _Expired(Struct):
    oldest: int


class _Control(Struct):
    faults: LogFaults
    counters: LogCounters


class LogService:
    """The streams, their limits, faults and counters.

    :param retention: records kept a stream; ``None`` keeps all.
    :param appends_per_second: appends beyond it are answered 429.
    """

    def __init__(
        self,
        *,
        retention: int | None = None,
        appends_per_second: float = 300,
    ) -> None:
        self._streams: defaultdict[str, Stream] = defaultdict(
            partial(Stream, retention),
        )
        self._bucket = TokenBucket(appends_per_second)
        self._faults = LogFaults()
        self._counters = LogCounters()

    async def append(self, name: str, body: bytes) -> Response:
        """Append a record unless the log is down or busy."""
        await trio.sleep(self._faults.delay_ms / 1000)
        if self._faults.outage:
            self._counters.refused += 1
            return _answer(503, b'the log is down')
        if not self._bucket.take():
            self._counters.throttled += 1
            return _answer(429, b'too many appends')
        self._counters.appends += 1
        offset = self._streams[name].append(body)
        if self._faults.lose_answers > 0:
            return await self._lose()
        return _answer(201, msgspec.json.encode(_Appended(offset)))

    async def read(
        self,
        name: str,
        start: int,
        limit: int,
        wait: float,
    ) -> Response:
        """Read records, waiting for one when there is none yet."""
        self._counters.reads += 1
        await trio.sleep(self._faults.delay_ms / 1000)
        stream = self._streams[name]
        if start < stream.oldest:
            self._counters.expired += 1
            return _answer(410, msgspec.json.encode(_Expired(stream.oldest)))
        with trio.move_on_after(min(wait, MAX_WAIT)):
            await stream.wait_beyond(start)
        if self._faults.outage:
            self._counters.refused += 1
            return _answer(503, b'the log is down')
        if start < stream.oldest:
            return _answer(410, msgspec.json.encode(_Expired(stream.oldest)))
        records = stream.read(start, limit) if start < stream.end else []
        if records:
            self._count_page()
        page = _Page(stream.oldest, stream.end, records)
        return _answer(200, msgspec.json.encode(page))

    def control(self, body: bytes | None = None) -> Response:
        """Set the faults if there is a body; tell faults and counters."""
        if body is not None:
            try:
                self._faults = msgspec.json.decode(body, type=LogFaults)
            except msgspec.MsgspecError as error:
                return _answer(400, str(error).encode())
        told = _Control(self._faults, self._counters)
        return _answer(200, msgspec.json.encode(told))

    def _count_page(self) -> None:
        faults = self._faults
        if faults.outage_after_pages > 0:
            faults.outage_after_pages -= 1
            faults.outage = faults.outage_after_pages == 0

    async def _lose(self) -> Response:
        self._faults.lose_answers -= 1
        self._counters.lost += 1
        if self._faults.lose_silently:
            await trio.sleep(SILENCE)
        return _answer(500, b'the answer was lost')


def make_log_app(service: LogService) -> QuartTrio:
    """The log's HTTP application."""
    app = QuartTrio(__name__)
    records = '/streams/<name>/records'
    for rule, method, view in (
        (records, 'POST', _append),
        (records, 'GET', _read),
        ('/control', 'GET', _tell_control),
        ('/control', 'PUT', _set_control),
    ):
        app.add_url_rule(
            rule,
            endpoint=view.__name__,
            view_func=partial(view, service),
            methods=[method],
        )
    return app


async def _append(service: LogService, name: str) -> Response:
    return await service.append(name, await _read_body())


async def _read(service: LogService, name: str) -> Response:
    return await service.read(
        name,
        int(request.args.get('from', 0)),
        int(request.args.get('limit', 500)),
        float(request.args.get('wait', 0)),
    )


async def _tell_control(service: LogService) -> Response:
    return service.control()


async def _set_control(service: LogService) -> Response:
    return service.control(await _read_body())


async def _read_body() -> bytes:
    body = await request.get_data()
    assert isinstance(body, bytes), 'asked for as bytes'
    return body


def _answer(status: int, body: bytes) -> Response:
    return Response(body, status=status, content_type='application/json')
