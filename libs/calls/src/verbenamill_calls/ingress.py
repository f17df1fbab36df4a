"""From a request to an answer: which owner, and what if that fails."""

from datetime import timedelta
from http import HTTPStatus

import trio
from msgspec.structs import replace

from verbenamill_calls.body import Limits, Relayed
from verbenamill_calls.budget import RetryBudget
from verbenamill_calls.call import (
    Answer,
    Attempt,
    Call,
    Fate,
    Refusal,
    Reply,
    refuse,
)
from verbenamill_calls.context import CallContext
from verbenamill_calls.hedging import LatencyQuantile, race
from verbenamill_calls.ledger import StoredAnswer
from verbenamill_calls.links import Links
from verbenamill_calls.local import LocalUpstream
from verbenamill_calls.peers import Peer, Peers, Tiers
from verbenamill_calls.remote import RemoteAttempt
from verbenamill_calls.routing import pick_version, pick_version_by_key
from verbenamill_calls.settings import CallSettings
from verbenamill_calls.stats import CallStats
from verbenamill_calls.stored import read_answer, recall
from verbenamill_model.typing import RequestId, RouteName, VersionName, VmId

#: Answers after which an idempotent call is tried elsewhere.
_RETRIED = (
    HTTPStatus.BAD_GATEWAY,
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.GATEWAY_TIMEOUT,
)
#: Longest pause before a call goes to the same owner again, in seconds.
_PAUSE = 0.02


class Ingress:
    """Brings callers' calls to owners and back."""

    def __init__(
        self,
        context: CallContext,
        local: LocalUpstream,
        settings: CallSettings,
        stats: CallStats,
    ) -> None:
        self.peers = Peers(context, local, settings)
        self._context = context
        self._local = local
        self._settings = settings
        self._stats = stats
        self._links = Links(context, settings, stats)
        self._budget = RetryBudget(settings)
        self._quantiles: dict[RouteName, LatencyQuantile] = {}
        self._sent = 0
        # Ids must not repeat those of an earlier life of this daemon.
        self._id_prefix = f'{context.random.getrandbits(64):016x}'

    async def answer(self, call: Call) -> Answer:
        """Get a call answered.

        :param call: its id and version are chosen here, for each try anew.
        """
        self._budget.earn()
        tried: list[VmId] = []
        answer: Answer | None = None
        for number in range(self._settings.max_attempts):
            peer = self._pick(call, tried)
            if peer is None and self._may_come_back(call, answer):
                await trio.sleep(self._context.random.random() * _PAUSE)
                tried.clear()
                peer = self._pick(call, tried)
            if peer is None:
                break
            self._stats.retries += bool(number)
            tried.append(peer.id)
            answer = await self._try(call, peer, tried)
            if not self._may_repeat(call, answer):
                return answer
        return answer or _no_upstream(call)

    async def _try(self, call: Call, peer: Peer, tried: list[VmId]) -> Answer:
        started = await self._begin(call, peer)
        if isinstance(started, Reply | Refusal):
            return started
        if not (call.idempotent and call.body.is_whole):
            answer = await started.wait()
            assert answer is not None
            return answer
        answer = await self._wait_or_hedge(call, started, tried)
        return await self._complete(call, answer)

    async def _begin(self, call: Call, peer: Peer) -> Attempt | Answer:
        self._sent += 1
        sent = replace(
            call,
            id=RequestId(f'{self._id_prefix}-{self._sent}'),
            version=peer.version,
        )
        if self.peers.is_local(peer):
            return await self._local.begin(sent)
        attempt = RemoteAttempt(self._links, peer, sent)
        try:
            answer = await attempt.send()
        except trio.Cancelled:
            attempt.abandon()
            raise
        return attempt if answer is None else answer

    async def _wait_or_hedge(
        self,
        call: Call,
        attempt: Attempt,
        tried: list[VmId],
    ) -> Answer:
        began_at = self._context.clock.monotonic()
        quantile = self._quantile(call.route)
        hedge_at = began_at + quantile.value
        answer = await attempt.wait(hedge_at)
        if answer is None:
            answer = await self._hedge(call, attempt, tried)
        quantile.add(self._context.clock.monotonic() - began_at)
        return answer

    async def _hedge(
        self,
        call: Call,
        attempt: Attempt,
        tried: list[VmId],
    ) -> Answer:
        """Try a second owner while the first is waited for."""
        other = self._pick(call, tried)
        if other is None or not self._budget.spend():
            return await self._outwait(attempt)
        self._stats.hedges += 1
        tried.append(other.id)
        return await race(
            attempt,
            lambda: self._begin(call, other),
            self._outwait,
        )

    async def _outwait(self, attempt: Attempt) -> Answer:
        """Wait to the end, unless the call turns out to be lost."""
        while True:
            now = self._context.clock.monotonic()
            answer = await attempt.wait(now + self._settings.silence)
            if answer is not None:
                return answer
            if await attempt.is_lost() and self._budget.spend():
                attempt.abandon()
                return refuse(
                    HTTPStatus.BAD_GATEWAY,
                    Fate.UNKNOWN,
                    'the connection went silent',
                )

    async def _complete(self, call: Call, answer: Answer) -> Answer:
        """Read a small answer whole, so that a cut one can be repeated."""
        if not isinstance(answer, Reply) or answer.connection is None:
            return answer
        length = answer.head.framing.length
        if length is None or length > self._settings.buffer:
            return answer
        stored = await read_answer(
            answer.head,
            answer.connection,
            limit=self._settings.buffer,
            limits=Limits(
                call.deadline,
                self._context.clock,
                silence=self._settings.body_timeout.total_seconds(),
            ),
        )
        if isinstance(stored, StoredAnswer):
            answer.finish(Relayed.WHOLE)
            return recall(stored)
        answer.finish(Relayed.SOURCE_BROKEN)
        return refuse(
            HTTPStatus.BAD_GATEWAY,
            Fate.UNKNOWN,
            'the answer broke off',
        )

    def _pick(self, call: Call, tried: list[VmId]) -> Peer | None:
        if call.service not in self._context.snapshot().services:
            # A newer configuration has removed it since the route was found.
            return None
        available = self.peers.versions(call.service)
        if tried:
            available = _without(available, tried)
        shares = self._context.shares(call.service)
        if call.key is None:
            version = pick_version(shares, available, self._context.random)
        else:
            version = pick_version_by_key(shares, available, call.key)
        if version is None:
            return None
        if call.key is None:
            return self.peers.pick(available[version], tried)
        return self.peers.pick_by_key(available[version], call.key, tried)

    def _may_come_back(self, call: Call, answer: Answer | None) -> bool:
        """Whether owners that were tried may be tried once more."""
        if not isinstance(answer, Refusal) or not call.idempotent:
            return False
        return answer.fate is Fate.UNKNOWN

    def _may_repeat(self, call: Call, answer: Answer) -> bool:
        """Whether to try again; pays for it from the budget."""
        if isinstance(answer, Reply):
            # A body that still has to come would be lost.
            is_failed = answer.head.status in _RETRIED
            is_wanted = is_failed and answer.connection is None
        else:
            is_wanted = answer.fate is not Fate.FAILED
        if not is_wanted or not call.body.is_repeatable:
            return False
        if self._context.clock.monotonic() >= call.deadline or call.is_gone():
            return False
        if isinstance(answer, Refusal) and answer.fate is Fate.NOT_RUN:
            return self._may_reroute(call, answer)
        return call.idempotent and self._budget.spend()

    def _may_reroute(self, call: Call, refusal: Refusal) -> bool:
        if refusal.retry_after is None:
            # It is leaving or out of reach, and nothing was spent there. A
            # key goes on only from one that leaves and will not come back:
            # no other owner knows what ran under it.
            is_leaving = refusal.status == HTTPStatus.SERVICE_UNAVAILABLE
            return call.key is None or is_leaving
        return call.key is None and self._budget.spend()

    def _quantile(self, route: RouteName) -> LatencyQuantile:
        known = self._quantiles.get(route)
        if known is None:
            known = LatencyQuantile(self._settings.min_hedge)
            self._quantiles[route] = known
        return known


def _without(
    versions: dict[VersionName, Tiers],
    tried: list[VmId],
) -> dict[VersionName, Tiers]:
    """Versions that have an owner which was not tried."""
    return {
        version: tiers
        for version, tiers in versions.items()
        if any(peer.id not in tried for tier in tiers for peer in tier)
    }


def _no_upstream(call: Call) -> Refusal:
    return refuse(
        HTTPStatus.SERVICE_UNAVAILABLE,
        Fate.NOT_RUN,
        f'no upstream of {call.service} is ready',
        retry_after=timedelta(seconds=1),
    )
