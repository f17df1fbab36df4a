"""The daemon's own upstream: admission, exchanges and outcome of requests."""

from collections.abc import Callable, Iterator
from functools import partial

import trio
from msgspec import Struct

from verbenamill_http.addresses import Address
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
from verbenamill_policy.heartbeats import (
    Heartbeat,
    HeartbeatResult,
    UpstreamTracker,
)
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.members import UpstreamRecord
from verbenamill_policy.nested_calls import NestedCall, NestedCallTracker
from verbenamill_policy.pace import PaceReport, mean_pace
from verbenamill_policy.routes import ServiceProperties
from verbenamill_policy.tallies import UpstreamCounts
from verbenamill_sidecar.protocol import HeaderNames, LeaveAnnouncement
from verbenamill_sidecar.quarantine.suspects import (
    BLOCKED_REASON,
    SuspectGate,
)
from verbenamill_sidecar.routing.attempts import AT_LIMIT
from verbenamill_sidecar.routing.call import (
    Call,
    Outcome,
    not_run,
)
from verbenamill_sidecar.upstream.cold_start_probe import ColdStartProbe
from verbenamill_sidecar.upstream.exchange import (
    ExchangeContext,
    UpstreamExchange,
)
from verbenamill_sidecar.upstream.rate_limiting import UpstreamRateLimiter
from verbenamill_sidecar.upstream.upstream_link import UpstreamLink

#: Retry delay if a nested service is at capacity, in seconds. By then half of
#: its recorded refusals have expired, so that new requests are tried again.
_FULL_SERVICE_RETRY_DELAY = 0.25
#: The time of an abandoned request is recorded if it ran this many times longer
#: than the mean; a shorter run only shows that its caller had a short deadline.
_SLOW_FACTOR = 2.0

_ACCEPTED = (HeartbeatResult.CHANGED, HeartbeatResult.UNCHANGED)
_UNKNOWN_PROPERTIES = ServiceProperties()
_MS_PER_SECOND = 1000


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
        self._cold_starts = ColdStartTracker(
            lambda: self._properties().cold_start, context.cold_start_margin
        )
        self.limits = UpstreamRateLimiter(
            self.register,
            cold_starts=self._cold_starts,
            on_limit_change=context.on_change,
            wall_ms=context.wall_ms,
        )
        link = UpstreamLink(context.address, context.names)
        self._pool = link.pool
        self.exchange = UpstreamExchange(
            ExchangeContext(
                names=context.names,
                link=link,
                register=self.register,
                limits=self.limits,
                counts=self.counts,
                nested_calls=self.nested_calls,
                gate=context.gate,
                is_cold=self._cold_starts.is_cold,
                on_change=self._apply_change,
                on_unreachable=self._mark_unreachable,
            ),
        )
        self.probe = ColdStartProbe(
            address=context.address,
            names=context.names,
            pool=self._pool,
            tracker=self._cold_starts,
            current=self._find_ready,
            health_path=lambda _: self._properties().health_path,
            on_sign=self._apply_cold_sign,
            on_pace=self._record_pace,
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

    @property
    def pace(self) -> PaceReport | None:
        """Pace of the upstream; ``None`` while it is the usual one."""
        return self._admission.pace.report(trio.current_time())

    @property
    def urgent_runs(self) -> int:
        """Number of slots held by requests that may hold all of them."""
        return self._admission.count_urgent_runs()

    @property
    def reserved_slots(self) -> float:
        """Number of slots that are reserved for urgent requests."""
        return self._admission.count_reserved(trio.current_time())

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
        before = self.register.current
        is_known = self.register.leave(
            announcement.instance,
            announcement.born,
            now=self._context.wall_ms(),
        )
        if self.register.current is not before:
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

        :param instance: the upstream instance that the request is meant for.
        """
        upstream = self.register.current
        outcome = await self._admit(call, instance=instance, version=version)
        outcome.has_left = upstream is not None and self.register.has_left(
            upstream,
        )
        outcome.load = self.load
        outcome.pace = self.pace
        outcome.limit = self.limits.limit
        outcome.knows_limit = self.limits.is_known
        outcome.pause = self._admission.rate_limit_wait(
            call.priority,
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
            self.exchange.crashes.record_start()
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

    def _record_pace(self, figure: float) -> None:
        self._admission.pace.record(figure, trio.current_time())

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
            priority=call.priority,
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
        pace = float(1)
        try:
            if result is None:
                await _wait_for_result(admission, admission_request, event)
                result = results[0]
            if result is AdmissionResult.SHED or self._is_withdrawn(upstream):
                return self._refuse_for_capacity(admission, admission_request)
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
            pace = admission.pace.factor(started)
            self.probe.request_if_needed()
            outcome = await self.exchange.send(call, upstream, admission)
            service_time = outcome.service_time
            return outcome
        finally:
            self._release(
                admission, admission_request, call, started, pace, service_time
            )

    def _release(
        self,
        admission: Admission,
        admission_request: AdmissionRequest,
        call: Call,
        started: float | None,
        pace: float,
        service_time: float | None,
    ) -> None:
        now = trio.current_time()
        if started is not None and service_time is None:
            elapsed = now - started
            pace = mean_pace(pace, admission.pace.factor(now))
            if _is_slow(admission, call, elapsed / pace):
                service_time = elapsed
                self.exchange.count(
                    call,
                    failed=False,
                    service_time=elapsed,
                    excuse=admission.pace.excuse(pace, now),
                )
        admission.release(admission_request, now, took=service_time)

    def _is_withdrawn(self, upstream: UpstreamRecord) -> bool:
        """Whether the upstream became unavailable while the request waited."""
        if self.is_stopping or self._context.is_evacuated():
            return True
        ready = self._find_ready()
        return ready is None or ready.instance != upstream.instance

    def _refuse_for_capacity(
        self, admission: Admission, admission_request: AdmissionRequest
    ) -> Outcome:
        now = trio.current_time()
        wait = admission.retry_delay(admission_request, now)
        rate = self.limits.rate
        if rate is None:
            outcome = not_run('no slot in time', wait=wait)
            reserved = admission.count_reserved(now, admission_request)
            if reserved:
                outcome.detail = (
                    f'{reserved:.1f} of {admission.slots} slots are reserved'
                )
            return outcome
        self.limits.counts.refused += 1
        outcome = not_run(AT_LIMIT, wait=wait)
        outcome.detail = f'{rate:g} requests per second'
        return outcome

    def _mark_unreachable(self, upstream: UpstreamRecord) -> None:
        self.register.mark_gone(upstream.instance)
        self._apply_change()


def _is_slow(admission: Admission, call: Call, elapsed: float) -> bool:
    """Whether an abandoned request shows that the upstream is slow.

    :param elapsed: for how long it ran, in seconds at the usual pace.
    """
    mean_service_time = admission.times.expect(
        call.route.name,
        objective=call.route.objective,
    )
    return elapsed >= _SLOW_FACTOR * mean_service_time


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
