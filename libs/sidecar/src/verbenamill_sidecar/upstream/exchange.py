"""Sends requests to the local upstream and classifies what comes back."""

from collections.abc import Callable

import trio
from msgspec import Struct

from verbenamill_http.client import ClientResponse, ExchangeFailure
from verbenamill_http.messages import get_header
from verbenamill_policy.admission import Admission
from verbenamill_policy.fingerprints import Fingerprint
from verbenamill_policy.heartbeats import UpstreamTracker
from verbenamill_policy.members import UpstreamRecord
from verbenamill_policy.nested_calls import NestedCallTracker
from verbenamill_policy.pace import mean_pace
from verbenamill_policy.quarantine import CrashId
from verbenamill_policy.tallies import UpstreamCounts
from verbenamill_sidecar.protocol import HeaderNames
from verbenamill_sidecar.quarantine.crashing import CrashDetector
from verbenamill_sidecar.quarantine.suspects import (
    RequestIdentity,
    SuspectGate,
)
from verbenamill_sidecar.routing.call import (
    Call,
    ExecutionStatus,
    Outcome,
    not_run,
    unknown,
)
from verbenamill_sidecar.upstream.in_band import read_signals
from verbenamill_sidecar.upstream.rate_limiting import UpstreamRateLimiter
from verbenamill_sidecar.upstream.upstream_link import (
    UpstreamLink,
    max_idle_of,
)
from verbenamill_telemetry import Event, log

#: If a reused connection fails within this time in seconds, it is taken to have
#: been closed before the request was sent.
_STALE_CONNECTION_TIME = 0.02
#: Least time to the deadline with which a request is sent, in seconds.
_MIN_TIME_LEFT = 0.002
#: Retry delay after a refusal by an upstream with free slots, in seconds. There
#: is no queue to wait for; a caller that retries after this delay can still
#: meet its objective.
_REFUSAL_RETRY_DELAY = 0.01

_MISDIRECTED = 421
_GATEWAY_TIMEOUT = 504
_SERVER_ERROR = 500
_UNAVAILABLE = 503
_FIRST_NON_SUCCESS = 300


class ExchangeContext(Struct, frozen=True, kw_only=True):
    """What the exchanges with the local upstream depend on.

    :param register: the upstream's own state.
    :param limits: gets the limits that responses announce.
    :param counts: gets the results of the upstream's version.
    :param gate: gets the crashes that are found.
    :param is_cold: whether the upstream was cold at some time.
    :param on_change: called when a response changes the upstream's state.
    :param on_unreachable: called when the upstream takes no connections.
    """

    names: HeaderNames
    link: UpstreamLink
    register: UpstreamTracker
    limits: UpstreamRateLimiter
    counts: UpstreamCounts
    nested_calls: NestedCallTracker
    gate: SuspectGate
    is_cold: Callable[[float], bool]
    on_change: Callable[[], None]
    on_unreachable: Callable[[UpstreamRecord], None]


class UpstreamExchange:
    """The requests that run at the local upstream.

    :ivar crashes: tells whether a lost request ended with a crash.
    """

    def __init__(self, context: ExchangeContext) -> None:
        self._context = context
        self._names = context.names
        self._link = context.link
        self._pool = context.link.pool
        self._register = context.register
        self._limits = context.limits
        self._counts = context.counts
        self._running_calls: dict[bytes, Call] = {}
        self._running_scopes: set[trio.CancelScope] = set()
        self._is_cancelling = False
        self.crashes = CrashDetector(
            self._register,
            self._pool,
            on_unreachable=context.on_unreachable,
            in_flight=self._running_fingerprints,
            on_crash_found=self._report_crash,
        )

    async def send(
        self, call: Call, upstream: UpstreamRecord, admission: Admission
    ) -> Outcome:
        """Send a request and recognise its nested calls while it runs.

        A request that is not idempotent isn't cancelled once it was sent, even
        if its caller has disconnected: whether it ran would be unknown.
        """
        self._running_calls[call.id] = call
        try:
            return await self._send_shielded(call, upstream, admission)
        finally:
            self._running_calls.pop(call.id, None)
            self._context.nested_calls.record_end(call.route.name)

    def cancel_running(self) -> None:
        """Cancel all running requests at the end of a shutdown.

        The process is about to be killed. If the callers are answered now,
        they learn that the result of their requests is unknown; otherwise
        their connections would be cut.
        """
        self._is_cancelling = True
        for scope in self._running_scopes:
            scope.cancel()

    def find_parent(self, id: bytes) -> Call | None:
        """Find the running request that makes a nested call.

        The id of a nested call is the id of its parent, a dot and a suffix.
        Calls with any other id are treated as not nested.
        """
        parent_id = id.rpartition(b'.')[0]
        return self._running_calls.get(parent_id) if parent_id else None

    async def _send_shielded(
        self,
        call: Call,
        upstream: UpstreamRecord,
        admission: Admission,
    ) -> Outcome:
        outcome = None
        with trio.CancelScope(
            deadline=call.deadline,
            shield=not call.is_idempotent,
        ) as scope:
            self._running_scopes.add(scope)
            try:
                outcome = await self._send(call, upstream, admission)
            finally:
                self._running_scopes.discard(scope)
        if outcome is None and self._is_cancelling:
            return unknown('the daemon has stopped')
        return outcome or unknown('no answer by the deadline')

    async def _send(
        self, call: Call, upstream: UpstreamRecord, admission: Admission
    ) -> Outcome:
        time_left = call.deadline - trio.current_time()
        if time_left < _MIN_TIME_LEFT:
            admission.record_unsent(trio.current_time())
            return not_run('the deadline has passed')
        max_idle = max_idle_of(call)
        failure = ExchangeFailure.CONNECTION_LOST
        was_sent = False
        for _ in range(2):
            connection = await self._pool.acquire(max_idle=max_idle)
            if connection is None and not was_sent:
                admission.record_unsent(trio.current_time())
                return self._refuse_unreachable(upstream)
            if connection is None:
                break
            sent_at = trio.current_time()
            if was_sent:
                admission.record_resend(sent_at)
            self._limits.counts.sent += admission.is_paced
            pace = admission.pace.factor(sent_at)
            result = await self._link.exchange(call, upstream, connection)
            service_time = trio.current_time() - sent_at
            was_reused = not connection.is_new
            if isinstance(result, ClientResponse):
                self.crashes.record_response(sent_at)
                self._observe_response(upstream, result, sent_at, admission)
                pace = mean_pace(pace, admission.pace.factor(sent_at))
                return self._make_outcome(
                    call, upstream, result, service_time, pace, admission
                )
            # A reused connection may have been closed by the upstream without
            # notice, so that the request did not run. A request that isn't
            # idempotent is sent again only if the kernel refused the first
            # send, which proves that it did not run.
            failure = result
            was_sent |= failure is not ExchangeFailure.NOT_SENT
            is_safe = failure is ExchangeFailure.NOT_SENT or call.is_idempotent
            if not (
                was_reused and is_safe and service_time < _STALE_CONNECTION_TIME
            ):
                break
        if failure is ExchangeFailure.MALFORMED:
            self.count(call, failed=True, service_time=None)
        else:
            self._counts.add_lost(call.route.name)
        if not was_sent:
            return not_run('the upstream closed the connection')
        return await self._classify_loss(call, upstream, failure)

    def _observe_response(
        self,
        upstream: UpstreamRecord,
        answer: ClientResponse,
        asked_at: float,
        admission: Admission,
    ) -> None:
        """Apply what a response says of the upstream's state."""
        current = self._register.current
        start_id = (upstream.instance, upstream.born)
        if current is None or (current.instance, current.born) != start_id:
            return
        signals = read_signals(answer, self._names)
        self._limits.observe(signals, asked_at=asked_at)
        if signals.pace is not None:
            admission.pace.record(signals.pace, trio.current_time())
        if signals.is_leaving and self._register.leave_in_band(*start_id):
            log(Event.UPSTREAM_LEAVING, instance=upstream.instance)
            self._context.on_change()

    async def _classify_loss(
        self,
        call: Call,
        upstream: UpstreamRecord,
        failure: ExchangeFailure,
    ) -> Outcome:
        """Outcome of a request that was sent but got no response."""
        if failure is ExchangeFailure.MALFORMED:
            return unknown('the answer was garbled')
        crash = await self.crashes.explain(call, upstream)
        if crash is None:
            return unknown('the answer was lost')
        return unknown('the upstream crashed', crash=crash)

    def _make_outcome(
        self,
        call: Call,
        upstream: UpstreamRecord,
        answer: ClientResponse,
        service_time: float,
        pace: float,
        admission: Admission,
    ) -> Outcome:
        names = self._names
        if answer.status == _MISDIRECTED:
            # Another upstream has the address until the next heartbeat.
            self._context.on_unreachable(upstream)
            return not_run('another upstream has the address')
        if get_header(answer.headers, names.not_run) is not None:
            # The upstream refused although it has free slots by this daemon's
            # count, so there is no queue to wait for. The next attempt, here
            # or at another upstream, may be accepted.
            return not_run(
                'the upstream refused it',
                reached=True,
                wait=_REFUSAL_RETRY_DELAY,
            )
        is_sealed = get_header(answer.headers, names.seal) is not None
        if answer.status < _FIRST_NON_SUCCESS and not is_sealed:
            self.count(call, failed=True, service_time=None)
            return unknown('the answer bears no seal')
        is_late = answer.status == _GATEWAY_TIMEOUT
        # A failed nested call isn't counted against the version: otherwise
        # a service at capacity would cause the rollback of any version of
        # the services that call it.
        failed = answer.status >= _SERVER_ERROR and not is_late
        is_excused = failed and call.nested_status >= _SERVER_ERROR
        if not is_excused:
            self.count(
                call,
                failed=failed,
                service_time=None if failed else service_time,
                excuse=admission.pace.excuse(pace, trio.current_time()),
            )
        return Outcome(
            execution=ExecutionStatus.ANSWERED,
            answer=answer,
            reached=True,
            mean_service_time=admission.times.expect(
                call.route.name,
                objective=call.route.objective,
            ),
            # Another upstream would make the same nested call and fail too.
            everywhere=is_excused and call.nested_status == _UNAVAILABLE,
            service_time=service_time,
        )

    def count(
        self,
        call: Call,
        *,
        failed: bool,
        service_time: float | None,
        excuse: float = 1,
    ) -> None:
        """Count a result for the evidence on the upstream's version.

        :param excuse: factor of the service time that is not due to the
            version.
        """
        # The time of a cold start is no property of the version.
        began_at = trio.current_time() - (service_time or 0)
        is_cold = self._context.is_cold(began_at)
        self._counts.add(
            call.route.name,
            failed=failed,
            took=None
            if is_cold or service_time is None
            else service_time / excuse,
        )

    def _refuse_unreachable(self, upstream: UpstreamRecord) -> Outcome:
        """Handle a refused connection to the upstream."""
        self.crashes.record_refused_connection(upstream)
        return not_run('the upstream takes no connection')

    def _report_crash(self, request: RequestIdentity, crash: CrashId) -> None:
        """Tell others of a crash whose ingress has had its answer already."""
        gate = self._context.gate
        gate.record_crash(request, crash)
        gate.publish_suspicion(request.fingerprint)

    def _running_fingerprints(self) -> list[Fingerprint]:
        """Fingerprints of the requests at the upstream."""
        return [
            call.find_fingerprint() for call in self._running_calls.values()
        ]
