"""Rounds in which a pool asks pools of other groups for tokens."""

from collections.abc import Callable

from msgspec import Struct

from verbenamill_model.typing import VmId
from verbenamill_policy.quotas.limits import OrganisationId
from verbenamill_policy.quotas.messages import (
    TokenDemand,
    TokenGrant,
    decode_tokens,
    encode_tokens,
)
from verbenamill_policy.quotas.pool import Pool

#: Time after which a round ends without all answers, in seconds.
ROUND_TIME = 0.02
#: Most rounds in which other pools are asked for the same requests.
_MAX_ROUNDS = 5


class _Round(Struct):
    """Requests to other pools that are in progress.

    :param number: counts the rounds for the same requests, from 1.
    :param unanswered: numbers of the requests without an answer.
    """

    number: int
    until: float
    unanswered: set[int]
    wanted: dict[OrganisationId, float]
    received: dict[OrganisationId, float]


class Transfers:
    """Gets tokens of other pools for requests that the own pool cannot answer.

    :param ask_pools: sends a request to a few other pools, and returns the
        numbers of these requests; none if there is no pool to ask.
    :param answer: sends an answer of the own pool to a daemon.
    """

    def __init__(
        self,
        pool: Pool,
        *,
        ask_pools: Callable[[list[TokenDemand], float], set[int]],
        answer: Callable[[VmId, TokenGrant, float], None],
    ) -> None:
        self._pool = pool
        self._ask_pools = ask_pools
        self._answer = answer
        self._round: _Round | None = None

    @property
    def is_active(self) -> bool:
        """Whether answers of other pools are awaited."""
        return self._round is not None

    def start_if_needed(self, now: float) -> None:
        """Start a round if requests wait for tokens of other pools."""
        if self._pool.is_gathering and self._round is None:
            self._start_round(1, now)

    def poll(self, now: float) -> None:
        """End a round that takes too long."""
        current = self._round
        if current is not None and now >= current.until:
            self._end_round(current, now)

    def receive(self, grant: TokenGrant, now: float) -> None:
        """Process the answer of another pool, also a late one."""
        current = self._round
        is_current = current is not None and grant.number in current.unanswered
        for one in grant.granted:
            tokens = decode_tokens(one.tokens)
            self._pool.add(one.organisation, tokens, now)
            if current is not None and is_current:
                before = current.received.get(one.organisation, 0)
                current.received[one.organisation] = before + tokens
        if current is None or not is_current:
            return
        current.unanswered.discard(grant.number)
        if not current.unanswered:
            self._end_round(current, now)
        elif current.received:
            self._settle(now, is_final=False)

    def _start_round(self, number: int, now: float) -> None:
        shortage = self._pool.find_shortage(now)
        demands = [
            TokenDemand(id, encode_tokens(tokens) + 1)
            for id, tokens in shortage.items()
        ]
        unanswered = self._ask_pools(demands, now) if demands else set()
        if not unanswered:
            self._settle(now, is_final=True)
            return
        self._round = _Round(number, now + ROUND_TIME, unanswered, shortage, {})

    def _end_round(self, ended: _Round, now: float) -> None:
        self._round = None
        for id, wanted in ended.wanted.items():
            if ended.received.get(id, 0) < min(wanted, 1) / 2:
                self._pool.pause_asking(id, now)
        self._settle(now, is_final=False)
        if not self._pool.is_gathering:
            return
        if ended.number >= _MAX_ROUNDS:
            self._settle(now, is_final=True)
        else:
            self._start_round(ended.number + 1, now)

    def _settle(self, now: float, *, is_final: bool) -> None:
        """Answer pending requests, and all of them in the final step."""
        for vm, grant in self._pool.settle(now, is_final=is_final):
            self._answer(vm, grant, now)
