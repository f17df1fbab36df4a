"""Handles requests that other daemons forward to the local upstream."""

from collections.abc import Callable
from http import HTTPStatus

import trio

from verbenamill_http.messages import (
    Header,
    end_to_end_headers,
    get_header,
)
from verbenamill_http.server import Request, Response
from verbenamill_model.typing import VmId
from verbenamill_policy.routes import Route, Split
from verbenamill_policy.transit import TransitTimes
from verbenamill_sidecar.protocol import HeaderNames
from verbenamill_sidecar.routing.call import (
    Call,
    ExecutionStatus,
    Outcome,
    not_run,
)
from verbenamill_sidecar.routing.credentials import remove_credentials
from verbenamill_sidecar.routing.hop import (
    CALL_HEADER,
    FETCH_HEADER,
    NO_ORGANISATION,
    HopCall,
    OrganisationClaim,
    encode_outcome,
    read_claim,
    read_hop,
)
from verbenamill_sidecar.routing.responses import error_response
from verbenamill_sidecar.state.desired_state import (
    DesiredState,
    VersionStamp,
    encode_snapshot,
)
from verbenamill_sidecar.upstream.local_upstream import LocalUpstream
from verbenamill_telemetry import Event, log

#: Time after a change in which requests that were chosen before it still run,
#: in seconds. A daemon whose configuration is older for longer is behind.
_CHANGE_GRACE = 0.5
_NOT_ROUTED = 'a newer configuration does not allow it'
_UNKNOWN_KEY = 'a newer configuration does not have the key'


class PeerRequestHandler:
    """Serves the port for requests of other daemons.

    :param record_stamp: called with the version stamp of each sender.
    """

    def __init__(
        self,
        local_upstream: LocalUpstream,
        names: HeaderNames,
        desired_state: DesiredState,
        record_stamp: Callable[[VmId, VersionStamp], None],
    ) -> None:
        self._local_upstream = local_upstream
        self._names = names
        self._desired_state = desired_state
        self._record_stamp = record_stamp
        self._transit = TransitTimes()
        self._version = -1
        self._version_since = float('-inf')

    async def handle(self, request: Request) -> Response:
        """Run a forwarded request on the local upstream, or refuse it."""
        headers = request.head.headers
        hop = read_hop(headers)
        claim = read_claim(headers)
        if hop is None or claim is None:
            return self._handle_other(request)
        self._record_stamp(VmId(hop.sender.partition('/')[0]), hop.stamp)
        self._note_version()
        if self._is_behind(hop):
            reason = self._find_outdated(request, hop, claim)
            if reason is not None:
                return self._refuse_outdated(hop, reason)
        call = self._make_call(request, hop, claim)
        if hop.limit is not None:
            self._local_upstream.restore_limit(
                hop.instance, hop.born, hop.limit
            )
        outcome = None
        try:
            outcome = await self._local_upstream.run(
                call,
                instance=hop.instance,
                version=hop.version,
            )
        finally:
            if outcome is None:
                self._log_cancelled(hop, call)
        if outcome.execution is not ExecutionStatus.ANSWERED:
            self._log_refusal(hop, outcome)
        return encode_outcome(outcome, self._desired_state.stamp)

    def _refuse_outdated(self, hop: HopCall, reason: str) -> Response:
        outcome = not_run(reason)
        outcome.load = self._local_upstream.load
        self._log_refusal(hop, outcome)
        return encode_outcome(outcome, self._desired_state.stamp)

    def _note_version(self) -> None:
        """Note since when requests have met this configuration."""
        if self._version != self._desired_state.version:
            self._version = self._desired_state.version
            self._version_since = trio.current_time()

    def _is_behind(self, hop: HopCall) -> bool:
        """Whether the sender lacks this configuration although it is known."""
        version, _ = hop.stamp
        if not 0 <= version < self._desired_state.version:
            return False
        return trio.current_time() - self._version_since >= _CHANGE_GRACE

    def _find_outdated(
        self, request: Request, hop: HopCall, claim: OrganisationClaim
    ) -> str | None:
        """Return why this newer configuration does not allow a request."""
        table = self._desired_state.table
        if table is None:
            return None
        host = get_header(request.head.headers, b'host') or b''
        route = table.find(host, request.head.target)
        if route is None or all(
            split.service != hop.service for split in route.splits
        ):
            return _NOT_ROUTED
        organisations = table.organisations
        if (
            organisations is None
            or organisations.holds(claim.name, claim.key)
            or (claim == NO_ORGANISATION and (route.is_public or hop.is_nested))
        ):
            return None
        return _UNKNOWN_KEY

    def _handle_other(self, request: Request) -> Response:
        headers = request.head.headers
        if get_header(headers, FETCH_HEADER) is not None:
            return Response(
                status=HTTPStatus.OK,
                body=encode_snapshot(self._desired_state.snapshot),
            )
        if get_header(headers, CALL_HEADER) is not None:
            # The sender is a daemon with another version of the software.
            outcome = not_run('the headers between daemons cannot be read')
            outcome.load = self._local_upstream.load
            return encode_outcome(outcome)
        return error_response(
            HTTPStatus.BAD_REQUEST, 'this port is for daemons'
        )

    def _make_call(
        self, request: Request, hop: HopCall, claim: OrganisationClaim
    ) -> Call:
        arrived = request.received_at - self._transit_delay(request, hop)
        route = Route(
            name=hop.route,
            host='',
            prefix='',
            kind=hop.kind,
            timeout=hop.deadline / 1000,
            objective=hop.objective / 1000,
            priority=hop.priority,
            max_attempts=1,
            splits=(Split(hop.service, 1),),
        )
        return Call(
            id=hop.id.encode('latin-1'),
            route=route,
            service=hop.service,
            method=request.head.method,
            target=request.head.target,
            headers=self._forwarded_headers(request),
            body=request.body,
            origin=hop.origin.encode('latin-1'),
            arrived=arrived,
            objective=arrived + route.objective,
            deadline=arrived + route.timeout,
            is_nested=hop.is_nested,
            is_alone=hop.is_alone,
            organisation=claim.name,
            key=claim.key,
        )

    def _forwarded_headers(self, request: Request) -> list[Header]:
        """Return the headers to forward.

        A sender without the organisations, whose configuration is older, has
        left the headers that only daemons may set.
        """
        headers = end_to_end_headers(request.head.headers)
        table = self._desired_state.table
        if table is None or table.organisations is None:
            return headers
        return remove_credentials(headers, self._names)

    def _transit_delay(self, request: Request, hop: HopCall) -> float:
        """Estimate how long the link has delayed a request, in seconds."""
        if not hop.sender:
            return 0
        return self._transit.add(
            hop.sender,
            sent=hop.sent / 1000,
            received=request.received_at,
        )

    def _log_cancelled(self, hop: HopCall, call: Call) -> None:
        elapsed = trio.current_time() - call.arrived
        log(
            Event.RUN_ABORTED,
            request=hop.id,
            route=hop.route,
            ms=int(elapsed * 1000),
            sender=hop.sender,
            stopping=self._local_upstream.is_stopping,
            left=hop.deadline - int(elapsed * 1000),
        )

    def _log_refusal(self, hop: HopCall, outcome: Outcome) -> None:
        log(
            Event.OWNER_REFUSED,
            request=hop.id,
            route=hop.route,
            outcome=outcome.execution.value,
            reason=outcome.reason,
            detail=outcome.detail,
            load=self._local_upstream.load,
            left=hop.deadline,
        )
