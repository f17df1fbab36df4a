"""The daemon's own upstream: admission, exchanges and outcome of requests."""

from collections.abc import Callable, Iterator
from functools import partial

import trio
from msgspec import Struct

from verbenamill_http.addresses import Address
from verbenamill_http.client import ClientResponse, ExchangeFailure
from verbenamill_http.messages import get_header
from verbenamill_model.typing import (
    ServiceName,
    UpstreamState,
    VersionName,
)
from verbenamill_policy.admission import (
    Admission,
    AdmissionRequest,
    AdmissionResult,
)
from verbenamill_policy.cold_starts import (
    ColdStartMargin,
    ColdStartTracker,
)
from verbenamill_policy.fingerprints import Fingerprint
from verbenamill_policy.heartbeats import (
    Heartbeat,
    HeartbeatResult,
    UpstreamTracker,
)
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.members import UpstreamRecord
from verbenamill_policy.nested_calls import NestedCall, NestedCallTracker
from verbenamill_policy.quarantine import CrashId
from verbenamill_policy.routes import ServiceProperties
from verbenamill_policy.tallies import UpstreamCounts
from verbenamill_sidecar.attempts import AT_LIMIT
from verbenamill_sidecar.call import (
    Call,
    ExecutionStatus,
    Outcome,
    not_run,
    unknown,
)
from verbenamill_sidecar.cold_start_probe import ColdStartProbe
from verbenamill_sidecar.crashing import CrashDetector
from verbenamill_sidecar.in_band import read_signals
from verbenamill_sidecar.rate_limiting import UpstreamRateLimiter
from verbenamill_sidecar.protocol import HeaderNames, LeaveAnnouncement
from verbenamill_sidecar.suspects import (
    BLOCKED_REASON,
    RequestIdentity,
    SuspectGate,
)
from verbenamill_sidecar.upstream_link import UpstreamLink, max_idle_of
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
#: Retry delay if a nested service is at capacity, in seconds. By then half of
#: its recorded refusals have expired, so that new requests are tried again.
_FULL_SERVICE_RETRY_DELAY = 0.25
#: The time of an abandoned request is recorded if it ran this many times longer
#: than the mean; a shorter run only shows that its caller had a short deadline.
_SLOW_FACTOR = 2.0

_ACCEPTED = (HeartbeatResult.CHANGED, HeartbeatResult.UNCHANGED)
_UNKNOWN_PROPERTIES = ServiceProperties()
_MS_PER_SECOND = 1000
_MISDIRECTED = 421
_GATEWAY_TIMEOUT = 504
_SERVER_ERROR = 500
_UNAVAILABLE = 503
_FIRST_NON_SUCCESS = 300


class LocalUpstreamContext(Struct, frozen=True, kw_only=True):
    """Dependencies of the local upstream on the rest of the daemon.

    :param on_change: called when the upstream is replaced or changes its state.
    :param allows_version_of: whether requests may go to the upstream's version.
    :param is_evacuated: whether the upstream gets no requests because its zone
        is evacuated.
    :param properties_of: returns the properties of a service.
    :param cold_start_margin: requests that a cold upstream may get beyond its
        rate.
    :param gate: holds the requests during which upstreams crashed.
    :param wall_ms: returns Unix time in milliseconds.
    """

    names: HeaderNames
    address: Address
    on_change: Callable[[], None]
    allows_version_of: Callable[[UpstreamRecord], bool]
    is_evacuated: Callable[[], bool]
    properties_of: Callable[[ServiceName], ServiceProperties]
    cold_start_margin: ColdStartMargin
    gate: SuspectGate
    wall_ms: Callable[[], int]


class LocalUpstream:
    """Slots, queue, connections and counters of the local upstream."""

    def __init__(self, context: LocalUpstreamContext) -> None:
        self.register = UpstreamTracker(str(context.address))
        self.counts = UpstreamCounts()
        self.nested_calls = NestedCallTracker()
        self.is_stopping = False
        self.in_flight = 0
        self._context = context
        self._admission = Admission(slots=1)
        self._start_id = ('', 0)
        self._running_calls: dict[bytes, Call] = {}
        self._running_scopes: set[trio.CancelScope] = set()
        self._is_cancelling = False
        self._cold_starts = ColdStartTracker(
            lambda: self._properties().cold_start, context.cold_start_margin
        )
        self.limits = UpstreamRateLimiter(
            self.register,
            cold_starts=self._cold_starts,
            on_limit_change=context.on_change,
            wall_ms=context.wall_ms,
        )
        self._link = UpstreamLink(context.address, context.names)
        self._pool = self._link.pool
        self.probe = ColdStartProbe(
            address=context.address,
            names=context.names,
            pool=self._pool,
            tracker=self._cold_starts,
            current=self._find_ready,
            health_path=lambda _: self._properties().health_path,
            on_sign=self._apply_cold_sign,
        )
        self.crashes = CrashDetector(
            self.register,
            self._pool,
            on_unreachable=self._mark_unreachable,
            in_flight=self._running_fingerprints,
            on_crash_found=self._report_crash,
        )

    @property
    def load(self) -> int:
        """Number of requests running and queued."""
        return self._admission.load

    @property
    def running(self) -> int:
        """Number of requests at the upstream."""
        return self._admission.running

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return self._admission.waiting

    def handle_heartbeat(self, heartbeat: Heartbeat) -> HeartbeatResult:
        """Apply a heartbeat; a draining upstream gets no further requests."""
        result = self.register.update(heartbeat)
        if result is HeartbeatResult.CHANGED:
            self._apply_change()
        if result in _ACCEPTED:
            self._cold_starts.record_cold(heartbeat.cold, trio.current_time())
            self.limits.refresh()
        return result

    def handle_leave(self, announcement: LeaveAnnouncement) -> bool:
        """Apply a leave announcement and send the upstream nothing further."""
        is_known = self.register.leave(
            announcement.instance,
            announcement.born,
            now=self._context.wall_ms(),
        )
        if is_known:
            self._apply_change()
        return is_known

    def restore(self, record: UpstreamRecord) -> None:
        """Apply what other daemons remember of this upstream."""
        if self.register.restore(record):
            self._apply_change()
        if record.limit is not None:
            self.restore_limit(record.instance, record.born, record.limit)

    def restore_limit(
        self,
        instance: str,
        born: int,
        limit: RateLimit,
    ) -> None:
        """Apply a limit that others remember of this start of the upstream."""
        if (instance, born) == self._start_id:
            self.limits.restore(limit)

    def assume_cold(self) -> None:
        """Pace the upstream like a cold one until it is known to be warm."""
        self._cold_starts.assume(trio.current_time())
        self.limits.refresh()
        self.probe.request_if_needed()

    def stop(self) -> None:
        """Reject new and queued requests."""
        self.is_stopping = True
        self._admission.shed_all()

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
        return self._running_calls.get(id.rpartition(b'.')[0])

    def sweep(self) -> None:
        """Close connections past their idle time; publish a changed limit."""
        self._pool.close_expired()
        self.limits.refresh()
        self.probe.request_if_needed()

    async def run(
        self,
        call: Call,
        *,
        instance: str,
        version: VersionName,
    ) -> Outcome:
        """Run a request on the upstream.

        A request that is not idempotent isn't cancelled once it was sent, even
        if its caller has disconnected: whether it ran would be unknown.

        :param instance: the upstream instance that the request is meant for.
        """
        upstream = self.register.current
        outcome = await self._admit(call, instance=instance, version=version)
        outcome.has_left = upstream is not None and self.register.has_left(
            upstream,
        )
        outcome.load = self.load
        outcome.limit = self.limits.limit
        outcome.knows_limit = self.limits.is_known
        outcome.pause = self._admission.rate_limit_wait(
            call.route.priority,
            trio.current_time(),
        )
        return outcome

    async def _admit(
        self,
        call: Call,
        *,
        instance: str,
        version: VersionName,
    ) -> Outcome:
        upstream = self.register.current
        if upstream is None:
            return not_run('no upstream is known')
        reason = next(self._refusal_reasons(upstream, instance, version), '')
        if reason:
            return not_run(reason)
        nested = self._find_full_service(call)
        if nested is not None:
            outcome = not_run('a service that it calls has no room')
            outcome.detail = (
                f'{nested.service} refused {nested.refused:.0%} recently'
            )
            outcome.wait = _FULL_SERVICE_RETRY_DELAY
            outcome.everywhere = True
            return outcome
        self.in_flight += 1
        try:
            return await self._run(call, upstream)
        finally:
            self.in_flight -= 1

    def _find_full_service(self, call: Call) -> NestedCall | None:
        """Find a service at capacity that requests of this route call."""
        now = trio.current_time()
        for nested in self.nested_calls.calls_of(call.route.name):
            if not nested.has_room(now):
                return nested
        return None

    def _apply_change(self) -> None:
        """Adjust admission, limit and connections to the upstream's record."""
        upstream = self.register.current
        assert upstream is not None
        start_id = (upstream.instance, upstream.born)
        if start_id != self._start_id:
            self._start_id = start_id
            self.crashes.record_start()
            self._admission.shed_all()
            self._admission = Admission(slots=upstream.slots)
            self._admission.cold_starts = self._cold_starts
            self._begin_cold_start(upstream)
            self.limits.reset(self._admission)
            self._pool.invalidate()
            self.counts.begin(f'{upstream.instance}/{upstream.born}')
        self._admission.slots = upstream.slots
        if upstream.state is not UpstreamState.READY:
            self._admission.shed_all()
        self._context.on_change()

    def _begin_cold_start(self, upstream: UpstreamRecord) -> None:
        """Treat a start as cold, or as unknown if it is not recent."""
        now = trio.current_time()
        age = float(0)
        if upstream.born:
            age = (self._context.wall_ms() - upstream.born) / _MS_PER_SECOND
        self._cold_starts.begin(age=age, now=now)
        if not self._cold_starts.is_cold(now):
            # This daemon has just started, and does not know what its
            # predecessor has sent.
            self._cold_starts.assume(now)

    def _apply_cold_sign(self) -> None:
        self.limits.refresh()
        self._admission.admit(trio.current_time())

    def _properties(self) -> ServiceProperties:
        upstream = self.register.current
        if upstream is None:
            return _UNKNOWN_PROPERTIES
        return self._context.properties_of(upstream.service)

    def _find_ready(self) -> UpstreamRecord | None:
        """Return the upstream if it takes requests."""
        upstream = self.register.current
        if upstream is None or upstream.state is not UpstreamState.READY:
            return None
        return upstream

    def _refusal_reasons(
        self,
        upstream: UpstreamRecord,
        instance: str,
        version: VersionName,
    ) -> Iterator[str]:
        if self.is_stopping:
            yield 'the daemon stops'
        if self._context.is_evacuated():
            yield 'the zone is evacuated'
        if upstream.state is not UpstreamState.READY:
            yield f'the upstream is {upstream.state.value}'
        if upstream.instance != instance or upstream.version != version:
            yield 'another upstream is here'
        if not self._context.allows_version_of(upstream):
            yield 'the version gets no requests'

    async def _run(self, call: Call, upstream: UpstreamRecord) -> Outcome:
        admission = self._admission
        self.limits.refresh()
        now = trio.current_time()
        results: list[AdmissionResult] = []
        event = trio.Event()
        admission_request = AdmissionRequest(
            route=call.route.name,
            latency_objective=call.route.objective,
            priority=call.route.priority,
            arrived=now,
            due=call.objective,
            # If a nested call is refused, its parent fails after it has held
            # a slot, so only the deadline of a nested call is enforced.
            objective=(
                call.deadline
                if call.is_nested
                else min(call.objective, call.deadline)
            ),
            deadline=call.deadline,
            on_settled=partial(_set_result, results, event),
        )
        result = admission.acquire(admission_request, now)
        started: float | None = None
        service_time: float | None = None
        try:
            if result is None:
                await _wait_for_result(admission, admission_request, event)
                result = results[0]
            if result is AdmissionResult.SHED or self._is_withdrawn(upstream):
                return self._refuse_for_capacity(admission)
            if not admission.is_worth_starting(
                admission_request, trio.current_time()
            ):
                admission.record_unsent(trio.current_time())
                return not_run('too little time is left')
            blocked_for = self._context.gate.blocked_for(call)
            if blocked_for:
                admission.record_unsent(trio.current_time())
                return _refuse_blocked(blocked_for)
            started = trio.current_time()
            self.probe.request_if_needed()
            outcome = await self._send_tracked(call, upstream)
            service_time = outcome.service_time
            return outcome
        finally:
            self._release(
                admission, admission_request, call, started, service_time
            )

    def _release(
        self,
        admission: Admission,
        admission_request: AdmissionRequest,
        call: Call,
        started: float | None,
        service_time: float | None,
    ) -> None:
        now = trio.current_time()
        if started is not None and service_time is None:
            service_time = self._long_running_time(
                admission, call, now - started
            )
        admission.release(admission_request, now, took=service_time)

    def _is_withdrawn(self, upstream: UpstreamRecord) -> bool:
        """Whether the upstream became unavailable while the request waited."""
        current = self.register.current
        return (
            self.is_stopping
            or self._context.is_evacuated()
            or current is None
            or current.state is not UpstreamState.READY
            or current.instance != upstream.instance
        )

    def _refuse_for_capacity(self, admission: Admission) -> Outcome:
        wait = admission.expected_wait(admission.waiting, trio.current_time())
        rate = self.limits.rate
        if rate is None:
            return not_run('no slot in time', wait=wait)
        self.limits.counts.refused += 1
        outcome = not_run(AT_LIMIT, wait=wait)
        outcome.detail = f'{rate:g} requests per second'
        return outcome

    def _long_running_time(
        self,
        admission: Admission,
        call: Call,
        elapsed: float,
    ) -> float | None:
        """Time of an abandoned request if it was slow, else ``None``."""
        mean_service_time = admission.times.expect(
            call.route.name,
            objective=call.route.objective,
        )
        if elapsed < _SLOW_FACTOR * mean_service_time:
            return None
        self._count(call, failed=False, service_time=elapsed)
        return elapsed

    async def _send_tracked(
        self,
        call: Call,
        upstream: UpstreamRecord,
    ) -> Outcome:
        """Send a request and recognise its nested calls while it runs."""
        self._running_calls[call.id] = call
        try:
            return await self._send_shielded(call, upstream)
        finally:
            self._running_calls.pop(call.id, None)
            self.nested_calls.record_end(call.route.name)

    async def _send_shielded(
        self,
        call: Call,
        upstream: UpstreamRecord,
    ) -> Outcome:
        outcome = None
        with trio.CancelScope(
            deadline=call.deadline,
            shield=not call.is_idempotent,
        ) as scope:
            self._running_scopes.add(scope)
            try:
                outcome = await self._send(call, upstream)
            finally:
                self._running_scopes.discard(scope)
        if outcome is None and self._is_cancelling:
            return unknown('the daemon has stopped')
        return outcome or unknown('no answer by the deadline')

    async def _send(self, call: Call, upstream: UpstreamRecord) -> Outcome:
        time_left = call.deadline - trio.current_time()
        if time_left < _MIN_TIME_LEFT:
            self._admission.record_unsent(trio.current_time())
            return not_run('the deadline has passed')
        max_idle = max_idle_of(call)
        failure = ExchangeFailure.CONNECTION_LOST
        was_sent = False
        for _ in range(2):
            connection = await self._pool.acquire(max_idle=max_idle)
            if connection is None and not was_sent:
                self._admission.record_unsent(trio.current_time())
                return self._refuse_unreachable(upstream)
            if connection is None:
                break
            sent_at = trio.current_time()
            if was_sent:
                self._admission.record_resend(sent_at)
            self.limits.counts.sent += self._admission.is_paced
            result = await self._link.exchange(call, upstream, connection)
            service_time = trio.current_time() - sent_at
            was_reused = not connection.is_new
            if isinstance(result, ClientResponse):
                self.crashes.record_response(sent_at)
                self._observe_response(upstream, result, sent_at)
                return self._make_outcome(call, upstream, result, service_time)
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
            self._count(call, failed=True, service_time=None)
        else:
            self.counts.add_lost(call.route.name)
        if not was_sent:
            return not_run('the upstream closed the connection')
        return await self._classify_loss(call, upstream, failure)

    def _observe_response(
        self,
        upstream: UpstreamRecord,
        answer: ClientResponse,
        asked_at: float,
    ) -> None:
        """Apply what a response says of the upstream's limit and leave."""
        if (upstream.instance, upstream.born) != self._start_id:
            return
        signals = read_signals(answer, self._context.names)
        self.limits.observe(signals, asked_at=asked_at)
        if signals.is_leaving and self.register.leave_in_band(*self._start_id):
            log(Event.UPSTREAM_LEAVING, instance=upstream.instance)
            self._apply_change()

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
    ) -> Outcome:
        names = self._context.names
        if answer.status == _MISDIRECTED:
            # Another upstream has the address until the next heartbeat.
            self._mark_unreachable(upstream)
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
            self._count(call, failed=True, service_time=None)
            return unknown('the answer bears no seal')
        is_late = answer.status == _GATEWAY_TIMEOUT
        # A failed nested call isn't counted against the version: otherwise
        # a service at capacity would cause the rollback of any version of
        # the services that call it.
        failed = answer.status >= _SERVER_ERROR and not is_late
        is_excused = failed and call.nested_status >= _SERVER_ERROR
        if not is_excused:
            self._count(
                call,
                failed=failed,
                service_time=None if failed else service_time,
            )
        return Outcome(
            execution=ExecutionStatus.ANSWERED,
            answer=answer,
            reached=True,
            mean_service_time=self._admission.times.expect(
                call.route.name,
                objective=call.route.objective,
            ),
            # Another upstream would make the same nested call and fail too.
            everywhere=is_excused and call.nested_status == _UNAVAILABLE,
            service_time=service_time,
        )

    def _count(
        self, call: Call, *, failed: bool, service_time: float | None
    ) -> None:
        # The time of a cold start is no property of the version.
        began_at = trio.current_time() - (service_time or 0)
        is_cold = self._cold_starts.is_cold(began_at)
        self.counts.add(
            call.route.name,
            failed=failed,
            took=None if is_cold else service_time,
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

    def _mark_unreachable(self, upstream: UpstreamRecord) -> None:
        self.register.mark_gone(upstream.instance)
        self._apply_change()


def _refuse_blocked(wait: float) -> Outcome:
    outcome = not_run(BLOCKED_REASON, wait=wait)
    outcome.blocked = True
    outcome.everywhere = True
    return outcome


async def _wait_for_result(
    admission: Admission, request: AdmissionRequest, event: trio.Event
) -> None:
    """Wait until a request is admitted or refused.

    A released slot admits the next request. While a rate limit delays the
    requests, the waiting tasks themselves check when the next may start.
    """
    while not event.is_set():
        now = trio.current_time()
        wake_at = min(admission.next_start(now), request.latest_start)
        with trio.move_on_at(wake_at):
            await event.wait()
        now = trio.current_time()
        admission.admit(now)
        admission.shed_hopeless(now)


def _set_result(
    results: list[AdmissionResult], event: trio.Event, result: AdmissionResult
) -> None:
    results.append(result)
    event.set()
