"""Admits requests within the quotas of organisations.

The decisions are in :mod:`verbenamill_policy.quotas`; this module owns the
timers and sends the messages through the gossip socket.
"""

from collections.abc import Callable
from random import Random

import trio
from msgspec import Struct

from verbenamill_model.typing import VmId
from verbenamill_policy.members import MemberRecord, MemberTable
from verbenamill_policy.organisations import Organisation
from verbenamill_policy.quotas.accounts import (
    Decision,
    Verdict,
    WaitingRequest,
)
from verbenamill_policy.quotas.groups import Groups
from verbenamill_policy.quotas.limits import (
    OrganisationId,
    QuotaMargin,
    Quotas,
    collect_quotas,
    identify,
)
from verbenamill_policy.quotas.messages import TokenGrant, TokenRequest
from verbenamill_policy.quotas.participant import (
    RESEND_TIME,
    Occurrence,
    Participant,
)
from verbenamill_policy.quotas.pool import REPORT_PERIOD
from verbenamill_policy.routes import RouteTable
from verbenamill_sidecar.quotas.verdicts import VerdictCounts, VerdictLog
from verbenamill_sidecar.routing.call import Call
from verbenamill_telemetry import Event, log

#: Longest time for which a request waits for a token, in seconds, and as a
#: share of its objective.
_MAX_WAIT = 0.1
_MAX_OBJECTIVE_SHARE = 0.25
#: Daemons per second for which groups are formed again after changes. Forming
#: them takes some 2 us for each daemon.
_REGROUPED_PER_SECOND = 5000

_REASONS = {
    Verdict.OVER_QUOTA: 'the organisation has used its quota',
    Verdict.IN_DOUBT: 'it is unknown whether the quota has room',
}
_EVENTS = {
    Occurrence.POOL_MOVED: Event.QUOTA_POOL_MOVED,
    Occurrence.STANDALONE_BEGAN: Event.QUOTA_STANDALONE,
    Occurrence.STANDALONE_ENDED: Event.QUOTA_POOL_FOUND,
}


class Admission(Struct, frozen=True):
    """A request is within the quota of its organisation."""


class Refusal(Struct, frozen=True):
    """A request is refused because of the quota of its organisation.

    :param wait: time until the quota has room, in seconds; 0 if unknown.
    """

    reason: str
    wait: float


class QuotaGateContext(Struct, frozen=True, kw_only=True):
    """Dependencies of the gate.

    :param own: record of this daemon.
    :param table: returns the routes in force; ``None`` before any are known.
    :param knows_members: whether the daemons of the fleet were read.
    :param is_suspect: whether a daemon appears to be unreachable.
    :param send: sends a message to a daemon.
    """

    own: MemberRecord
    table: Callable[[], RouteTable | None]
    members: MemberTable
    knows_members: Callable[[], bool]
    is_suspect: Callable[[VmId], bool]
    send: Callable[[MemberRecord, TokenRequest | TokenGrant], None]
    margin: QuotaMargin
    random: Random


class QuotaGate:
    """Admits requests within the quotas of organisations."""

    def __init__(self, context: QuotaGateContext) -> None:
        self._context = context
        self._verdicts = VerdictLog()
        self._table: RouteTable | None = None
        self._quotas: Quotas = {}
        self._quotas_known = trio.Event()
        self._started_at = float('inf')
        self._participant: Participant | None = None
        self._nursery: trio.Nursery | None = None
        self._groups: Groups | None = None
        self._groups_version = -1
        self._grouped_at = float('-inf')
        self._is_leaving = False
        self._is_asking = False
        self._is_polling = False

    def limits(self, call: Call) -> bool:
        """Whether a quota applies to a request."""
        if not call.organisation or call.is_nested or call.route.is_public:
            return False
        self.refresh()
        return identify(call.organisation) in self._quotas

    async def admit(self, call: Call) -> Admission | Refusal:
        """Take a token for a request to which a quota applies."""
        now = trio.current_time()
        participant = self._participant
        if participant is None:
            return Refusal(_REASONS[Verdict.IN_DOUBT], 0)
        id = identify(call.organisation)
        objective = max(call.objective - call.arrived, 0)
        patience = min(_MAX_WAIT, objective * _MAX_OBJECTIVE_SHARE)
        decided = trio.Event()
        decision = participant.arrive(
            id, now, until=now + patience, notify=decided.set
        )
        if isinstance(decision, WaitingRequest):
            decision = await self._wait(participant, id, decision, decided)
        verdict = decision.verdict
        if verdict is Verdict.OVER_QUOTA and participant.is_in_doubt:
            verdict = Verdict.IN_DOUBT
        reason = _REASONS.get(verdict, '')
        self._verdicts.count(call.organisation, verdict, reason, now)
        if verdict is Verdict.ADMITTED:
            return Admission()
        return Refusal(reason, decision.wait)

    def refund(self, call: Call) -> None:
        """Return the token of an admitted request that did not run."""
        if self._participant is not None:
            now = trio.current_time()
            self._participant.refund(identify(call.organisation), now)

    def charge_rerun(self, call: Call) -> None:
        """Take a token for a second run of an admitted request."""
        if self._participant is not None:
            now = trio.current_time()
            self._participant.charge(identify(call.organisation), now)

    def handle(self, message: TokenRequest | TokenGrant) -> None:
        """Handle a message of another daemon."""
        self.refresh()
        if self._participant is not None and self._quotas:
            self._participant.receive(message, trio.current_time())
            self._flush(self._participant)

    def refresh(self) -> None:
        """Apply the quotas of the configuration in force, if they changed."""
        table = self._context.table()
        if table is self._table:
            return
        self._table = table
        organisations = () if table is None else _organisations_of(table)
        quotas = collect_quotas(organisations, self._context.margin)
        if quotas == self._quotas:
            return
        self._quotas = quotas
        if self._participant is not None:
            self._participant.set_quotas(quotas, trio.current_time())
        if quotas:
            self._quotas_known.set()

    def leave(self) -> None:
        """Give up the share and the pool, since the daemon is stopping."""
        self._is_leaving = True
        if self._participant is not None and self._quotas:
            self._participant.leave(trio.current_time())
            self._flush(self._participant)

    def count_verdicts(self) -> VerdictCounts:
        """Return the requests by organisation and verdict, for metrics."""
        table = self._table
        organisations = () if table is None else _organisations_of(table)
        return self._verdicts.summarize(list(organisations))

    async def run(self) -> None:
        """Report to the pool until cancelled, while there are quotas."""
        self._started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                if not self._quotas:
                    self._quotas_known = trio.Event()
                    await self._quotas_known.wait()
                participant = self._start_participant()
                participant.tick(trio.current_time())
                self._flush(participant)
                self._verdicts.sweep(trio.current_time())
                await trio.sleep_until(participant.next_report_at)
                self.refresh()

    def _start_participant(self) -> Participant:
        if self._participant is None:
            own = self._context.own
            self._participant = Participant(
                own.vm,
                own.incarnation,
                started_at=self._started_at,
                groups=self._find_groups,
                is_suspect=self._context.is_suspect,
                slack=self._context.margin.standalone_slack,
                random=self._context.random,
            )
            now = trio.current_time()
            self._participant.set_quotas(self._quotas, now)
            if self._is_leaving:
                self._participant.leave(now)
        return self._participant

    async def _wait(
        self,
        participant: Participant,
        id: OrganisationId,
        request: WaitingRequest,
        decided: trio.Event,
    ) -> Decision:
        """Wait until a waiting request is decided."""
        try:
            await self._ask(participant)
            while request.decision is None:
                with trio.move_on_after(RESEND_TIME):
                    await decided.wait()
                if request.decision is None:
                    participant.poll(trio.current_time())
                    self._flush(participant)
        except trio.Cancelled:
            participant.cancel(id, request)
            decision = request.decision
            if decision is not None and decision.verdict is Verdict.ADMITTED:
                participant.refund(id, trio.current_time())
            raise
        return request.decision

    async def _ask(self, participant: Participant) -> None:
        """Ask for tokens once all requests that arrived together wait."""
        if self._is_asking:
            return
        self._is_asking = True
        await trio.lowlevel.cancel_shielded_checkpoint()
        self._is_asking = False
        participant.ask(trio.current_time())
        self._flush(participant)

    def _flush(self, participant: Participant) -> None:
        """Send the messages and log the events that a decision has left."""
        messages = participant.outbox
        participant.outbox = []
        for vm, message in messages:
            record = self._context.members.get(vm)
            if record is not None:
                self._context.send(record, message)
        if participant.occurrences:
            for occurrence, host in participant.take_occurrences():
                log(_EVENTS[occurrence], host=host)
        if participant.has_open_questions and not self._is_polling:
            assert self._nursery is not None
            self._is_polling = True
            self._nursery.start_soon(self._poll, participant)

    async def _poll(self, participant: Participant) -> None:
        """End requests to other pools that are not answered in time."""
        while participant.has_open_questions:
            await trio.sleep(RESEND_TIME)
            participant.poll(trio.current_time())
            self._flush(participant)
        self._is_polling = False

    def _find_groups(self) -> Groups | None:
        """Return the groups of daemons, formed again after changes."""
        context = self._context
        if not context.knows_members():
            return None
        members = context.members
        now = trio.current_time()
        period = max(REPORT_PERIOD, len(members) / _REGROUPED_PER_SECOND)
        is_due = now - self._grouped_at >= period
        if self._groups is None or (
            is_due and members.version != self._groups_version
        ):
            self._groups = Groups(
                members, context.own.vm, context.own.availability_zone
            )
            self._groups_version = members.version
            self._grouped_at = now
        return self._groups


def _organisations_of(table: RouteTable) -> tuple[Organisation, ...]:
    return table.configuration.organisations or ()
