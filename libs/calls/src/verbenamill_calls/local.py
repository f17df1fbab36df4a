"""The upstream that this daemon owns: slots, connections, queue, drain."""

import math
from collections.abc import Callable
from datetime import timedelta
from hashlib import blake2b
from http import HTTPStatus

import trio

from verbenamill_calls.admission import Admission, Entry
from verbenamill_calls.attempts import LocalAttempt, settle, unknown
from verbenamill_calls.call import (
    Answer,
    Attempt,
    Call,
    Fate,
    Refusal,
    refuse,
)
from verbenamill_http.connection import HttpConnection
from verbenamill_calls.context import CallContext
from verbenamill_calls.ledger import Ledger, Remembered
from verbenamill_calls.pool import UPSTREAM_IDLE, Pool
from verbenamill_calls.settings import CallSettings
from verbenamill_calls.stored import recall
from verbenamill_model.traffic import Observation, Outcome, Upstream
from verbenamill_model.typing import RequestId, UpstreamState
from verbenamill_runtime import Announcement
from verbenamill_runtime.announcements import UPSTREAM_LEASE
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Share of the slots that a cold upstream gets at first.
_COLD_SHARE = 0.25
#: Time to wait for a cancelled upstream to close, in seconds. Its slot is
#: held as long, since the work may go on until it has noticed.
_CANCEL_GRACE = 1.0
#: How often a drain looks whether all calls have ended, in seconds.
_DRAIN_POLL = 0.02


class LocalUpstream:
    """The upstream beside this daemon, of which it sees all calls.

    Slots and connections are counted here and nowhere else, so they are
    exact however many daemons send calls.
    """

    def __init__(self, context: CallContext, settings: CallSettings) -> None:
        self._context = context
        self.settings = settings
        self.clock = context.clock
        self._announcement: Announcement | None = None
        self._heard_at = timedelta(0)
        self._ready_at: timedelta | None = None
        self._is_warm = False
        self._is_draining = False
        self._pool: Pool | None = None
        self._nursery: trio.Nursery | None = None
        self._ledger: Ledger | None = None
        self.admission = Admission(
            allowed=self._allowed,
            clock=self.clock,
            settings=settings,
        )

    @property
    def ledger(self) -> Ledger:
        """Calls that may not be repeated.

        It begins with the first use, when the clock runs.
        """
        if self._ledger is None:
            self._ledger = Ledger(clock=self.clock, settings=self.settings)
        return self._ledger

    def attach(self, nursery: trio.Nursery) -> None:
        """Run what outlives a call in a nursery."""
        self._nursery = nursery
        assert self.ledger is not None

    def announce(self, announcement: Announcement) -> None:
        """Take what the upstream says of itself."""
        was_ready = self._is_ready()
        self._announcement = announcement
        self._heard_at = self.clock.monotonic()
        limit = announcement.upstream.connections
        if self._pool is None or self._pool.address != announcement.address:
            self._replace_pool(announcement.address, limit)
        elif self._pool.limit != limit:
            self._pool.limit = limit
        if not self._is_ready():
            self.admission.shed_waiting()
        elif not was_ready:
            self._ready_at = self._heard_at
            self._is_warm = False
        else:
            self.admission.admit_waiting()

    def upstream(self) -> Upstream | None:
        """What to tell the other daemons of it."""
        if self._announcement is None:
            return None
        told = self._announcement.upstream
        state = self._state()
        if state is told.state:
            return told
        return Upstream(
            service=told.service,
            version=told.version,
            state=state,
            slots=told.slots,
            connections=told.connections,
        )

    def load(self) -> tuple[int, int]:
        """Calls here, and slots for them."""
        calls = self.admission.running + self.admission.queued
        return calls, self._allowed()

    async def drain(self) -> None:
        """Take no new calls and finish those that run."""
        self._is_draining = True
        self.admission.shed_waiting()
        while self.admission.running:
            await trio.sleep(_DRAIN_POLL)

    async def begin(self, call: Call) -> Attempt | Answer:
        """Send a call to the upstream, or say why not.

        :param call: its body is read once, unless it is repeatable.
        """
        if call.idempotent:
            return await self._start(call, None)
        found = self.ledger.find(call.id, call.key)
        if found is not None:
            return await self._repeat(call, found)
        if self.ledger.is_full:
            # To forget a call early would make a later answer untrue.
            return self._shed('too many calls are remembered')
        remembered = self.ledger.begin(
            call.id,
            digest=_digest(call),
            key=call.key,
        )
        return await self._begin_once(call, remembered)

    async def ask(
        self,
        id: RequestId,
        key: str | None,
        *,
        deadline: timedelta,
    ) -> Answer | None:
        """Say what became of a call that may not be repeated.

        ``None`` says that it still runs.

        A call that was never seen is refused for good, since a copy of it
        may still be on its way here; only then is "not run" true.
        """
        found = self.ledger.find(id, None)
        if found is None and self.ledger.find(id, key) is not None:
            # That call did not run, but what its key stands for may have.
            return unknown('another call with this key came first')
        if found is None and self.ledger.is_full:
            return unknown('too many calls are remembered')
        if found is None:
            found = self.ledger.begin(id, digest=b'', key=None)
            refusal = refuse(
                HTTPStatus.SERVICE_UNAVAILABLE,
                Fate.NOT_RUN,
                'the call was lost on its way',
                retry_after=timedelta(0),
            )
            self.ledger.refuse(found, refusal)
        await self._await_end(found, deadline)
        return recall(found.answer) if found.settled.is_set() else None

    def sweep(self) -> None:
        """Close connections that were idle for long."""
        if self._pool is not None:
            self._pool.sweep()

    def close(self) -> None:
        """Close the connections that no call uses."""
        if self._pool is not None:
            self._pool.close_idle()

    async def _begin_once(
        self,
        call: Call,
        remembered: Remembered,
    ) -> Attempt | Answer:
        try:
            started = await self._start(call, remembered)
        except trio.Cancelled:
            self.ledger.finish(remembered, unknown('the daemon stopped'))
            raise
        if isinstance(started, Refusal):
            settle(self.ledger, remembered, started)
        return started

    async def _start(
        self,
        call: Call,
        remembered: Remembered | None,
    ) -> LocalAttempt | Refusal:
        refusal = self._find_obstacle(call)
        if refusal is not None:
            return refusal
        entry = await self.admission.enter(
            call.priority,
            call.caller,
            deadline=call.deadline,
            is_gone=call.is_gone,
        )
        if entry is Entry.SHED:
            self.observe(call, Outcome.SHED, timedelta(0))
            return self._shed('no slot would be free in time')
        if entry is Entry.GONE:
            return refuse(_HUNG_UP, Fate.NOT_RUN, 'the caller hung up')
        return await self._send(call, remembered)

    async def _send(
        self,
        call: Call,
        remembered: Remembered | None,
    ) -> LocalAttempt | Refusal:
        attempt = LocalAttempt(self, call, remembered)
        try:
            fault = await attempt.send()
        except trio.Cancelled:
            attempt.abandon()
            raise
        if fault is not None:
            return attempt.fail(fault)
        return attempt

    async def take_connection(self) -> tuple[Pool, HttpConnection] | None:
        """A connection of one's own to the upstream."""
        pool = self._pool
        assert pool is not None
        connection = await pool.take()
        return None if connection is None else (pool, connection)

    def observe(
        self,
        call: Call,
        outcome: Outcome,
        latency: timedelta,
    ) -> None:
        """Tell how a call ended."""
        self._context.observe(
            Observation(
                service=call.service,
                version=call.version,
                route=call.route,
                outcome=outcome,
                latency=latency,
            ),
        )

    def hang_up(
        self,
        pool: Pool,
        connection: HttpConnection,
        free_slot: Callable[[], None],
    ) -> None:
        """Cancel a call; its slot is free once the upstream has closed."""
        if self._nursery is None:
            pool.discard(connection)
            free_slot()
        else:
            self._nursery.start_soon(
                self._hang_up,
                pool,
                connection,
                free_slot,
            )

    async def _hang_up(
        self,
        pool: Pool,
        connection: HttpConnection,
        free_slot: Callable[[], None],
    ) -> None:
        try:
            await connection.close_gracefully(_CANCEL_GRACE)
        finally:
            pool.discard(connection)
            free_slot()

    async def _repeat(self, call: Call, found: Remembered) -> Answer:
        if found.digest and found.digest != _digest(call):
            return refuse(
                HTTPStatus.UNPROCESSABLE_ENTITY,
                Fate.FAILED,
                'the idempotency key was used for another request; '
                'choose a new one',
            )
        self.ledger.add_id(call.id, found)
        await self._await_end(found, call.deadline)
        if found.settled.is_set():
            return recall(found.answer)
        return unknown('the first call with this key still runs')

    async def _await_end(
        self,
        found: Remembered,
        deadline: timedelta,
    ) -> None:
        left = (deadline - self.clock.monotonic()).total_seconds()
        with trio.move_on_after(max(left, 0)):
            await found.settled.wait()

    def _find_obstacle(self, call: Call) -> Refusal | None:
        reason = self._find_reason(call)
        if reason is None:
            return None
        # Without a hint: this one will not do better later, another does now.
        return refuse(HTTPStatus.SERVICE_UNAVAILABLE, Fate.NOT_RUN, reason)

    def _find_reason(self, call: Call) -> str | None:
        announcement = self._announcement
        if announcement is None or not self._is_ready():
            return 'the upstream is leaving'
        told = announcement.upstream
        if (told.service, told.version) == (call.service, call.version):
            return None
        return f'the upstream here is {told.service} {told.version}'

    def _shed(self, reason: str) -> Refusal:
        if self._announcement is not None:
            service = self._announcement.upstream.service
            log(Event.OVERLOAD, service=service, reason=reason)
        return refuse(
            HTTPStatus.SERVICE_UNAVAILABLE,
            Fate.NOT_RUN,
            reason,
            retry_after=self.admission.retry_after(),
        )

    def _replace_pool(self, address: str, limit: int) -> None:
        if self._pool is not None:
            self._pool.close_idle()
        self._pool = Pool(
            address,
            limit=limit,
            max_idle=UPSTREAM_IDLE,
            settings=self.settings,
        )

    def _state(self) -> UpstreamState:
        assert self._announcement is not None
        state = self._announcement.upstream.state
        if self.clock.monotonic() - self._heard_at > UPSTREAM_LEASE:
            return UpstreamState.GONE
        if self._is_draining and state is UpstreamState.READY:
            return UpstreamState.DRAINING
        return state

    def _is_ready(self) -> bool:
        if self._announcement is None:
            return False
        return self._state() is UpstreamState.READY

    def _allowed(self) -> int:
        """Slots that may be used now; few at first, while it is cold."""
        if self._announcement is None or self._ready_at is None:
            return 1
        told = self._announcement.upstream
        slots = min(told.slots, told.connections)
        if self._is_warm:
            return slots
        age = self.clock.monotonic() - self._ready_at
        self._is_warm = age >= self.settings.ramp
        if self._is_warm:
            return slots
        share = _COLD_SHARE + (1 - _COLD_SHARE) * (age / self.settings.ramp)
        return max(1, math.ceil(slots * share))


#: Never sent, as nobody is there to read it; nginx made the number usual.
_HUNG_UP = 499


def _digest(call: Call) -> bytes:
    """Digest of what is asked; a streamed body counts by its length."""
    digest = blake2b(digest_size=16)
    digest.update(b'%b %b\n' % (call.method, call.target))
    digest.update(call.body.fingerprint())
    return digest.digest()
