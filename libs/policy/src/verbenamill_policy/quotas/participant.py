"""One daemon's part in the quotas, as decisions without I/O.

It receives messages and the time, and leaves messages to be sent in
:attr:`Participant.outbox`.
"""

from collections.abc import Callable
from enum import Enum, unique
from itertools import chain
from random import Random

from msgspec import Struct

from verbenamill_model.typing import VmId
from verbenamill_policy.quotas.accounts import (
    Account,
    Decision,
    WaitingRequest,
)
from verbenamill_policy.quotas.groups import Groups
from verbenamill_policy.quotas.limits import OrganisationId, Quotas
from verbenamill_policy.quotas.messages import (
    RequestKind,
    TokenDemand,
    TokenGrant,
    TokenRequest,
    decode_tokens,
)
from verbenamill_policy.quotas.placement import SharePlacement, Standing
from verbenamill_policy.quotas.pool import REPORT_PERIOD, Pool
from verbenamill_policy.quotas.transfers import Transfers

#: Time after which a request for tokens is sent again, in seconds.
RESEND_TIME = 0.02
#: Time after which it is given up, in seconds.
_GIVE_UP_TIME = 0.1
#: Time for which a late grant is still accepted, in seconds.
_OPEN_TIME = 2.0
#: Other pools that are asked at once.
_ASKED_POOLS = 2
#: Time for which the number of daemons that a peer reports counts, in seconds.
#: It spans several reports, so that it ends only when no peer reports it.
_REPORTED_TIME = 1.0
#: Time without any activity after which received messages may be old, in
#: seconds, and for how long they are then ignored.
_STALL_TIME = REPORT_PERIOD + 0.5
_STALE_TIME = 0.3
#: Interval between removals of what is kept about former daemons, in seconds.
_SWEEP_PERIOD = 10.0
#: Time without a pool host after which tokens that no share allows are dropped
#: and not handed over, in seconds.
_SEARCH_TIME = 2 * REPORT_PERIOD

Message = TokenRequest | TokenGrant


@unique
class Occurrence(Enum):
    """What happened that operators may want to know."""

    POOL_MOVED = 'pool-moved'
    STANDALONE_BEGAN = 'standalone-began'
    STANDALONE_ENDED = 'standalone-ended'


class _OpenRequest(Struct):
    """A request whose answer is accepted.

    :param is_waited_for: whether it is sent again and requests wait for it.
    """

    to: VmId
    request: TokenRequest
    first_sent_at: float
    sent_at: float
    is_waited_for: bool


class Participant:
    """One daemon's part in the quotas.

    :param started_at: when the process began.
    :param groups: returns the current groups of daemons; ``None`` before any
        daemons were read.
    :param is_suspect: whether a daemon appears to be unreachable.
    :param slack: tokens that standalone daemons may hold beyond the burst.
    :ivar outbox: messages to be sent, with their receivers.
    :ivar occurrences: what happened since they were last taken.
    """

    def __init__(
        self,
        own: VmId,
        incarnation: int,
        *,
        started_at: float,
        groups: Callable[[], Groups | None],
        is_suspect: Callable[[VmId], bool],
        slack: float,
        random: Random,
    ) -> None:
        self.outbox: list[tuple[VmId, Message]] = []
        self.occurrences: list[tuple[Occurrence, VmId | None]] = []
        self.placement = SharePlacement(own, started_at, is_suspect)
        self.pool = Pool(
            own,
            slack=slack,
            daemons=self._count_daemons,
            known_daemons=self._own_count,
        )
        self._transfers = Transfers(
            self.pool, ask_pools=self._ask_pools, answer=self._send
        )
        self._own = own
        self._incarnation = incarnation
        self._groups = groups
        self._is_suspect = is_suspect
        self._random = random
        self._quotas: Quotas = {}
        self._accounts: dict[OrganisationId, Account] = {}
        self._waiting: dict[OrganisationId, Account] = {}
        self._number = 0
        self._open: dict[int, _OpenRequest] = {}
        self._is_leaving = False
        self._now = started_at
        self._active_at = started_at
        self._stale_until = float('-inf')
        self._reported_daemons = 0
        self._reported_at = float('-inf')
        self._report_at = started_at
        self._prompt_after = started_at
        self._sweep_at = started_at
        self._standing = Standing.STANDALONE
        self._answered_at = started_at

    @property
    def next_report_at(self) -> float:
        """Time of the next call of :meth:`tick`."""
        return self._report_at

    @property
    def is_in_doubt(self) -> bool:
        """Whether no pool host answers this daemon."""
        return self._standing is Standing.STANDALONE

    @property
    def has_open_questions(self) -> bool:
        """Whether :meth:`poll` is due within :data:`RESEND_TIME`."""
        return self._transfers.is_active

    def set_quotas(self, quotas: Quotas, now: float) -> None:
        """Apply changed quotas from now on."""
        self._quotas = quotas
        self.pool.set_quotas(quotas, now)
        for id, account in list(self._accounts.items()):
            quota = quotas.get(id)
            if quota is None:
                account.refuse_all(0)
                self._accounts.pop(id)
                self._waiting.pop(id, None)
            else:
                account.change(quota)

    def leave(self, now: float) -> None:
        """Give up the share and the pool, since the daemon is stopping."""
        self._is_leaving = True
        self.pool.leave(now)
        self.tick(now)

    def arrive(
        self,
        id: OrganisationId,
        now: float,
        *,
        until: float,
        notify: Callable[[], None],
    ) -> Decision | WaitingRequest:
        """Decide on a request, or let it wait for a token.

        :param until: time at which the request is refused if no pool answers.
        :param notify: called once a waiting request is decided.
        """
        account = self._account(id, now)
        decision = account.arrive(now)
        if decision is not None:
            return decision
        waiting = WaitingRequest(until, notify)
        account.waiting.append(waiting)
        self._waiting[id] = account
        return waiting

    def cancel(self, id: OrganisationId, request: WaitingRequest) -> None:
        """Forget a waiting request that was not decided."""
        account = self._accounts.get(id)
        if account is not None and request in account.waiting:
            account.waiting.remove(request)

    def refund(self, id: OrganisationId, now: float) -> None:
        """Take back the token of a request that did not run."""
        if id in self._quotas:
            self._account(id, now).refund(now)

    def charge(self, id: OrganisationId, now: float) -> None:
        """Take a token for another run of a request."""
        if id in self._quotas:
            self._account(id, now).charge()

    def ask(self, now: float) -> None:
        """Ask for tokens for the requests that have begun to wait.

        Calling it once for all requests that arrive together combines their
        questions in one message.
        """
        asking = [one for one in self._waiting.values() if one.must_ask]
        if not asking:
            return
        host = self._find_source()
        if host is None:
            return
        self._send_demands(
            host, RequestKind.TOKENS, asking, now, is_waited_for=True
        )

    def poll(self, now: float) -> None:
        """Send again what was not answered, and end what takes too long."""
        self._now = now
        for number, one in list(self._open.items()):
            if now - one.first_sent_at >= _OPEN_TIME:
                self._open.pop(number)
            elif one.is_waited_for and now - one.sent_at >= RESEND_TIME:
                self._send_again(number, one, now)
        self._transfers.poll(now)
        for id, account in list(self._waiting.items()):
            account.expire(now)
            if not account.waiting:
                self._waiting.pop(id)
        self.ask(now)

    def receive(self, message: Message, now: float) -> None:
        """Process a message of another daemon."""
        if now - self._active_at > _STALL_TIME:
            # The process was stopped, and the socket holds messages from that
            # time. A share whose report is that old may be elsewhere by now.
            self._stale_until = now + _STALE_TIME
        self._active_at = now
        self._now = now
        if now < self._stale_until:
            return
        if message.daemons >= self._reported_daemons:
            self._reported_daemons = message.daemons
            self._reported_at = now
        self._process(message, now)

    def tick(self, now: float) -> None:
        """Report to the pool host, and place the share of this daemon."""
        if now - self._active_at > _STALL_TIME:
            self._stale_until = now + _STALE_TIME
        self._active_at = now
        self._now = now
        if now - self._reported_at > _REPORTED_TIME:
            self._reported_daemons = 0
        self._report(now)
        self.poll(now)
        if now >= self._sweep_at:
            self._sweep(now)

    def take_occurrences(self) -> list[tuple[Occurrence, VmId | None]]:
        """Return what happened since the last call."""
        taken = self.occurrences
        self.occurrences = []
        return taken

    def _count_daemons(self) -> int:
        groups = self._groups()
        if groups is None:
            return 0
        return max(groups.daemons, self._reported_daemons, 1)

    def _own_count(self) -> int:
        groups = self._groups()
        return 0 if groups is None else groups.daemons

    def _account(self, id: OrganisationId, now: float) -> Account:
        account = self._accounts.get(id)
        if account is None:
            account = Account(id, self._quotas[id], now)
            self._accounts[id] = account
        return account

    def _find_source(self) -> VmId | None:
        """Choose which pool to ask: the host, or the own one if standalone."""
        if self._own in self.pool.delegations:
            return self._own
        return self.placement.host

    def _report(self, now: float) -> None:
        self._report_at = now + REPORT_PERIOD
        groups = self._groups()
        if groups is None:
            return
        placement = self.placement
        order = groups.own
        if self._is_leaving:
            order = [vm for vm in order if vm != self._own]
        if placement.choose_host(order, now):
            self._log_moved(placement.host)
        self._place_own_share(now)
        self._note_standing()
        self._hand_over_excess(now)
        host = placement.host
        if host is None:
            return
        kind = self._choose_kind(host, now)
        # Tokens are only returned to a pool that answers.
        is_answering = placement.standing is not Standing.STANDALONE
        accounts = list(self._accounts.values()) if is_answering else []
        number = self._send_demands(host, kind, accounts, now)
        if host != self._own:
            placement.record_report(host)
        if kind is RequestKind.DELEGATE:
            placement.record_delegation(host, number, now)
        elif host == placement.holder:
            placement.record_release(number)
        self._release_elsewhere(host, now)

    def _place_own_share(self, now: float) -> None:
        """Place the share at the own pool, or take it from there."""
        placement = self.placement
        daemons = self._count_daemons()
        is_own = placement.standing is not Standing.DELEGATING
        if is_own and daemons and not self._is_leaving:
            if placement.may_place(self._own, now):
                self.pool.delegations.put(
                    self._own, 1 / daemons, float('inf'), now
                )
                return
            self._report_at = min(self._report_at, placement.free_at)
        self.pool.revoke(self._own, now)

    def _choose_kind(self, host: VmId, now: float) -> RequestKind:
        if host == self._own:
            return RequestKind.TOKENS
        placement = self.placement
        if self._is_leaving or placement.standing is not Standing.DELEGATING:
            return RequestKind.REPORT
        if placement.may_place(host, now):
            return RequestKind.DELEGATE
        self._report_at = min(self._report_at, placement.free_at)
        return RequestKind.REPORT

    def _release_elsewhere(self, host: VmId, now: float) -> None:
        """Send bare reports to a former host and to a candidate."""
        placement = self.placement
        former = placement.holder if now < placement.free_at else None
        candidate = placement.candidate
        for vm in {former, candidate} - {None, host}:
            assert vm is not None
            number = self._send_demands(vm, RequestKind.REPORT, [], now)
            if vm == former:
                placement.record_release(number)
            if vm == candidate:
                placement.record_report(vm)

    def _hand_over_excess(self, now: float) -> None:
        """Return the tokens to the host that this pool may not hold."""
        standing = self.placement.standing
        is_searching = standing is Standing.STANDALONE
        if is_searching and now - self._answered_at < _SEARCH_TIME:
            return
        excess = self.pool.take_excess(now)
        if standing is not Standing.DELEGATING:
            return
        for id, tokens in excess.items():
            self._account(id, now).returning += tokens

    def _send_demands(
        self,
        to: VmId,
        kind: RequestKind,
        accounts: list[Account],
        now: float,
        *,
        is_waited_for: bool = False,
    ) -> int:
        self._number += 1
        number = self._number
        is_report = not is_waited_for
        demands: list[TokenDemand] = []
        for account in accounts:
            demand = account.make_demand(number, now, is_report=is_report)
            if demand is not None:
                demands.append(demand)
        request = TokenRequest(
            sender=self._own,
            incarnation=self._incarnation,
            number=number,
            kind=kind,
            daemons=self._own_count(),
            demands=demands,
        )
        self._open[number] = _OpenRequest(to, request, now, now, is_waited_for)
        self._send(to, request, now)
        return number

    def _send(self, to: VmId, message: Message, now: float) -> None:
        if to == self._own:
            self._process(message, now)
        else:
            self.outbox.append((to, message))

    def _process(self, message: Message, now: float) -> None:
        if isinstance(message, TokenRequest):
            self._receive_request(message, now)
        else:
            self._receive_grant(message, now)

    def _send_again(self, number: int, one: _OpenRequest, now: float) -> None:
        if now - one.first_sent_at >= _GIVE_UP_TIME:
            one.is_waited_for = False
            for demand in one.request.demands:
                account = self._accounts.get(demand.organisation)
                if account is not None:
                    account.abandon(number)
            return
        one.sent_at = now
        self._send(one.to, one.request, now)

    def _receive_request(self, request: TokenRequest, now: float) -> None:
        if not self._quotas:
            return
        grant = self.pool.receive(request, now)
        if grant is not None:
            self._send(request.sender, grant, now)
        self._transfers.start_if_needed(now)

    def _receive_grant(self, grant: TokenGrant, now: float) -> None:
        one = self._open.pop(grant.number, None)
        if one is None or one.to != grant.sender:
            return
        if one.request.kind is RequestKind.TRANSFER:
            self._transfers.receive(grant, now)
            return
        granted = {each.organisation: each for each in grant.granted}
        for demand in one.request.demands:
            account = self._accounts.get(demand.organisation)
            if account is None:
                continue
            given = granted.get(demand.organisation)
            tokens = 0 if given is None else decode_tokens(given.tokens)
            wait = 0 if given is None else given.wait / 1000
            account.receive(grant.number, tokens, wait, now)
        is_due = self.placement.record_answer(
            grant.sender, grant.number, accepted=grant.accepted, now=now
        )
        if is_due and now >= self._prompt_after:
            # Answers must not cause reports without end.
            self._prompt_after = now + RESEND_TIME
            self._report(now)
        self.ask(now)

    def _ask_pools(self, demands: list[TokenDemand], now: float) -> set[int]:
        """Ask a few other pools for tokens; return the request numbers."""
        numbers: set[int] = set()
        for host in self._choose_pools():
            self._number += 1
            request = TokenRequest(
                sender=self._own,
                incarnation=self._incarnation,
                number=self._number,
                kind=RequestKind.TRANSFER,
                daemons=self._own_count(),
                demands=demands,
            )
            numbers.add(self._number)
            self._open[self._number] = _OpenRequest(
                host, request, now, now, is_waited_for=False
            )
            self.outbox.append((host, request))
        return numbers

    def _choose_pools(self) -> list[VmId]:
        """Choose pool hosts of other groups at random."""
        groups = self._groups()
        if groups is None or self._standing is Standing.STANDALONE:
            return []
        hosts = [
            next(vm for vm in order if not self._is_suspect(vm))
            for order in groups.others
            if not all(map(self._is_suspect, order))
        ]
        if len(hosts) <= _ASKED_POOLS:
            return hosts
        return self._random.sample(hosts, _ASKED_POOLS)

    def _note_standing(self) -> None:
        standing = self.placement.standing
        previous = self._standing
        self._standing = standing
        if standing is not Standing.STANDALONE:
            self._answered_at = self._now
        if standing is previous:
            return
        if standing is Standing.STANDALONE:
            began = Occurrence.STANDALONE_BEGAN
            self.occurrences.append((began, self.placement.host))
        elif previous is Standing.STANDALONE:
            ended = Occurrence.STANDALONE_ENDED
            self.occurrences.append((ended, self.placement.host))

    def _log_moved(self, host: VmId | None) -> None:
        self.occurrences.append((Occurrence.POOL_MOVED, host))

    def _sweep(self, now: float) -> None:
        self._sweep_at = now + _SWEEP_PERIOD
        for id, account in list(self._accounts.items()):
            if account.is_idle(now):
                self._accounts.pop(id)
        groups = self._groups()
        if groups is not None:
            known = frozenset(chain(groups.own, *groups.others))
            self.pool.retain(known)
