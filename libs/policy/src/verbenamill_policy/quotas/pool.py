"""The pool of a group, which earns with delegated shares and grants tokens."""

from collections.abc import Callable

from verbenamill_model.typing import VmId
from verbenamill_policy.organisations import Quota
from verbenamill_policy.quotas.answers import AnswerLogs
from verbenamill_policy.quotas.buckets import Bucket
from verbenamill_policy.quotas.delegations import Delegations
from verbenamill_policy.quotas.limits import (
    OrganisationId,
    Quotas,
    may_hold_token,
)
from verbenamill_policy.quotas.messages import (
    Granted,
    RequestKind,
    TokenDemand,
    TokenGrant,
    TokenRequest,
    decode_tokens,
    encode_tokens,
)

#: Time from the arrival of a report for which a share counts as delegated, in
#: seconds. It is shorter than the time for which the sender counts it, by the
#: longest expected time in transit.
DELEGATION_TIME = 0.7
#: Interval between the reports of a daemon, in seconds.
REPORT_PERIOD = 0.3
#: Longest time until a token that is named to a daemon, in seconds.
_MAX_WAIT = 60.0
#: Shortest and longest interval between requests for tokens of an empty
#: bucket, in seconds.
_MIN_PAUSE = 0.05
#: Time at its use for which a bucket keeps tokens for waiting requests while
#: it grants others ahead, in seconds.
_RESERVED_TIME = 0.1
_MAX_PAUSE = REPORT_PERIOD


def find_pause(quota: Quota) -> float:
    """Interval between requests for tokens of an empty bucket, in seconds.

    It is short enough that the bucket is not full before the next request.
    """
    if quota.rate <= 0:
        return _MAX_PAUSE
    filled = quota.burst / quota.rate / 2
    return min(max(filled, _MIN_PAUSE), _MAX_PAUSE)


def _find_reserve(
    bucket: Bucket, limit: float, ahead: float, now: float
) -> float:
    """Tokens of a bucket that are kept for requests that wait.

    A single token ahead may remain unused for seconds, so half of the bucket
    is kept. More are asked for by a daemon that uses them within a report
    period.
    """
    if ahead <= 1:
        return limit / 2
    return min(limit / 2, bucket.use.rate(now) * _RESERVED_TIME)


class Pool:
    """The pool that a daemon hosts.

    Every daemon has one; it earns while shares are delegated to it.

    :param slack: tokens that standalone daemons may hold beyond the burst.
    :param daemons: returns the number of daemons by which shares are counted.
    :param known_daemons: returns the number of daemons that this one knows,
        regardless of what others report.
    :ivar is_leaving: whether the pool refuses reports and gives up its tokens.
    """

    def __init__(
        self,
        own: VmId,
        *,
        slack: float,
        daemons: Callable[[], int],
        known_daemons: Callable[[], int],
    ) -> None:
        self.delegations = Delegations()
        self.is_leaving = False
        self._own = own
        self._slack = slack
        self._daemons = daemons
        self._known_daemons = known_daemons
        self._quotas: Quotas = {}
        self._added_at: dict[OrganisationId, float] = {}
        self._buckets: dict[OrganisationId, Bucket] = {}
        self._answers = AnswerLogs()
        self._pending: list[TokenRequest] = []

    @property
    def is_gathering(self) -> bool:
        """Whether requests wait for tokens of other pools."""
        return bool(self._pending)

    def set_quotas(self, quotas: Quotas, now: float) -> None:
        """Apply changed quotas from now on."""
        self.advance(now)
        earned = self.delegations.earned
        for id, quota in quotas.items():
            previous = self._quotas.get(id)
            if previous is None:
                self._added_at[id] = earned
            elif previous != quota:
                bucket = self._bucket(id)
                assert bucket is not None
                bucket.change(quota, self._limit(id, quota))
        for id in self._quotas.keys() - quotas.keys():
            self._buckets.pop(id, None)
        self._quotas = quotas

    def advance(self, now: float) -> None:
        """Let delegations earn and expire."""
        for vm in self.delegations.advance(now):
            self._forget_held(vm)

    def revoke(self, vm: VmId, now: float) -> None:
        """End the delegation of a daemon's share."""
        if vm in self.delegations:
            self.delegations.remove(vm, now)
            self._forget_held(vm)

    def leave(self, now: float) -> None:
        """Refuse reports from now on, and count no share any more."""
        self.is_leaving = True
        self.delegations.clear(now)

    def receive(self, request: TokenRequest, now: float) -> TokenGrant | None:
        """Process a request, and return the answer.

        :returns: ``None`` if there is none, or none yet; see :meth:`settle`.
        """
        log = self._answers.find(request)
        if log is None:
            return None
        if request.number in log:
            return log.get(request.number)
        self.advance(now)
        if log.receive(request, now):
            self._record_status(request, now)
        self._take_back(request)
        if self._is_short(request, now):
            self._pending.append(request)
            return None
        return self._answer(request, now)

    def find_shortage(self, now: float) -> dict[OrganisationId, float]:
        """Find the tokens that pending requests need from other pools."""
        self.advance(now)
        wanted: dict[OrganisationId, float] = {}
        for request in self._pending:
            for demand in request.demands:
                units = decode_tokens(demand.wanted)
                id = demand.organisation
                wanted[id] = wanted.get(id, 0) + units
        shortage: dict[OrganisationId, float] = {}
        for id, tokens in wanted.items():
            bucket = self._bucket(id)
            if bucket is None or now < bucket.ask_after:
                continue
            if bucket.level < tokens:
                ahead = bucket.use.rate(now) * REPORT_PERIOD
                shortage[id] = tokens - bucket.level + ahead
        return shortage

    def add(self, id: OrganisationId, tokens: float, now: float) -> None:
        """Add tokens of another pool."""
        bucket = self._bucket(id)
        if bucket is not None:
            bucket.add(tokens, now)

    def pause_asking(self, id: OrganisationId, now: float) -> None:
        """Do not ask other pools for a while, since they have none either."""
        bucket = self._buckets.get(id)
        if bucket is not None:
            bucket.ask_after = now + find_pause(bucket.quota)

    def settle(
        self, now: float, *, is_final: bool
    ) -> list[tuple[VmId, TokenGrant]]:
        """Answer pending requests, and return the answers by receiver.

        :param is_final: whether to answer all, and not only those for which
            there are enough tokens by now.
        """
        self.advance(now)
        pending = self._pending
        self._pending = []
        answers: list[tuple[VmId, TokenGrant]] = []
        for request in pending:
            if is_final or not self._is_short(request, now):
                answers.append((request.sender, self._answer(request, now)))
            else:
                self._pending.append(request)
        return answers

    def take_excess(self, now: float) -> dict[OrganisationId, float]:
        """Take the tokens that the shares delegated here may not hold."""
        self.advance(now)
        taken: dict[OrganisationId, float] = {}
        for id, bucket in self._buckets.items():
            self._refill(id, bucket)
            excess = bucket.take_excess(self._limit(id, bucket.quota), now)
            if excess:
                taken[id] = excess
        return taken

    def retain(self, vms: frozenset[VmId]) -> None:
        """Drop what is kept about daemons that no longer exist."""
        self._answers.retain(vms)

    def _record_status(self, request: TokenRequest, now: float) -> None:
        daemons = max(self._daemons(), request.daemons)
        delegates = request.kind is RequestKind.DELEGATE and daemons > 0
        if delegates and not self.is_leaving:
            until = now + DELEGATION_TIME
            self.delegations.put(request.sender, 1 / daemons, until, now)
        else:
            self.revoke(request.sender, now)

    def _take_back(self, request: TokenRequest) -> None:
        """Add the tokens that a request returns, and record those it keeps."""
        if request.kind is RequestKind.TRANSFER:
            return
        has_share = request.sender in self.delegations
        for demand in request.demands:
            bucket = self._bucket(demand.organisation)
            if bucket is None:
                continue
            bucket.level += decode_tokens(demand.returned)
            if has_share:
                held = decode_tokens(demand.held)
                bucket.record_held(request.sender, held)

    def _is_short(self, request: TokenRequest, now: float) -> bool:
        """Whether other pools may have tokens that a request needs."""
        if request.kind is RequestKind.TRANSFER or self.is_leaving:
            return False
        for demand in request.demands:
            bucket = self._bucket(demand.organisation)
            if bucket is None or bucket.quota.rate <= 0:
                continue
            wanted = decode_tokens(demand.wanted)
            if bucket.level < wanted and now >= bucket.ask_after:
                return True
        return False

    def _answer(self, request: TokenRequest, now: float) -> TokenGrant:
        is_report = request.kind in {RequestKind.DELEGATE, RequestKind.REPORT}
        accepted = not (is_report and self.is_leaving)
        granted: list[Granted] = []
        if accepted:
            for demand in request.demands:
                one = self._grant(demand, request.kind, now)
                if one.tokens or one.wait:
                    granted.append(one)
        grant = TokenGrant(
            sender=self._own,
            number=request.number,
            accepted=accepted,
            daemons=self._known_daemons(),
            granted=granted,
        )
        log = self._answers.get(request.sender)
        if log is not None and log.incarnation == request.incarnation:
            log.record(grant)
        return grant

    def _grant(
        self, demand: TokenDemand, kind: RequestKind, now: float
    ) -> Granted:
        bucket = self._bucket(demand.organisation)
        if bucket is None:
            return Granted(demand.organisation, 0)
        wanted = decode_tokens(demand.wanted)
        if kind is RequestKind.TRANSFER:
            spare = bucket.take_spare(wanted, REPORT_PERIOD, now)
            return Granted(demand.organisation, encode_tokens(spare))
        tokens = bucket.take(wanted, now)
        wait = float(0)
        if tokens < wanted:
            bucket.unmet.add(wanted - tokens, now)
            wait = min(bucket.expected_wait(now), _MAX_WAIT)
        elif demand.ahead:
            limit = self._limit(demand.organisation, bucket.quota)
            ahead = decode_tokens(demand.ahead)
            spare = bucket.level - _find_reserve(bucket, limit, ahead, now)
            tokens += bucket.take(min(ahead, spare), now)
        return Granted(
            demand.organisation, encode_tokens(tokens), max(int(wait * 1000), 0)
        )

    def _bucket(self, id: OrganisationId) -> Bucket | None:
        """Return the bucket of a quota with what it has earned by now."""
        bucket = self._buckets.get(id)
        if bucket is None:
            quota = self._quotas.get(id)
            if quota is None:
                return None
            bucket = Bucket(quota, self._added_at[id])
            self._buckets[id] = bucket
        self._refill(id, bucket)
        return bucket

    def _refill(self, id: OrganisationId, bucket: Bucket) -> None:
        limit = self._limit(id, bucket.quota)
        bucket.refill(self.delegations.earned, limit)

    def _limit(self, id: OrganisationId, quota: Quota) -> float:
        """Most tokens that the shares delegated here may hold."""
        shares = self.delegations
        limit = quota.burst * shares.total
        if limit >= 1 or len(shares) != 1 or self._own not in shares:
            return limit
        holds_token = may_hold_token(
            self._own,
            id,
            burst=quota.burst,
            daemons=round(1 / shares.total),
            slack=self._slack,
        )
        return 1 if holds_token else limit

    def _forget_held(self, vm: VmId) -> None:
        for bucket in self._buckets.values():
            bucket.record_held(vm, 0)
