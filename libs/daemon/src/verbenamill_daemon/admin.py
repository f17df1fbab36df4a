"""Admin API for announcements, status and test switches, on its own port."""

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

JSON_CONTENT_TYPE = 'application/json'
METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
#: Announcements and switch requests are far smaller than this; a larger body
#: is a client error or an attack.
MAX_BODY_BYTES = 64 * 1024


class CutRequest(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /cut``: zones whose links this daemon drops in tests."""

    zones: tuple[AvailabilityZone, ...] = ()


@dataclass(frozen=True, kw_only=True)
class AdminContext:
    """Callbacks through which the admin API reads and controls the daemon.

    :param cut: drops the links to availability zones; ``None`` if the
        settings do not allow it.
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
    app.config['MAX_CONTENT_LENGTH'] = MAX_BODY_BYTES
    _add_read_routes(app, context)
    _add_probe_routes(app, context)
    _add_write_routes(app, context)
    return app


def _add_read_routes(app: QuartTrio, context: AdminContext) -> None:
    read_functions: dict[str, Callable[[], Any]] = {
        '/status': context.status,
        '/members': lambda: list(context.members().values()),
        '/configuration': lambda: context.state().snapshot,
        '/verdicts': lambda: context.state().verdicts,
        '/moves': context.moves,
        '/calls': context.calls,
    }
    for path, read in read_functions.items():
        app.add_url_rule(path, path, _make_read_handler(read), methods=['GET'])


def _make_read_handler(
    read: Callable[[], Any],
) -> Callable[[], Awaitable[Response]]:
    async def handle_read() -> Response:
        return _json_response(as_plain(read()))

    return handle_read


def _add_probe_routes(app: QuartTrio, context: AdminContext) -> None:
    @app.get('/healthz')
    async def healthz() -> Response:
        return _json_response({'alive': True})

    @app.get('/readyz')
    async def readyz() -> Response:
        ready = context.status().ready
        return _json_response({'ready': ready}, status=200 if ready else 503)

    @app.get('/metrics')
    async def metrics() -> Response:
        return Response(
            generate_latest(context.registry),
            content_type=METRICS_CONTENT_TYPE,
        )


def _add_write_routes(app: QuartTrio, context: AdminContext) -> None:
    @app.put('/upstream')
    async def announce() -> Response:
        match read_announcement(await _read_body()):
            case Success(announcement):
                context.announce(announcement)
                return Response(status=204)
            case Failure(reason):
                return _json_response({'error': reason}, status=400)
        raise AssertionError('a Result is either a Success or a Failure')

    @app.post('/cut')
    async def cut() -> Response:
        if context.cut is None:
            return _json_response(
                {'error': 'set [test] switches = true to cut links'},
                status=403,
            )
        try:
            cut_request = msgspec.json.decode(
                await _read_body(),
                type=CutRequest,
            )
        except msgspec.MsgspecError as error:
            return _json_response({'error': str(error)}, status=400)
        context.cut(frozenset(cut_request.zones))
        return Response(status=204)


async def _read_body() -> bytes:
    body = await request.get_data(as_text=False)
    assert isinstance(body, bytes), 'get_data(as_text=False) returns bytes'
    return body


def _json_response(value: Any, *, status: int = 200) -> Response:
    return Response(
        msgspec.json.encode(value),
        status=status,
        content_type=JSON_CONTENT_TYPE,
    )


async def serve_admin(
    app: QuartTrio,
    address: str,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the admin API until cancelled.

    :param address: ``host:port`` to listen on.
    :param task_status: reports that the server listens.
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
        task_status=_StartedForwarder(task_status),
    )


class _StartedForwarder:
    """Reports the start of the server without hypercorn's list of addresses.

    The wrapped task status takes no value.
    """

    def __init__(self, task_status: trio.TaskStatus[None]) -> None:
        self._task_status = task_status

    def started(self, _: object = None) -> None:
        """Report the start to the wrapped task status."""
        self._task_status.started()
