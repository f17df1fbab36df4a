"""The port where the own upstream tells of itself."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus

import trio

from verbenamill_http.server import Request, Response
from verbenamill_model.typing import UpstreamState
from verbenamill_policy.heartbeats import HeartbeatResult, Heartbeat
from verbenamill_sidecar.local_upstream import LocalUpstream
from verbenamill_sidecar.protocol import (
    LeaveAnnouncement,
    InvalidAnnouncement,
    AnnouncementParser,
)
from verbenamill_sidecar.responses import error_response
from verbenamill_telemetry import Event, log


#: Longest time for which the answer to a leaving upstream waits until the
#: store has it, in seconds. Once the upstream has its answer, no start of
#: this daemon may send it new work.
REMEMBER_TIME = 0.4


class Announcements:
    """Takes heartbeats; an answer of 200 binds this daemon.

    :param read: knows their form.
    :param is_known: whether a service is one of the configuration's.
    :param remember: puts what was told into the store, within a time.
    :param has_met: set once another daemon has told what it remembers, or
        soon after the start.
    """

    def __init__(
        self,
        own: LocalUpstream,
        *,
        read: AnnouncementParser,
        is_known: Callable[[Heartbeat], bool],
        has_met: trio.Event,
        remember: Callable[[float], Awaitable[bool]],
    ) -> None:
        self._remember = remember
        self._own = own
        self._has_met = has_met
        self._read = read
        self._is_known = is_known

    async def handle(self, request: Request) -> Response:
        """Answer one announcement."""
        # The daemon before may have acknowledged a drain that only the others
        # remember. A heartbeat from before it, believed now, would send
        # callers to an upstream that is about to end.
        await self._has_met.wait()
        head = request.head
        told = self._read(head.method, head.target, request.body)
        match told:
            case InvalidAnnouncement():
                log(Event.ANNOUNCEMENT_REFUSED, reason=told.reason)
                return error_response(HTTPStatus.BAD_REQUEST, told.reason)
            case LeaveAnnouncement():
                known = self._own.handle_leave(told)
                log(
                    Event.UPSTREAM_DEREGISTERED,
                    instance=told.instance,
                    known=known,
                )
                await self._remember(REMEMBER_TIME)
                return _accepted()
            case Heartbeat():
                response = self._take(told)
                if told.state is not UpstreamState.READY:
                    await self._remember(REMEMBER_TIME)
                return response
        raise AssertionError('an announcement is one of three')

    def _take(self, beat: Heartbeat) -> Response:
        if not self._is_known(beat):
            reason = f'service {beat.service!r} is not known here'
            log(Event.ANNOUNCEMENT_REFUSED, reason=reason)
            return error_response(HTTPStatus.BAD_REQUEST, reason)
        belief = self._own.handle_heartbeat(beat)
        if belief is not HeartbeatResult.UNCHANGED:
            log(
                Event.UPSTREAM_HEARTBEAT,
                instance=beat.instance,
                service=beat.service,
                version=beat.version,
                state=beat.state.value,
                sequence=beat.sequence,
                born=beat.born,
                belief=belief.value,
            )
        if belief is HeartbeatResult.OTHER_ADDRESS:
            reason = f'{beat.address} is not the upstream beside this daemon'
            return error_response(HTTPStatus.BAD_REQUEST, reason)
        return _accepted()


def _accepted() -> Response:
    return Response(
        status=HTTPStatus.OK,
        headers=[(b'content-type', b'application/json')],
        body=b'{}',
    )
