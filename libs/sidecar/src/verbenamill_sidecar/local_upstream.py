"""The upstream that this daemon owns: all work for it passes through here."""

from collections.abc import Callable, Iterator
from functools import partial

import trio
from msgspec import Struct

from verbenamill_http.addresses import Address
from verbenamill_http.client import ClientResponse, ExchangeFailure
from verbenamill_http.messages import get_header
from verbenamill_model.typing import (
    UpstreamState,
    VersionName,
)
from verbenamill_policy.admission import (
    Admission,
    AdmissionResult,
    AdmissionRequest,
)
from verbenamill_policy.fingerprints import Fingerprint
from verbenamill_policy.heartbeats import (
    HeartbeatResult,
    Heartbeat,
    UpstreamTracker,
)
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.members import UpstreamRecord
from verbenamill_policy.nested_calls import NestedCall, NestedCallTracker
from verbenamill_policy.quarantine import CrashId
from verbenamill_policy.tallies import UpstreamCounts
from verbenamill_sidecar.call import (
    Call,
    ExecutionStatus,
    Outcome,
    not_run,
    unknown,
)
from verbenamill_sidecar.crashing import CrashDetector
from verbenamill_sidecar.in_band import read_in_band
from verbenamill_sidecar.rate_limiting import LimitKeeper
from verbenamill_sidecar.upstream_link import UpstreamLink, max_idle_of
from verbenamill_sidecar.protocol import HeaderNames, LeaveAnnouncement
from verbenamill_sidecar.suspects import (
    BLOCKED_REASON,
    Identity,
    SuspectGate,
)
from verbenamill_sidecar.attempts import AT_LIMIT
from verbenamill_telemetry import Event, log

#: A kept connection that breaks this soon was dead before, in seconds.
_WAS_DEAD = 0.02
#: Work that cannot end in this time is not begun, in seconds.
_LEAST_TIME = 0.002
#: Wait where there is no queue, in seconds: a moment, so that it is told at
#: all. A caller that comes back at once is still within its objective.
_NO_QUEUE = 0.01
#: When to come back if a service that a request calls is full, in seconds: by
#: then half of its refusals are forgotten, so that the next ones try again.
_FULL_SERVICE = 0.25
#: A request that is given up on tells its time if it ran this many times
#: longer than usual; otherwise only its caller was impatient.
_SLOW = 2.0

_MISDIRECTED = 421
_GATEWAY_TIMEOUT = 504
_SERVER_ERROR = 500
_UNAVAILABLE = 503
_FIRST_FAILURE = 300


class LocalUpstreamContext(Struct, frozen=True, kw_only=True):
    """What the owner needs of the rest of the daemon.

    :param on_change: told when the upstream is another, or in another state.
    :param allows_version_of: whether a version may get requests at all.
    :param gate: knows the requests under which upstreams crashed.
    :param wall_ms: Unix time in milliseconds.
    """

    names: HeaderNames
    address: Address
    on_change: Callable[[], None]
    allows_version_of: Callable[[UpstreamRecord], bool]
    gate: SuspectGate
    wall_ms: Callable[[], int]


class LocalUpstream:
    """Slots, queue, connections and counts of the own upstream."""

    def __init__(self, context: LocalUpstreamContext) -> None:
        self.register = UpstreamTracker(str(context.address))
        self.counts = UpstreamCounts()
        self.nesting = NestedCallTracker()
        self.is_stopping = False
        self.in_flight = 0
        self._context = context
        self._admission = Admission(slots=1)
        self._instance = ('', 0)
        self._calls: dict[bytes, Call] = {}
        self._runs: set[trio.CancelScope] = set()
        self._gives_up = False
        self._warm_at = float(0)
        self.limits = LimitKeeper(
            self.register,
            changed=context.on_change,
            wall_ms=context.wall_ms,
        )
        self._link = UpstreamLink(context.address, context.names)
        self._pool = self._link.pool
        self.crashes = CrashDetector(
            self.register,
            self._pool,
            lose=self._lose,
            in_flight=self._fingerprints,
            record_crash=self._accuse,
        )

    @property
    def load(self) -> int:
        """Requests running and queued."""
        return self._admission.load

    @property
    def running(self) -> int:
        """Requests at the upstream."""
        return self._admission.running

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return self._admission.waiting

    def handle_heartbeat(self, beat: Heartbeat) -> HeartbeatResult:
        """Take in a heartbeat; who drains gets no work from now on."""
        belief = self.register.update(beat)
        if belief is HeartbeatResult.CHANGED:
            if beat.cold > 0:
                self._warm_at = trio.current_time() + beat.cold
            self._adopt()
        return belief

    def handle_leave(self, left: LeaveAnnouncement) -> bool:
        """The upstream ends: it gets no work from now on."""
        known = self.register.leave(
            left.instance,
            left.born,
            now=self._context.wall_ms(),
        )
        if known:
            self._adopt()
        return known

    def restore(self, record: UpstreamRecord) -> None:
        """Heed what the other daemons remember."""
        if self.register.restore(record):
            self._adopt()
        if record.limit is not None:
            self.restore_limit(record.instance, record.born, record.limit)

    def restore_limit(
        self,
        instance: str,
        born: int,
        limit: RateLimit,
    ) -> None:
        """Heed a limit that others remember of one start of an upstream."""
        if (instance, born) == self._instance:
            self.limits.recall(limit)

    def stop(self) -> None:
        """Take no further work."""
        self.is_stopping = True
        self._admission.shed_all()

    def cancel_running(self) -> None:
        """Break off all that the upstream runs, at the end of a stop.

        The process is about to be killed. Told now, the callers learn that
        nobody knows what became of their requests; else they are cut.
        """
        self._gives_up = True
        for scope in self._runs:
            scope.cancel()

    def find_parent(self, id: bytes) -> Call | None:
        """The request that the upstream runs and that makes a call.

        Ids of nested calls begin with the id of the request that makes them
        and a dot. Without that form a call is one like any other.
        """
        return self._calls.get(id.rpartition(b'.')[0])

    def sweep(self) -> None:
        """Close connections that were idle for long."""
        self._pool.close_expired()
        self.limits.share()

    async def run(
        self,
        call: Call,
        *,
        instance: str,
        version: VersionName,
    ) -> Outcome:
        """Have the upstream answer a request.

        A request that must not be repeated is not broken off once it was
        sent, whoever has gone: it would be neither run nor not run.

        :param instance: the upstream that it is meant for.
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
        reason = next(self._find_refusals(upstream, instance, version), '')
        if reason:
            return not_run(reason)
        full = self._find_full(call)
        if full is not None:
            refused = not_run('a service that it calls has no room')
            refused.detail = (
                f'{full.service} refused {full.refused:.0%} of late'
            )
            refused.wait = _FULL_SERVICE
            refused.everywhere = True
            return refused
        self.in_flight += 1
        try:
            return await self._run(call, upstream)
        finally:
            self.in_flight -= 1

    def _find_full(self, call: Call) -> NestedCall | None:
        """A service that a request calls and that has no room for it."""
        now = trio.current_time()
        for nested in self.nesting.calls_of(call.route.name):
            if not nested.has_room(now):
                return nested
        return None

    def _adopt(self) -> None:
        """Act on what is now known of the upstream."""
        upstream = self.register.current
        assert upstream is not None
        instance = (upstream.instance, upstream.born)
        if instance != self._instance:
            self._instance = instance
            self.crashes.see_start()
            self._admission.shed_all()
            self._admission = Admission(slots=upstream.slots)
            self.limits.begin(self._admission)
            self._pool.invalidate()
            self.counts.begin(f'{upstream.instance}/{upstream.born}')
        self._admission.slots = upstream.slots
        if upstream.state is not UpstreamState.READY:
            self._admission.shed_all()
        self._context.on_change()

    def _find_refusals(
        self,
        upstream: UpstreamRecord,
        instance: str,
        version: VersionName,
    ) -> Iterator[str]:
        if self.is_stopping:
            yield 'the daemon stops'
        if upstream.state is not UpstreamState.READY:
            yield f'the upstream is {upstream.state.value}'
        if upstream.instance != instance or upstream.version != version:
            yield 'another upstream is here'
        if not self._context.allows_version_of(upstream):
            yield 'the version gets no requests'

    async def _run(self, call: Call, upstream: UpstreamRecord) -> Outcome:
        admission = self._admission
        now = trio.current_time()
        settled: list[AdmissionResult] = []
        event = trio.Event()
        ticket = AdmissionRequest(
            route=call.route.name,
            latency_objective=call.route.objective,
            priority=call.route.priority,
            arrived=now,
            due=call.objective,
            # A nested call that is refused fails the request that makes it,
            # after that has held a slot; its own objective matters less.
            objective=(
                call.deadline
                if call.is_nested
                else min(call.objective, call.deadline)
            ),
            deadline=call.deadline,
            on_settled=partial(_settle, settled, event),
        )
        entry = admission.acquire(ticket, now)
        started: float | None = None
        took: float | None = None
        try:
            if entry is None:
                await _wait_settled(admission, event)
                entry = settled[0]
            if entry is AdmissionResult.SHED or self._is_withdrawn(upstream):
                return self._no_room(admission)
            blocked_for = self._context.gate.blocked_for(call)
            if blocked_for:
                admission.record_unsent(trio.current_time())
                return _refuse_blocked(blocked_for)
            started = trio.current_time()
            outcome = await self._send_known(call, upstream)
            took = outcome.took
            return outcome
        finally:
            self._free(admission, ticket, call, started, took)

    def _free(
        self,
        admission: Admission,
        ticket: AdmissionRequest,
        call: Call,
        started: float | None,
        took: float | None,
    ) -> None:
        now = trio.current_time()
        if started is not None and took is None:
            took = self._slow_time(admission, call, now - started)
        admission.release(ticket, now, took=took)

    def _is_withdrawn(self, upstream: UpstreamRecord) -> bool:
        """Whether the upstream left while the request waited."""
        current = self.register.current
        return (
            self.is_stopping
            or current is None
            or current.state is not UpstreamState.READY
            or current.instance != upstream.instance
        )

    def _no_room(self, admission: Admission) -> Outcome:
        wait = admission.expected_wait(admission.waiting, trio.current_time())
        rate = self.limits.rate
        if rate is None:
            return not_run('no slot in time', wait=wait)
        self.limits.counts.refused += 1
        refused = not_run(AT_LIMIT, wait=wait)
        refused.detail = f'{rate:g} requests a second'
        return refused

    def _slow_time(
        self,
        admission: Admission,
        call: Call,
        elapsed: float,
    ) -> float | None:
        """Time of a request that was given up on, if it says anything."""
        usual = admission.times.expect(
            call.route.name,
            objective=call.route.objective,
        )
        if elapsed < _SLOW * usual:
            return None
        self._count(call, failed=False, took=elapsed)
        return elapsed

    async def _send_known(
        self,
        call: Call,
        upstream: UpstreamRecord,
    ) -> Outcome:
        """Send a request whose nested calls are recognised meanwhile."""
        self._calls[call.id] = call
        try:
            return await self._send_shielded(call, upstream)
        finally:
            self._calls.pop(call.id, None)
            self.nesting.record_end(call.route.name)

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
            self._runs.add(scope)
            try:
                outcome = await self._send(call, upstream)
            finally:
                self._runs.discard(scope)
        if outcome is None and self._gives_up:
            return unknown('the daemon has stopped')
        return outcome or unknown('no answer by the deadline')

    async def _send(self, call: Call, upstream: UpstreamRecord) -> Outcome:
        left = call.deadline - trio.current_time()
        if left < _LEAST_TIME:
            self._admission.record_unsent(trio.current_time())
            return not_run('the deadline has passed')
        max_idle = max_idle_of(call)
        fault = ExchangeFailure.CONNECTION_LOST
        was_sent = False
        for _ in range(2):
            connection = await self._pool.acquire(max_idle=max_idle)
            if connection is None and not was_sent:
                self._admission.record_unsent(trio.current_time())
                return self._unreachable(upstream)
            if connection is None:
                break
            began = trio.current_time()
            if was_sent:
                self._admission.record_resend(began)
            self.limits.counts.sent += self._admission.is_paced
            result = await self._link.exchange(call, upstream, connection)
            took = trio.current_time() - began
            was_kept = not connection.is_new
            if isinstance(result, ClientResponse):
                self.crashes.see_answer(began)
                self._hear(upstream, result, began)
                return self._conclude(call, upstream, result, took)
            # A kept connection may be dead without a sign. Nothing has run
            # on it then; for a request that must not be repeated, only a
            # send that the kernel refused proves that.
            fault = result
            was_sent |= fault is not ExchangeFailure.NOT_SENT
            is_safe = fault is ExchangeFailure.NOT_SENT or call.is_idempotent
            if not (was_kept and is_safe and took < _WAS_DEAD):
                break
        if fault is ExchangeFailure.MALFORMED:
            self._count(call, failed=True, took=None)
        else:
            self.counts.add_lost(call.route.name)
        if not was_sent:
            return not_run('the upstream closed the connection')
        return await self._explain(call, upstream, fault)

    def _hear(
        self,
        upstream: UpstreamRecord,
        answer: ClientResponse,
        asked_at: float,
    ) -> None:
        """Take in what an answer says of the upstream itself."""
        if (upstream.instance, upstream.born) != self._instance:
            return
        said = read_in_band(answer, self._context.names)
        self.limits.hear(said, asked_at=asked_at)
        if said.is_leaving and self.register.leave_in_band(*self._instance):
            log(Event.UPSTREAM_LEAVING, instance=upstream.instance)
            self._adopt()

    async def _explain(
        self,
        call: Call,
        upstream: UpstreamRecord,
        fault: ExchangeFailure,
    ) -> Outcome:
        """What became of a request that was sent and not answered."""
        if fault is ExchangeFailure.MALFORMED:
            return unknown('the answer was garbled')
        crash = await self.crashes.explain(call, upstream)
        if crash is None:
            return unknown('the answer was lost')
        return unknown('the upstream crashed', crash=crash)

    def _conclude(
        self,
        call: Call,
        upstream: UpstreamRecord,
        answer: ClientResponse,
        took: float,
    ) -> Outcome:
        names = self._context.names
        if answer.status == _MISDIRECTED:
            # Somebody else has the address now, until a heartbeat says more.
            self._lose(upstream)
            return not_run('another upstream has the address')
        if get_header(answer.headers, names.not_run) is not None:
            # It refuses although it has free slots by our count, so there
            # is no queue to wait for; the next may be taken, here or
            # elsewhere.
            return not_run(
                'the upstream refused it',
                reached=True,
                wait=_NO_QUEUE,
            )
        sealed = get_header(answer.headers, names.seal) is not None
        if answer.status < _FIRST_FAILURE and not sealed:
            self._count(call, failed=True, took=None)
            return unknown('the answer bears no seal')
        is_late = answer.status == _GATEWAY_TIMEOUT
        # A call that it made has failed. Held against the version, a service
        # that is full would have any version of its callers taken back.
        failed = answer.status >= _SERVER_ERROR and not is_late
        is_excused = failed and call.nested_status >= _SERVER_ERROR
        if not is_excused:
            self._count(call, failed=failed, took=None if failed else took)
        return Outcome(
            execution=ExecutionStatus.ANSWERED,
            answer=answer,
            reached=True,
            usual=self._admission.times.expect(
                call.route.name,
                objective=call.route.objective,
            ),
            # Another upstream would make the same call and be refused.
            everywhere=is_excused and call.nested_status == _UNAVAILABLE,
            took=took,
        )

    def _count(self, call: Call, *, failed: bool, took: float | None) -> None:
        # A cold start says nothing of the version.
        is_cold = trio.current_time() - (took or 0) < self._warm_at
        self.counts.add(
            call.route.name,
            failed=failed,
            took=None if is_cold else took,
        )

    def _unreachable(self, upstream: UpstreamRecord) -> Outcome:
        """Nobody listens at the address."""
        self.crashes.see_refused(upstream)
        return not_run('the upstream takes no connection')

    def _accuse(self, request: Identity, crash: CrashId) -> None:
        """Tell others of a crash that the request's ingress did not hear of."""
        gate = self._context.gate
        gate.record_crash(request, crash)
        gate.share(request.fingerprint)

    def _fingerprints(self) -> list[Fingerprint]:
        """Of the requests at the upstream."""
        return [call.find_fingerprint() for call in self._calls.values()]

    def _lose(self, upstream: UpstreamRecord) -> None:
        self.register.mark_gone(upstream.instance)
        self._adopt()


def _refuse_blocked(wait: float) -> Outcome:
    outcome = not_run(BLOCKED_REASON, wait=wait)
    outcome.blocked = True
    outcome.everywhere = True
    return outcome


async def _wait_settled(admission: Admission, event: trio.Event) -> None:
    """Wait until a request is admitted or refused.

    Slots that come free admit the next one; where a rate holds it up, those
    who wait look themselves when it is time.
    """
    while not event.is_set():
        now = trio.current_time()
        with trio.move_on_at(admission.next_start(now)):
            await event.wait()
        admission.admit(trio.current_time())


def _settle(
    settled: list[AdmissionResult], event: trio.Event, entry: AdmissionResult
) -> None:
    settled.append(entry)
    event.set()
