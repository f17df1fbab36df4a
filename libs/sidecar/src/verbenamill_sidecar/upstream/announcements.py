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

#: Longest time for which the answer to a leaving upstream is held back until
#: the store holds its state, in seconds. Once the upstream has the answer, a
#: restarted daemon must not send it new work.
STORE_WRITE_TIMEOUT = 0.4


class Announcements:
    """Handles heartbeats and leave messages of the upstream.

    An answer of 200 commits this daemon to the announced state.

    :param parse: parses the announcements of the platform.
    :param is_known: whether the configuration has the service of a heartbeat.
    :param save: saves the announced state in the store, within a time limit in
        seconds.
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
                await self._save(STORE_WRITE_TIMEOUT)
                return _accepted()
            case Heartbeat():
                response = self._handle_heartbeat(announcement)
                if announcement.state is not UpstreamState.READY:
                    await self._save(STORE_WRITE_TIMEOUT)
                return response
        raise AssertionError('an announcement is one of three')

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
