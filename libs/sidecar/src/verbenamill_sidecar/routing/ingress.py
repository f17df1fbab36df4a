"""Routes callers' requests to owners and retries them after failures."""

from functools import partial
from http import HTTPStatus

import trio

from verbenamill_http.messages import end_to_end_headers
from verbenamill_http.server import Request, Response
from verbenamill_model.typing import ServiceName
from verbenamill_policy.budget import RetryBudget
from verbenamill_policy.rollouts import Shares, VersionCounter
from verbenamill_sidecar.membership.peers import (
    Peer,
    SuspicionCallback,
    filter_by_version,
)
from verbenamill_sidecar.quarantine.suspects import (
    BLOCKED_REASON,
    AdmissionDecision,
    identify,
)
from verbenamill_sidecar.quotas.gate import Refusal
from verbenamill_sidecar.routing.attempts import Attempts
from verbenamill_sidecar.routing.call import (
    RETRIABLE_STATUSES,
    Call,
    ExecutionStatus,
    Outcome,
    not_run,
)
from verbenamill_sidecar.routing.call_reader import CallReader
from verbenamill_sidecar.routing.forwarding import forward_call
from verbenamill_sidecar.routing.ingress_context import IngressContext
from verbenamill_sidecar.routing.owner_selection import OwnerSelector
from verbenamill_sidecar.routing.racing import Race
from verbenamill_sidecar.routing.responses import (
    blocked_response,
    error_response,
    over_quota_response,
    retry_later_response,
)
from verbenamill_sidecar.routing.route_statistics import RouteStatistics
from verbenamill_telemetry import Event, log

#: Most owners that are asked in turn while each refuses. Each costs a round
#: trip, and if three have no room, the whole service is taken to be full. It
#: is one less if those asked for their load had no free slot either.
MAX_OWNERS_ASKED = 3
#: Least time to the deadline for a retry, in mean service times of the route.
_MIN_RETRY_TIME = 0.8

_EVACUATED = 'all upstreams are in evacuated zones'
#: Retry delay while all upstreams are in evacuated zones, in seconds. An
#: evacuation usually lasts longer than a request may wait.
_EVACUATED_RETRY_DELAY = 1.0
_UNRESTRICTED = AdmissionDecision(is_admitted=True)
_FIRST_SERVER_ERROR = HTTPStatus.INTERNAL_SERVER_ERROR


class Ingress:
    """Handles the requests of callers on this VM."""

    def __init__(self, context: IngressContext) -> None:
        self._context = context
        self._versions = VersionCounter()
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._active: set[trio.CancelScope] = set()
        self._route_statistics = RouteStatistics()
        self._reader = CallReader(context, self._route_statistics)
        self._selector = OwnerSelector(context, self._route_statistics)

    @property
    def is_active(self) -> bool:
        """Whether a request is being handled."""
        return bool(self._active)

    def give_up_active(self) -> None:
        """Answer the requests that are being handled, before the process ends.

        Otherwise their connections would end without an answer.
        """
        for scope in self._active:
            scope.cancel()

    async def handle(self, request: Request) -> Response:
        """Handle one request of a caller."""
        call = self._reader.read(request)
        if isinstance(call, Response):
            return call
        self._context.stats.requests += 1
        attempts = Attempts()
        if self._limit_to_lifetime(call, attempts):
            response = await self._handle_until_deadline(call, attempts)
        else:
            response = self._make_response(call, attempts)
        if call.is_nested:
            self._update_parent(call, response.status, attempts)
        return response

    async def _handle_until_deadline(
        self, call: Call, attempts: Attempts
    ) -> Response:
        response = None
        with trio.CancelScope(deadline=call.deadline) as scope:
            self._active.add(scope)
            try:
                response = await self._admit(call, attempts)
            finally:
                self._active.discard(scope)
        if response is None:
            response = self._end_unanswered(call, attempts)
        return response

    def _limit_to_lifetime(self, call: Call, attempts: Attempts) -> bool:
        """Limit a request to the time that this process has left.

        :return: whether it can end in that time, and may be passed on.
        """
        lifetime = self._context.lifetime
        if not lifetime.is_stopping:
            return True
        can_end = lifetime.may_begin(
            call.deadline,
            trio.current_time(),
            chance_within=partial(
                self._route_statistics.chance_within, call.route
            ),
        )
        if can_end:
            # Owners and upstreams are told the time that there is.
            call.deadline = min(call.deadline, lifetime.work_ends_at)
        else:
            attempts.record_too_long()
        return can_end

    def _end_unanswered(self, call: Call, attempts: Attempts) -> Response:
        """Make the response if time ran out, that of the caller or our own."""
        if attempts.answer is not None:
            return self._make_response(call, attempts)
        if trio.current_time() >= self._context.lifetime.work_ends_at:
            attempts.record_stop()
            return self._make_response(call, attempts)
        reason = 'no answer by the deadline'
        self._log_failure(call, 'timed-out', reason, attempts)
        return error_response(HTTPStatus.GATEWAY_TIMEOUT, reason)

    def _update_parent(
        self, call: Call, status: int, attempts: Attempts
    ) -> None:
        """Record the result of a nested call at the request that made it."""
        parent = self._context.own.exchange.find_parent(call.id)
        if parent is None:
            return
        if attempts.refused_by_stop:
            # Through another daemon, the parent could make this call.
            parent.nested_status = HTTPStatus.BAD_GATEWAY
            return
        if status >= _FIRST_SERVER_ERROR:
            parent.nested_status = status
        self._context.own.nested_calls.record_outcome(
            parent.route.name,
            call.service,
            refused=(
                status == HTTPStatus.SERVICE_UNAVAILABLE
                and not attempts.blocked
            ),
            now=trio.current_time(),
        )

    async def _admit(self, call: Call, attempts: Attempts) -> Response:
        """Run a request, unless it is blocked because of crashes under it."""
        gate = self._context.gate
        decision = _UNRESTRICTED if gate.is_idle else await gate.admit(call)
        if not decision.is_admitted:
            attempts.record_block(
                BLOCKED_REASON, blocked_for=decision.blocked_for
            )
            return self._make_response(call, attempts)
        call.is_alone = decision.is_alone
        try:
            return await self._admit_within_quota(call, attempts)
        finally:
            gate.record_end(call, has_completed=attempts.has_completed)
            if decision.is_alone:
                gate.release(call)

    async def _admit_within_quota(
        self, call: Call, attempts: Attempts
    ) -> Response:
        """Run a request if the quota of its organisation has room."""
        quotas = self._context.quotas
        if not quotas.limits(call):
            return await self._answer(call, attempts)
        admission = await quotas.admit(call)
        if isinstance(admission, Refusal):
            reason = admission.reason
            self._log_failure(call, 'over-quota', reason, attempts)
            return over_quota_response(
                reason, admission.wait, self._context.random
            )
        may_have_run = True
        try:
            response = await self._answer(call, attempts)
            may_have_run = attempts.has_run
        finally:
            # An attempt that was cancelled may have run.
            if not (may_have_run and attempts.owners_asked):
                quotas.refund(call)
        return response

    async def _answer(self, call: Call, attempts: Attempts) -> Response:
        budget = self._find_budget(call.service)
        budget.earn()
        async with trio.open_nursery() as nursery:
            race = Race(nursery)
            if await self._run_attempts(call, attempts, budget, race):
                # Attempts still in progress are idempotent and no longer
                # needed.
                race.cancel()
        return self._make_response(call, attempts)

    def _find_budget(self, service: ServiceName) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            ratio = self._context.retry_ratio
            budget = RetryBudget(allowed_ratio=ratio)
            self._budgets[service] = budget
        return budget

    async def _go_on(
        self,
        call: Call,
        attempts: Attempts,
        budget: RetryBudget,
        race: Race,
    ) -> None:
        """Make further attempts while the owner of the last one is suspected.

        If the request was cancelled meanwhile, nothing more is sent.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        if await self._run_attempts(call, attempts, budget, race):
            race.cancel()

    async def _run_attempts(
        self,
        call: Call,
        attempts: Attempts,
        budget: RetryBudget,
        race: Race,
    ) -> bool:
        """Make attempts until one has a final outcome or none is left.

        :return: whether that is the case; otherwise another task goes on.
        """
        go_on = partial(self._go_on, call, attempts, budget, race)
        while True:
            peer = await self._choose_next_owner(call, attempts, budget, race)
            ended: tuple[Peer, Outcome] | None = None
            if peer is not None:
                attempts.record_start(peer)
                attempt = partial(self._attempt, call, peer)
                if race.in_progress:
                    race.start(peer, attempt)
                else:
                    ended = await race.run_here(peer, attempt, go_on)
                    if ended is None:
                        return False
            elif not race.in_progress:
                return True
            elif attempts.answer is not None and race.all_suspected:
                # A failure was returned, and the owners of the attempts in
                # progress may never respond.
                return True
            ended = ended or await race.wait()
            if ended is None:
                continue
            attempts.record_outcome(*ended)
            crash = ended[1].crash
            if crash is not None:
                self._context.gate.record_crash(identify(call), crash)
            # An attempt in progress may still get a better answer. A refusal
            # would also claim that the request did not run, which is unknown
            # while another attempt is in progress.
            decides = not race.in_progress or _is_conclusive(ended[1])
            if decides and self._is_final(call, ended[1]):
                return True

    async def _choose_next_owner(
        self,
        call: Call,
        attempts: Attempts,
        budget: RetryBudget,
        race: Race,
    ) -> Peer | None:
        """Choose the next owner; ``None`` if no attempt is to be made now."""
        may_start = _may_start_another(call, attempts, race)
        if not may_start or not self._limit_to_lifetime(call, attempts):
            return None
        if self._route_statistics.is_hopeless(call, trio.current_time()):
            attempts.record_unavailable('too little time is left', wait=0)
            return None
        # A suspected owner may have run the request.
        seen = attempts.reached + race.in_progress
        allowed = MAX_OWNERS_ASKED - attempts.found_owners_full
        may_try = attempts.owners_asked < allowed + seen
        if not may_try or (seen and not self._can_repeat(call, seen)):
            return None
        peer = await self._choose_owner(call, attempts)
        if seen and peer is not None:
            has_run = attempts.has_run or race.in_progress > 0
            if not budget.take(has_run=has_run):
                return None
            if has_run and self._context.quotas.limits(call):
                self._context.quotas.charge_rerun(call)
            self._context.stats.retries += 1
        return peer

    async def _choose_owner(
        self, call: Call, attempts: Attempts
    ) -> Peer | None:
        context = self._context
        peers = context.peers.for_service(call.service)
        if context.peers.is_evacuated(call.service):
            attempts.record_unavailable(_EVACUATED, wait=_EVACUATED_RETRY_DELAY)
            return None
        if call.route.homes:
            peers = self._selector.filter_homes(call, peers)
            attempts.record_no_home(is_reachable=bool(peers))
        shares = context.shares(call.service)
        if shares.target is None:
            return await self._selector.select(call, peers, attempts)
        chosen = self._filter_version(call, peers, shares, attempts)
        peer = await self._selector.select(call, chosen, attempts)
        if peer is None and attempts.wants_target and 0 < shares.share < 1:
            # The target version has no room, so the old version is used.
            attempts.wants_target = False
            others = filter_by_version(peers, shares, target=False)
            peer = await self._selector.select(call, others, attempts)
        return peer

    def _filter_version(
        self,
        call: Call,
        peers: list[Peer],
        shares: Shares,
        attempts: Attempts,
    ) -> list[Peer]:
        if attempts.wants_target is None:
            attempts.wants_target = self._versions.wants_target(
                call.service,
                shares.share,
            )
        # A refused request may be retried on the version that gets most of the
        # requests, but never on the target version of an unfinished rollout.
        use_target = (
            attempts.wants_target
            and not attempts.owners_asked
            or shares.share >= 1
        )
        chosen = filter_by_version(peers, shares, target=use_target)
        if not chosen and 0 < shares.share < 1:
            return filter_by_version(peers, shares, target=False)
        return chosen

    async def _attempt(
        self,
        call: Call,
        peer: Peer,
        on_suspect: SuspicionCallback,
    ) -> Outcome:
        upstream = peer.upstream
        if upstream is None:
            return not_run('the upstream has left')
        peer.owner.sent()
        if self._context.peers.is_own(peer):
            outcome = await self._context.own.run(
                call,
                instance=upstream.instance,
                version=upstream.version,
            )
        else:
            outcome = await forward_call(
                call,
                peer,
                upstream,
                sender=self._context.sender,
                stamp=self._context.stamp(),
                on_suspect=on_suspect,
            )
            self._context.record_stamp(peer.record.vm, outcome.stamp)
        if outcome.knows_limit:
            peer.record_limit(upstream, outcome.limit)
        if outcome.has_left:
            self._context.peers.record_leave(peer, upstream)
        self._route_statistics.record(call, peer.owner, outcome)
        return outcome

    def _is_final(self, call: Call, outcome: Outcome) -> bool:
        if outcome.execution is ExecutionStatus.NOT_RUN:
            return outcome.everywhere
        if not call.is_idempotent or outcome.everywhere:
            return True
        return _is_conclusive(outcome)

    def _can_repeat(self, call: Call, seen: int) -> bool:
        """Whether another upstream may get the request and there is time left.

        :param seen: number of upstreams that got it, or may have got it.
        """
        if seen >= call.route.max_attempts:
            return False
        gate = self._context.gate
        if not gate.is_idle and not gate.may_retry(call):
            return False
        time_left = call.deadline - trio.current_time()
        return (
            time_left
            >= _MIN_RETRY_TIME
            * self._route_statistics.mean_service_time(call.route)
        )

    def _make_response(self, call: Call, attempts: Attempts) -> Response:
        answer = attempts.answer
        if answer is not None:
            if answer.status >= HTTPStatus.BAD_REQUEST:
                self._log_failure(
                    call, 'failed', f'upstream: {answer.status}', attempts
                )
            else:
                self._record_answer(call)
            return Response(
                status=answer.status,
                headers=end_to_end_headers(answer.headers),
                body=answer.body,
                length=answer.length,
            )
        if attempts.may_have_run:
            self._log_failure(call, 'unknown', attempts.reason, attempts)
            return error_response(HTTPStatus.BAD_GATEWAY, attempts.reason)
        if attempts.blocked:
            self._log_failure(call, 'blocked', attempts.reason, attempts)
            return blocked_response(attempts.reason, attempts.wait)
        reason = attempts.reason or 'no upstream is known'
        self._log_failure(call, 'refused', reason, attempts)
        return retry_later_response(reason, attempts.wait, self._context.random)

    def _record_answer(self, call: Call) -> None:
        stats = self._context.stats
        now = trio.current_time()
        stats.answered += 1
        stats.latencies.add(call.service, now - call.arrived)
        if now > call.objective:
            stats.late += 1
            log(
                Event.CALL_LATE,
                request=call.id.decode('latin-1'),
                route=call.route.name,
                ms=int((now - call.arrived) * 1000),
            )

    def _log_failure(
        self,
        call: Call,
        outcome: str,
        reason: str,
        attempts: Attempts,
    ) -> None:
        stats = self._context.stats
        stats.count(call.service, outcome)
        now = trio.current_time()
        # A fingerprint needs a hash of the body, so it is only computed here
        # for requests that crashes are attributed to.
        is_suspected = attempts.crashed or attempts.blocked
        fingerprint = call.find_fingerprint().hex() if is_suspected else None
        log(
            Event.CALL_FAILED,
            request=call.id.decode('latin-1'),
            route=call.route.name,
            service=call.service,
            outcome=outcome,
            reason=reason,
            ms=int((now - call.arrived) * 1000),
            left=int((call.deadline - now) * 1000),
            nested=call.is_nested,
            tried=attempts.summaries,
            fingerprint=fingerprint,
            configuration=self._context.version,
        )


def _may_start_another(call: Call, attempts: Attempts, race: Race) -> bool:
    """Whether the attempts so far leave room for another one."""
    if not race.all_suspected or attempts.fails_everywhere:
        return False
    return call.is_idempotent or not race.in_progress


def _is_conclusive(outcome: Outcome) -> bool:
    """Whether the answer cannot be improved by another upstream."""
    answer = outcome.answer
    return answer is not None and answer.status not in RETRIABLE_STATUSES
