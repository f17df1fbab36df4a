"""Tokens of one organisation at the daemon that admits its requests."""

import math
from collections import deque
from collections.abc import Callable
from enum import Enum, unique

from msgspec import Struct

from verbenamill_policy.organisations import Quota
from verbenamill_policy.quotas.buckets import Decaying
from verbenamill_policy.quotas.limits import OrganisationId
from verbenamill_policy.quotas.messages import TokenDemand, encode_tokens
from verbenamill_policy.quotas.pool import REPORT_PERIOD, find_pause

#: Time after which tokens that were not used are returned, in seconds.
_UNUSED_TIME = 2.0
#: Time constant of the demand at this daemon, in seconds.
_DEMAND_MEMORY = 1.0
#: Time without requests after which an account is dropped, in seconds.
_IDLE_TIME = 10.0
#: Shortest time without questions after a refusal, in seconds.
_MIN_PAUSE = 0.02
#: Requests expected before an unused token is returned, from which on one is
#: held ahead.
_LIKELY = 0.5


@unique
class Verdict(Enum):
    """Whether a request is within its organisation's quota.

    ``IN_DOUBT``: refused because no pool answers.
    """

    ADMITTED = 'admitted'
    OVER_QUOTA = 'over-quota'
    IN_DOUBT = 'in-doubt'


class Decision(Struct, frozen=True):
    """A verdict, and for a refusal the time to the next token, in seconds."""

    verdict: Verdict
    wait: float = 0


class WaitingRequest:
    """A request that waits for a token.

    :param until: time at which it is refused if no pool answers.
    :param notify: called once there is a decision.
    :ivar asked: number of the request for tokens on its behalf; -1 if none
        was sent yet.
    :ivar decision: ``None`` while it waits.
    """

    def __init__(self, until: float, notify: Callable[[], None]) -> None:
        self.until = until
        self.asked = -1
        self.decision: Decision | None = None
        self._notify = notify

    def decide(self, decision: Decision) -> None:
        """Set the decision and notify the request."""
        self.decision = decision
        self._notify()


class Account:
    """Tokens of one organisation at the daemon that admits its requests.

    :ivar balance: tokens at hand; negative after runs that had no token.
    :ivar returning: tokens to be returned with the next report.
    """

    def __init__(self, id: OrganisationId, quota: Quota, now: float) -> None:
        self.quota = quota
        self.balance = float(0)
        self.returning = float(0)
        self.waiting: deque[WaitingRequest] = deque()
        self._id = id
        self._in_flight = -1
        self._demand = Decaying(_DEMAND_MEMORY)
        self._refused = 0
        self._paused_until = float('-inf')
        self._next_token_at = float('-inf')
        self._used_at = now
        self._arrived_at = now
        self._reported_held = 0

    @property
    def must_ask(self) -> bool:
        """Whether requests wait on whose behalf no tokens were asked for."""
        return (
            self._in_flight < 0
            and bool(self.waiting)
            and self.waiting[-1].asked < 0
        )

    def is_idle(self, now: float) -> bool:
        """Whether nothing is lost if the account is dropped."""
        if self.waiting or self.balance or self.returning:
            return False
        is_recent = now - self._arrived_at <= _IDLE_TIME
        return not (is_recent or self._reported_held)

    def change(self, quota: Quota) -> None:
        """Apply a changed quota, and cut the tokens to it."""
        self.quota = quota
        self.balance = min(self.balance, quota.burst)
        self._paused_until = float('-inf')

    def arrive(self, now: float) -> Decision | None:
        """Record a request; decide it unless it has to wait for a token."""
        self._demand.add(1, now)
        self._arrived_at = now
        if self.balance >= 1 and not self.waiting:
            self.balance -= 1
            self._used_at = now
            return Decision(Verdict.ADMITTED)
        if now < self._paused_until:
            self._refused += 1
            wait = max(self._next_token_at - now, 0)
            return Decision(Verdict.OVER_QUOTA, wait)
        return None

    def refund(self, now: float) -> None:
        """Take back the token of a request that did not run."""
        self.balance = min(self.balance + 1, self.quota.burst)
        self._used_at = now
        self._serve(now)

    def charge(self) -> None:
        """Take a token for another run, even if there is none."""
        self.balance -= 1

    def make_demand(
        self, number: int, now: float, *, is_report: bool
    ) -> TokenDemand | None:
        """Tell a pool what is wanted, held and returned.

        :param number: number of the message.
        :param is_report: whether this is a report, which returns tokens; a
            request for tokens does not.
        :returns: ``None`` if there is nothing to tell.
        """
        if is_report:
            self._return_unused(now)
        returned = encode_tokens(self.returning) if is_report else 0
        if is_report:
            self.returning = float(0)
        wanted, ahead = self._find_wanted(now)
        if not is_report:
            wanted += self._ask_for_waiting(number)
        held = encode_tokens(max(self.balance, 0))
        if not (wanted or ahead or returned or held != self._reported_held):
            return None
        self._reported_held = held
        return TokenDemand(
            self._id,
            encode_tokens(wanted),
            encode_tokens(ahead),
            held,
            returned,
        )

    def receive(
        self, number: int, tokens: float, wait: float, now: float
    ) -> None:
        """Process what a pool has granted.

        :param wait: time until the next token, in seconds; 0 if all that were
            wanted are granted.
        """
        if self._in_flight == number:
            self._in_flight = -1
        self.balance += tokens
        if tokens:
            self._used_at = now
        self._serve(now)
        if wait:
            self._next_token_at = now + wait
            pause = max(min(wait, find_pause(self.quota)), _MIN_PAUSE)
            self._paused_until = now + pause
            self._refuse_asked(number, wait)
        else:
            self._paused_until = float('-inf')

    def abandon(self, number: int) -> None:
        """Wait no longer for the answer to a request for tokens."""
        if self._in_flight == number:
            self._in_flight = -1

    def expire(self, now: float) -> None:
        """Refuse the requests that have waited too long for a pool."""
        for request in list(self.waiting):
            if request.until <= now:
                self.waiting.remove(request)
                request.decide(Decision(Verdict.IN_DOUBT))
        if not self.waiting:
            self._in_flight = -1

    def refuse_all(self, wait: float) -> None:
        """Refuse all waiting requests, since the quota has changed to none."""
        while self.waiting:
            self.waiting.popleft().decide(Decision(Verdict.OVER_QUOTA, wait))

    def _return_unused(self, now: float) -> None:
        """Return the tokens that are not needed soon, as judged by the use."""
        idle_time = now - self._used_at
        if idle_time > _UNUSED_TIME:
            kept = float(0)
        elif idle_time > REPORT_PERIOD:
            kept = float(1)
        else:
            return
        unused = max(self.balance - kept, 0)
        self.returning += unused
        self.balance -= unused

    def _find_wanted(self, now: float) -> tuple[int, int]:
        """Find the tokens wanted for refused and for expected requests."""
        expected = round(self._demand.rate(now) * REPORT_PERIOD)
        wanted = min(self._refused, expected)
        self._refused = 0
        if self.balance < 0:
            wanted += math.ceil(-self.balance)
        at_hand = int(max(self.balance, 0))
        if not expected and self._demand.rate(now) * _UNUSED_TIME > _LIKELY:
            expected = 1
        missing = max(expected - wanted - at_hand, 0)
        return max(wanted - at_hand, 0), missing

    def _ask_for_waiting(self, number: int) -> int:
        """Mark the waiting requests as asked for, and return how many."""
        asked = 0
        for request in self.waiting:
            if request.asked < 0:
                request.asked = number
                asked += 1
        self._in_flight = number
        return asked

    def _serve(self, now: float) -> None:
        while self.waiting and self.balance >= 1:
            self.balance -= 1
            self._used_at = now
            self.waiting.popleft().decide(Decision(Verdict.ADMITTED))

    def _refuse_asked(self, number: int, wait: float) -> None:
        """Refuse the requests for which there was no token."""
        for request in list(self.waiting):
            if 0 <= request.asked <= number:
                self.waiting.remove(request)
                request.decide(Decision(Verdict.OVER_QUOTA, wait))
                self._refused += 1
