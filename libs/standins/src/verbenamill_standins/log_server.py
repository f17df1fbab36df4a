"""HTTP interface of the stand-in log, with fault injection."""

from collections import defaultdict
from functools import partial

import msgspec
import trio
from msgspec import Struct
from quart import Response, request
from quart_trio import QuartTrio

from verbenamill_standins.log_store import StoredRecord, Stream, TokenBucket

#: Upper bound on the time for which a read waits for a record.
MAX_LONG_POLL_SECONDS = 60.0
#: Delay of a lost response when ``lose_silently`` is set.
LOST_ANSWER_HOLD_SECONDS = 30.0


class LogFaults(Struct, kw_only=True, forbid_unknown_fields=True):
    """Injected faults; ``PUT /control`` resets the omitted fields.

    :param outage: reject all reads and appends with 503.
    :param delay_ms: delay added to each read and append.
    :param lose_answers: number of coming appends that take effect but whose
        success is not reported.
    :param outage_after_pages: number of non-empty reads after which an
        outage begins; -1 for none.
    :param lose_silently: hold a lost answer back instead of responding with
        500 at once.
    """

    outage: bool = False
    outage_after_pages: int = -1
    delay_ms: float = 0
    lose_answers: int = 0
    lose_silently: bool = False


class LogCounters(Struct, kw_only=True):
    """Requests since the start; a long poll counts as one read."""

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
    records: list[StoredRecord]


class _Expired(Struct):
    oldest: int


class _ControlState(Struct):
    faults: LogFaults
    counters: LogCounters


class LogService:
    """Streams with their limits, injected faults and counters.

    :param retention: records retained per stream; ``None`` retains all.
    :param appends_per_second: rate above which appends get a 429 response.
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
        """Append a record unless the log is down or the rate is exceeded."""
        await trio.sleep(self._faults.delay_ms / 1000)
        if self._faults.outage:
            self._counters.refused += 1
            return _make_response(503, b'the log is down')
        if not self._bucket.try_acquire():
            self._counters.throttled += 1
            return _make_response(429, b'too many appends')
        self._counters.appends += 1
        offset = self._streams[name].append(body)
        if self._faults.lose_answers > 0:
            return await self._lose_answer()
        return _make_response(201, msgspec.json.encode(_Appended(offset)))

    async def read(
        self,
        name: str,
        start: int,
        limit: int,
        wait: float,
    ) -> Response:
        """Read records; wait for one if there is none yet."""
        self._counters.reads += 1
        await trio.sleep(self._faults.delay_ms / 1000)
        stream = self._streams[name]
        if start < stream.oldest:
            self._counters.expired += 1
            return _make_response(
                410, msgspec.json.encode(_Expired(stream.oldest))
            )
        with trio.move_on_after(min(wait, MAX_LONG_POLL_SECONDS)):
            await stream.wait_beyond(start)
        if self._faults.outage:
            self._counters.refused += 1
            return _make_response(503, b'the log is down')
        if start < stream.oldest:
            return _make_response(
                410, msgspec.json.encode(_Expired(stream.oldest))
            )
        records = stream.read(start, limit) if start < stream.end else []
        if records:
            self._count_page_towards_outage()
        page = _Page(stream.oldest, stream.end, records)
        return _make_response(200, msgspec.json.encode(page))

    def control(self, body: bytes | None = None) -> Response:
        """Set the faults if a body is given; return faults and counters."""
        if body is not None:
            try:
                self._faults = msgspec.json.decode(body, type=LogFaults)
            except msgspec.MsgspecError as error:
                return _make_response(400, str(error).encode())
        state_snapshot = _ControlState(self._faults, self._counters)
        return _make_response(200, msgspec.json.encode(state_snapshot))

    def _count_page_towards_outage(self) -> None:
        faults = self._faults
        if faults.outage_after_pages > 0:
            faults.outage_after_pages -= 1
            faults.outage = faults.outage_after_pages == 0

    async def _lose_answer(self) -> Response:
        self._faults.lose_answers -= 1
        self._counters.lost += 1
        if self._faults.lose_silently:
            await trio.sleep(LOST_ANSWER_HOLD_SECONDS)
        return _make_response(500, b'the answer was lost')


def make_log_app(service: LogService) -> QuartTrio:
    """Create the HTTP application of the log."""
    app = QuartTrio(__name__)
    records = '/streams/<name>/records'
    for rule, method, view in (
        (records, 'POST', _append),
        (records, 'GET', _read),
        ('/control', 'GET', _get_control),
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


async def _get_control(service: LogService) -> Response:
    return service.control()


async def _set_control(service: LogService) -> Response:
    return service.control(await _read_body())


async def _read_body() -> bytes:
    body = await request.get_data()
    assert isinstance(body, bytes), 'get_data() returns bytes by default'
    return body


def _make_response(status: int, body: bytes) -> Response:
    return Response(body, status=status, content_type='application/json')
