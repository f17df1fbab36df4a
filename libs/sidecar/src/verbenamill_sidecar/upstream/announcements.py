"""The port on which the upstream beside this daemon announces itself."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import trio

from verbenamill_http.server import Request, Response
from verbenamill_model.typing import UpstreamState
from verbenamill_policy.heartbeats import Heartbeat, HeartbeatResult
from verbenamill_sidecar.protocol import (
    AnnouncementParser,
    InvalidAnnouncement,
    LeaveAnnouncement,
)
from verbenamill_sidecar.routing.responses import error_response
from verbenamill_sidecar.upstream.local_upstream import LocalUpstream
from verbenamill_telemetry import Event, log

#: Time from an announcement to its answer, in seconds. The upstream takes a
#: later answer for none.
_ANSWER_TIME = 0.8
#: Time after which an upstream may announce its shutdown again, in seconds.
_RETRY_AFTER = b'0.5'


class Announcements:
    """Handles heartbeats and leave messages of the upstream.

    An answer of 200 to a shutdown is a promise: no daemon sends the upstream a
    request, also if all daemons are killed and start again. It is therefore
    given only if this daemon sends the upstream nothing and the store holds
    that. Without it the upstream keeps serving for a while and announces its
    shutdown again; it gets no requests of this process meanwhile.

    :param parse: parses the announcements of the platform.
    :param is_known: whether the configuration has the service of a heartbeat.
    :param save: saves the announced state in the store, within a time limit in
        seconds; returns whether the store holds it.
    :ivar unsaved_shutdowns: number of shutdowns that were not acknowledged,
        because the store did not hold them in time.
    :param peer_state_received: set once another daemon has sent its state, or
        soon after the start.
    """

    def __init__(
        self,
        own: LocalUpstream,
        *,
        parse: AnnouncementParser,
        is_known: Callable[[Heartbeat], bool],
        peer_state_received: trio.Event,
        save: Callable[[float], Awaitable[bool]],
    ) -> None:
        self._save = save
        self._own_upstream = own
        self._peer_state_received = peer_state_received
        self._parse = parse
        self._is_known = is_known
        self.unsaved_shutdowns = 0

    async def handle(self, request: Request) -> Response:
        """Answer one announcement."""
        # The previous process may have acknowledged a drain that only other
        # daemons know of. If a delayed heartbeat from before that drain were
        # accepted now, callers would be sent to an upstream that is about to
        # end.
        await self._peer_state_received.wait()
        head = request.head
        announcement = self._parse(head.method, head.target, request.body)
        match announcement:
            case InvalidAnnouncement():
                log(Event.ANNOUNCEMENT_REFUSED, reason=announcement.reason)
                return error_response(
                    HTTPStatus.BAD_REQUEST, announcement.reason
                )
            case LeaveAnnouncement():
                known = self._own_upstream.handle_leave(announcement)
                log(
                    Event.UPSTREAM_DEREGISTERED,
                    instance=announcement.instance,
                    known=known,
                )
                return await self._acknowledge_shutdown(announcement, request)
            case Heartbeat():
                response = self._handle_heartbeat(announcement)
                is_refused = response.status != HTTPStatus.OK
                if is_refused or announcement.state is UpstreamState.READY:
                    return response
                return await self._acknowledge_shutdown(announcement, request)
        raise AssertionError('an announcement is one of three')

    async def _acknowledge_shutdown(
        self, announcement: Heartbeat | LeaveAnnouncement, request: Request
    ) -> Response:
        """Acknowledge a shutdown that is in force, once the store holds it."""
        start_id = (announcement.instance, announcement.born)
        if not self._own_upstream.register.keeps_out(*start_id):
            reason = 'a later start of this upstream is in use'
            log(Event.ANNOUNCEMENT_REFUSED, reason=reason)
            return error_response(HTTPStatus.CONFLICT, reason)
        time_left = request.received_at + _ANSWER_TIME - trio.current_time()
        if await self._save(max(time_left, 0)):
            return _accepted()
        self.unsaved_shutdowns += 1
        log(Event.SHUTDOWN_NOT_SAVED, instance=announcement.instance)
        response = error_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'the store does not hold this shutdown yet',
        )
        response.headers.append((b'retry-after', _RETRY_AFTER))
        return response

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> Response:
        if not self._is_known(heartbeat):
            reason = f'service {heartbeat.service!r} is not known here'
            log(Event.ANNOUNCEMENT_REFUSED, reason=reason)
            return error_response(HTTPStatus.BAD_REQUEST, reason)
        result = self._own_upstream.handle_heartbeat(heartbeat)
        if result is not HeartbeatResult.UNCHANGED:
            log(
                Event.UPSTREAM_HEARTBEAT,
                instance=heartbeat.instance,
                service=heartbeat.service,
                version=heartbeat.version,
                state=heartbeat.state.value,
                sequence=heartbeat.sequence,
                born=heartbeat.born,
                belief=result.value,
            )
        if result is HeartbeatResult.OTHER_ADDRESS:
            reason = (
                f'{heartbeat.address} is not the upstream beside this daemon'
            )
            return error_response(HTTPStatus.BAD_REQUEST, reason)
        return _accepted()


def _accepted() -> Response:
    return Response(
        status=HTTPStatus.OK,
        headers=[(b'content-type', b'application/json')],
        body=b'{}',
    )
