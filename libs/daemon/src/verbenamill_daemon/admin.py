"""Admin API: announcements, status and switches, on a port of its own."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from msgspec import Struct
from prometheus_client import CollectorRegistry, generate_latest
from quart import Response, request
from quart_trio import QuartTrio
from returns.result import Failure, Success

from verbenamill_model import State, as_plain
from verbenamill_model.status import Status
from verbenamill_model.traffic import Member
from verbenamill_model.typing import AvailabilityZone, VmId
from verbenamill_runtime import Announcement, read_announcement

JSON = 'application/json'
METRICS = 'text/plain; version=0.0.4; charset=utf-8'
#: Announcements and switches are small; more is a mistake or an attack.
MAX_BODY = 64 * 1024


class Cut(Struct, frozen=True, forbid_unknown_fields=True):
    """Availability zones whose links this daemon drops, for tests."""

    zones: tuple[AvailabilityZone, ...] = ()


@dataclass(frozen=True, kw_only=True)
class AdminContext:
    """What the admin API may read and do.

    :param cut: the link switch, or ``None`` where it is not allowed.
    """

    status: Callable[[], Status]
    state: Callable[[], State]
    members: Callable[[], dict[VmId, Member]]
    moves: Callable[[], list[Any]]
    calls: Callable[[], Any]
    announce: Callable[[Announcement], None]
    registry: CollectorRegistry
    cut: Callable[[frozenset[AvailabilityZone]], None] | None


def build_app(context: AdminContext) -> QuartTrio:
    """Build the ASGI application of the admin API."""
    app = QuartTrio('verbenamilld')
    app.config['MAX_CONTENT_LENGTH'] = MAX_BODY
    _add_reads(app, context)
    _add_probes(app, context)
    _add_writes(app, context)
    return app


def _add_reads(app: QuartTrio, context: AdminContext) -> None:
    reads: dict[str, Callable[[], Any]] = {
        '/status': context.status,
        '/members': lambda: list(context.members().values()),
        '/configuration': lambda: context.state().snapshot,
        '/verdicts': lambda: context.state().verdicts,
        '/moves': context.moves,
        '/calls': context.calls,
    }
    for path, read in reads.items():
        app.add_url_rule(path, path, _answer(read), methods=['GET'])


def _answer(read: Callable[[], Any]) -> Callable[[], Awaitable[Response]]:
    async def answer() -> Response:
        return _reply(as_plain(read()))

    return answer


def _add_probes(app: QuartTrio, context: AdminContext) -> None:
    @app.get('/healthz')
    async def healthz() -> Response:
        return _reply({'alive': True})

    @app.get('/readyz')
    async def readyz() -> Response:
        ready = context.status().ready
        return _reply({'ready': ready}, status=200 if ready else 503)

    @app.get('/metrics')
    async def metrics() -> Response:
        return Response(
            generate_latest(context.registry),
            content_type=METRICS,
        )


def _add_writes(app: QuartTrio, context: AdminContext) -> None:
    @app.put('/upstream')
    async def announce() -> Response:
        match read_announcement(await _read_body()):
            case Success(announcement):
                context.announce(announcement)
                return Response(status=204)
            case Failure(reason):
                return _reply({'error': reason}, status=400)
        raise AssertionError('a result is a success or a failure')

    @app.post('/cut')
    async def cut() -> Response:
        if context.cut is None:
            return _reply(
                {'error': 'set [test] switches = true to cut links'},
                status=403,
            )
        try:
            wanted = msgspec.json.decode(await _read_body(), type=Cut)
        except msgspec.MsgspecError as error:
            return _reply({'error': str(error)}, status=400)
        context.cut(frozenset(wanted.zones))
        return Response(status=204)


async def _read_body() -> bytes:
    body = await request.get_data(as_text=False)
    assert isinstance(body, bytes), 'as_text=False gives bytes'
    return body


def _reply(value: Any, *, status: int = 200) -> Response:
    return Response(
        msgspec.json.encode(value),
        status=status,
        content_type=JSON,
    )


async def serve_admin(
    app: QuartTrio,
    address: str,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the admin API until cancelled.

    :param address: ``host:port`` to listen on.
    """
    config = Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 1
    await serve(
        app,
        config,
        shutdown_trigger=trio.sleep_forever,
        task_status=_Forward(task_status),
    )


class _Forward:
    """Tells of the start without hypercorn's list of addresses."""

    def __init__(self, task_status: trio.TaskStatus[None]) -> None:
        self._task_status = task_status

    def started(self, _: object = None) -> None:
        """Pass the start on."""
        self._task_status.started()
