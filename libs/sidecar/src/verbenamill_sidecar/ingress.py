"""From a caller's request to an answer: which owner, and what if it fails."""

from functools import partial
from http import HTTPStatus

import trio

from verbenamill_http.messages import end_to_end_headers
from verbenamill_http.server import Request, Response
from verbenamill_model.typing import ServiceName
from verbenamill_policy.budget import RetryBudget
from verbenamill_policy.placement import (
    OwnerEstimate,
    choose_owner,
    find_limit_wait,
)
from verbenamill_policy.rollouts import Shares, VersionCounter
from verbenamill_sidecar.call import (
    RETRIED,
    Call,
    ExecutionStatus,
    Outcome,
    not_run,
)
from verbenamill_sidecar.ingress_context import IngressContext
from verbenamill_sidecar.route_statistics import Learned
from verbenamill_sidecar.forwarding import forward_call
from verbenamill_sidecar.peers import SuspicionCallback, Peer, with_version
from verbenamill_sidecar.racing import Race
from verbenamill_sidecar.call_reader import CallReader
from verbenamill_sidecar.responses import (
    come_back,
    error_response,
    refuse_blocked,
)
from verbenamill_sidecar.suspects import BLOCKED_REASON, Entry, identify
from verbenamill_sidecar.attempts import Tries
from verbenamill_telemetry import Event, log

#: Owners asked for room in turn; each takes a round trip, and if three have
#: none, the service as a whole has none.
MAX_HOPS = 3
#: Least time left in which another try can succeed, in service times.
_RETRY_ROOM = 0.8

_FREE_ENTRY = Entry(is_admitted=True)
_FAILURE = HTTPStatus.INTERNAL_SERVER_ERROR


class Ingress:
    """Answers the requests of this VM's callers."""

    def __init__(self, context: IngressContext) -> None:
        self._context = context
        self._versions = VersionCounter()
        self._budgets: dict[ServiceName, RetryBudget] = {}
        self._learned = Learned()
        self._reader = CallReader(context, self._learned)

    async def handle(self, request: Request) -> Response:
        """Answer a request."""
        call = self._reader.read(request)
        if isinstance(call, Response):
            return call
        self._context.stats.requests += 1
        response = None
        tries = Tries()
        with trio.CancelScope(deadline=call.deadline):
            response = await self._admit(call, tries)
        if response is None:
            response = self._time_out(call, tries)
        if call.is_nested:
            self._tell_parent(call, response.status, blocked=tries.blocked)
        if call.method == b'HEAD':
            response.is_bodiless = True
        return response

    def _time_out(self, call: Call, tries: Tries) -> Response:
        """What a caller gets whose time is over."""
        if tries.answer is not None:
            return self._conclude(call, tries)
        reason = 'no answer by the deadline'
        self._tell(call, 'timed-out', reason, tries)
        return error_response(HTTPStatus.GATEWAY_TIMEOUT, reason)

    def _tell_parent(self, call: Call, status: int, *, blocked: bool) -> None:
        """Remember what became of a call that the own upstream made."""
        parent = self._context.own.find_parent(call.id)
        if parent is None:
            return
        if status >= _FAILURE:
            parent.nested_status = status
        self._context.own.nesting.record_outcome(
            parent.route.name,
            call.service,
            refused=status == HTTPStatus.SERVICE_UNAVAILABLE and not blocked,
            now=trio.current_time(),
        )

    async def _admit(self, call: Call, tries: Tries) -> Response:
        """Answer a request, unless upstreams crashed under it."""
        gate = self._context.gate
        entry = _FREE_ENTRY if gate.is_idle else await gate.enter(call)
        if not entry.is_admitted:
            tries.refuse(BLOCKED_REASON, blocked_for=entry.blocked_for)
            return self._conclude(call, tries)
        call.is_alone = entry.is_alone
        try:
            return await self._answer(call, tries)
        finally:
            gate.record_end(call, has_completed=tries.has_completed)
            if entry.is_alone:
                gate.leave(call)

    async def _answer(self, call: Call, tries: Tries) -> Response:
        budget = self._budgets.setdefault(call.service, RetryBudget())
        budget.earn()
        async with trio.open_nursery() as nursery:
            await self._race(call, tries, budget, Race(nursery))
            # What is still under way is idempotent, and answered elsewhere.
            nursery.cancel_scope.cancel()
        return self._conclude(call, tries)

    async def _race(
        self,
        call: Call,
        tries: Tries,
        budget: RetryBudget,
        race: Race,
    ) -> None:
        """Make tries until one decides, or none is left."""
        while True:
            peer = self._next_owner(call, tries, budget, race)
            if peer is not None:
                tries.begin(peer)
                race.start(peer, partial(self._try, call, peer))
            elif not race.under_way:
                return
            elif tries.answer is not None and race.is_in_doubt:
                # A failure is in hand, and what is left may never answer.
                return
            ended = await race.wait()
            if ended is None:
                continue
            tries.end(*ended)
            crash = ended[1].crash
            if crash is not None:
                self._context.gate.record_crash(identify(call), crash)
            # The other try may still make a better answer, and a refusal
            # would say "not run", which nobody knows of it yet.
            decides = not race.under_way or _is_good(ended[1])
            if decides and self._is_final(call, ended[1]):
                return

    def _next_owner(
        self,
        call: Call,
        tries: Tries,
        budget: RetryBudget,
        race: Race,
    ) -> Peer | None:
        """The owner of a further try; ``None`` if there is to be none now."""
        if not race.is_in_doubt or tries.is_same_everywhere:
            return None
        if race.under_way and not call.is_idempotent:
            return None
        # An owner in doubt may have run the request.
        seen = tries.reached + race.under_way
        may_try = tries.hops < MAX_HOPS + seen
        if not may_try or (seen and not self._can_repeat(call, seen)):
            return None
        peer = self._choose(call, tries)
        if seen and peer is not None:
            has_run = tries.has_run or race.under_way > 0
            if not budget.take(has_run=has_run):
                return None
            self._context.stats.retries += 1
        return peer

    def _choose(self, call: Call, tries: Tries) -> Peer | None:
        context = self._context
        peers = context.peers.for_service(call.service)
        shares = context.shares(call.service)
        if shares.target is None:
            return self._pick(call, peers, tries)
        chosen = self._of_version(call, peers, shares, tries)
        peer = self._pick(call, chosen, tries)
        if peer is None and tries.wants_target and 0 < shares.share < 1:
            # The version on trial has no room; the other one serves on.
            tries.wants_target = False
            others = with_version(peers, shares, target=False)
            peer = self._pick(call, others, tries)
        return peer

    def _pick(
        self,
        call: Call,
        peers: list[Peer],
        tries: Tries,
    ) -> Peer | None:
        """The best owner of some; ``None`` if none can serve in time."""
        context = self._context
        now = trio.current_time()
        by_owner: dict[OwnerEstimate, Peer] = {
            peer.owner: peer for peer in peers
        }
        wish = self._learned.wish(call, now)
        owner = choose_owner(
            list(by_owner),
            wish,
            zone=context.availability_zone,
            excluded=tries.vms,
            now=now,
            random=context.random,
        )
        if owner is not None:
            return by_owner[owner]
        tries.see_limits(
            find_limit_wait(list(by_owner), wish, excluded=tries.vms, now=now),
        )
        return None

    def _of_version(
        self,
        call: Call,
        peers: list[Peer],
        shares: Shares,
        tries: Tries,
    ) -> list[Peer]:
        if tries.wants_target is None:
            tries.wants_target = self._versions.wants_target(
                call.service,
                shares.share,
            )
        # A request that was refused may go to the version that has most of
        # the requests, never to the one that is still on trial.
        wants = tries.wants_target and not tries.hops or shares.share >= 1
        chosen = with_version(peers, shares, target=wants)
        if not chosen and 0 < shares.share < 1:
            return with_version(peers, shares, target=False)
        return chosen

    async def _try(
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
                on_suspect=on_suspect,
            )
        if outcome.knows_limit:
            peer.tell_limit(upstream, outcome.limit)
        if outcome.has_left:
            self._context.peers.tell_left(peer, upstream)
        self._learned.learn(call, peer.owner, outcome)
        return outcome

    def _is_final(self, call: Call, outcome: Outcome) -> bool:
        if outcome.execution is ExecutionStatus.NOT_RUN:
            return outcome.everywhere
        if not call.is_idempotent or outcome.everywhere:
            return True
        return _is_good(outcome)

    def _can_repeat(self, call: Call, seen: int) -> bool:
        """Whether a further upstream may see the request, and has the time.

        :param seen: upstreams that have seen it, or may have.
        """
        if seen >= call.route.max_attempts:
            return False
        gate = self._context.gate
        if not gate.is_idle and not gate.may_retry(call):
            return False
        left = call.deadline - trio.current_time()
        return left >= _RETRY_ROOM * self._learned.usual(call.route)

    def _conclude(self, call: Call, tries: Tries) -> Response:
        answer = tries.answer
        if answer is not None:
            if answer.status >= HTTPStatus.BAD_REQUEST:
                self._tell(call, 'failed', f'upstream: {answer.status}', tries)
            else:
                self._time(call)
            return Response(
                status=answer.status,
                headers=end_to_end_headers(answer.headers),
                body=answer.body,
            )
        if tries.may_have_run:
            self._tell(call, 'unknown', tries.reason, tries)
            return error_response(HTTPStatus.BAD_GATEWAY, tries.reason)
        if tries.blocked:
            self._tell(call, 'blocked', tries.reason, tries)
            return refuse_blocked(tries.reason, tries.wait)
        reason = tries.reason or 'no upstream is known'
        self._tell(call, 'refused', reason, tries)
        return come_back(reason, tries.wait, self._context.random)

    def _time(self, call: Call) -> None:
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

    def _tell(
        self,
        call: Call,
        outcome: str,
        reason: str,
        tries: Tries,
    ) -> None:
        stats = self._context.stats
        stats.count(call.service, outcome)
        now = trio.current_time()
        # Hashing a body takes time, so only where it can be of use.
        is_suspected = tries.crashed or tries.blocked
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
            tried=tries.story,
            fingerprint=fingerprint,
            configuration=self._context.version,
        )


def _is_good(outcome: Outcome) -> bool:
    """Whether there is an answer that no other upstream could better."""
    answer = outcome.answer
    return answer is not None and answer.status not in RETRIED
