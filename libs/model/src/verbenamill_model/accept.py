"""Acceptance: a pure function of the state and the record at an offset.

Every reader of the same prefix of the log reaches the same state and the
same answers, so the log's order is the only agreement that is needed.
"""

from collections.abc import Callable
from datetime import datetime
from typing import TypeVar

from msgspec import Struct
from msgspec.structs import replace
from returns.result import Failure, Result, Success

from verbenamill_model.checks import find_fault
from verbenamill_model.codec import decode_record, digest_ticket
from verbenamill_model.state import (
    AuditEntry,
    Move,
    Refusal,
    ServiceState,
    Snapshot,
    State,
    Verdict,
)
from verbenamill_model.tickets import (
    RECORD_VERSION,
    Route,
    Service,
    Ticket,
    TicketRecord,
    VerdictRecord,
)
from verbenamill_model.typing import (
    ConfigVersion,
    Offset,
    RouteName,
    ServiceName,
    TicketNumber,
    VerdictKind,
)

#: Tickets whose digests are kept to tell a repeat from a clash.
MAX_DIGESTS = 4096
#: Outcomes kept in the state for operators; older ones are on the log.
MAX_HISTORY = 256


class Entry(Struct, frozen=True, kw_only=True):
    """One record of the log with its place and the log's own time stamp."""

    offset: Offset
    at: datetime
    body: bytes


class Changed(Struct, frozen=True, kw_only=True):
    """The record took effect and made a new snapshot."""

    version: ConfigVersion


class Repeated(Struct, frozen=True, kw_only=True):
    """The record says what an earlier one said; nothing changed."""


Answer = Changed | Repeated | Refusal

_Name = TypeVar('_Name', bound=str)
_Resource = TypeVar('_Resource')


def accept(state: State, entry: Entry) -> tuple[State, Answer]:
    """Fold one record into a state.

    :param state: the state before; it is not altered.
    :param entry: the record at the next offset.
    :returns: the state after, and what became of the record.
    """
    assert entry.offset > state.offset, 'a state never goes back'
    moved_on = replace(state, offset=entry.offset)
    match decode_record(entry.body):
        case Success(TicketRecord() as record):
            return _accept_ticket(moved_on, entry, record)
        case Success(VerdictRecord() as record):
            return _accept_verdict(moved_on, entry, record)
        case Failure(reason):
            return _refuse(moved_on, entry, reason)
    raise AssertionError('every record is a ticket or a verdict')


def _refuse(
    state: State,
    entry: Entry,
    reason: str,
    ticket: TicketNumber | None = None,
) -> tuple[State, Answer]:
    refusal = Refusal(
        offset=entry.offset,
        at=entry.at,
        ticket=ticket,
        reason=reason,
    )
    kept = (*state.refusals, refusal)[-MAX_HISTORY:]
    return replace(state, refusals=kept), refusal


def _accept_ticket(
    state: State,
    entry: Entry,
    record: TicketRecord,
) -> tuple[State, Answer]:
    ticket = record.ticket
    if record.record_version != RECORD_VERSION:
        return _refuse(
            state,
            entry,
            f'record version {record.record_version} is unknown, expected '
            f'{RECORD_VERSION}; publish with a matching tool',
            ticket.number,
        )
    digest = digest_ticket(ticket)
    if state.digests.get(ticket.number) == digest:
        # A lost answer makes an operator publish again: the symptom would
        # be a change refused that is in force. Same content is enough to
        # know it for the same change.
        return state, Repeated()
    fault = _find_clash(state, ticket) or find_fault(
        state.snapshot,
        ticket,
        entry.at,
    )
    if fault is not None:
        return _refuse(state, entry, fault, ticket.number)
    return _apply_ticket(state, entry, ticket, digest)


def _find_clash(state: State, ticket: Ticket) -> str | None:
    if ticket.number in state.digests:
        return (
            f'number {ticket.number} was published with other content; '
            'take a new number'
        )
    if ticket.number <= state.floor:
        return (
            f'number {ticket.number} is below {state.floor}, the oldest '
            'remembered; take a higher number'
        )
    for resource in touched(ticket):
        in_force = state.numbers.get(resource)
        if in_force is not None and in_force >= ticket.number:
            return (
                f'{resource} is at ticket {in_force}, newer than '
                f'{ticket.number}; look at it and take a higher number'
            )
    return None


def touched(ticket: Ticket) -> tuple[str, ...]:
    """Keys of the resources that a ticket gives a new state."""
    return (
        *(f'service:{service.name}' for service in ticket.services),
        *(f'service:{name}' for name in ticket.remove_services),
        *(f'service:{name}' for name in ticket.aborts),
        *(f'route:{route.name}' for route in ticket.routes),
        *(f'route:{name}' for name in ticket.remove_routes),
    )


def _apply_ticket(
    state: State,
    entry: Entry,
    ticket: Ticket,
    digest: str,
) -> tuple[State, Answer]:
    ended = _end_moves(state.snapshot, ticket, entry)
    version = ConfigVersion(entry.offset)
    snapshot = Snapshot(
        version=version,
        services=_next_services(state.snapshot, ticket, entry),
        routes=_next_routes(state.snapshot, ticket),
    )
    assert_consistent(snapshot)
    numbers = dict.fromkeys(touched(ticket), ticket.number)
    line = AuditEntry(
        offset=entry.offset,
        at=entry.at,
        author=ticket.author,
        ticket=ticket.number,
        text=_describe(ticket),
    )
    changed = replace(
        state,
        snapshot=snapshot,
        numbers=state.numbers | numbers,
        verdicts=(*state.verdicts, *ended)[-MAX_HISTORY:],
        audit=(*state.audit, line)[-MAX_HISTORY:],
    )
    return _remember(changed, ticket.number, digest), Changed(version=version)


def _remember(state: State, number: TicketNumber, digest: str) -> State:
    digests = state.digests | {number: digest}
    if len(digests) <= MAX_DIGESTS:
        return replace(state, digests=digests)
    # Memory has to be bounded; a number at or below the floor is refused,
    # so a forgotten ticket can never be applied a second time.
    lowest = min(digests)
    digests.pop(lowest)
    return replace(state, digests=digests, floor=lowest)


def _describe(ticket: Ticket) -> str:
    services = ', '.join(
        f'service {service.name} at {service.version}'
        for service in ticket.services
    )
    routes = ', '.join(f'route {route.name}' for route in ticket.routes)
    removed = ', '.join((*ticket.remove_services, *ticket.remove_routes))
    aborted = ', '.join(ticket.aborts)
    parts = (
        ticket.note,
        services,
        routes,
        removed and f'removes {removed}',
        aborted and f'aborts {aborted}',
    )
    return '; '.join(part for part in parts if part)


def _next_services(
    before: Snapshot,
    ticket: Ticket,
    entry: Entry,
) -> dict[ServiceName, ServiceState]:
    services = {
        name: known
        for name, known in before.services.items()
        if name not in ticket.remove_services
    }
    for name in ticket.aborts:
        services[name] = replace(services[name], move=None)
    for wanted in ticket.services:
        services[wanted.name] = _next_service(
            before.services.get(wanted.name),
            wanted,
            ticket.number,
            entry,
        )
    return _sort(services)


def _next_service(
    before: ServiceState | None,
    wanted: Service,
    number: TicketNumber,
    entry: Entry,
) -> ServiceState:
    if before is None:
        return ServiceState(service=wanted, version=wanted.version)
    if before.version == wanted.version or wanted.deadline is None:
        return ServiceState(service=wanted, version=before.version)
    move = Move(
        id=entry.offset,
        ticket=number,
        service=wanted.name,
        old=before.version,
        new=wanted.version,
        accepted_at=entry.at,
        deadline=wanted.deadline,
        profile=wanted.profile,
    )
    return ServiceState(service=wanted, version=before.version, move=move)


def _next_routes(
    before: Snapshot,
    ticket: Ticket,
) -> dict[RouteName, Route]:
    kept = {
        name: route
        for name, route in before.routes.items()
        if name not in ticket.remove_routes
    }
    return _sort(kept | {route.name: route for route in ticket.routes})


def _sort(resources: dict[_Name, _Resource]) -> dict[_Name, _Resource]:
    """Order by name, as a state that was read from a checkpoint is.

    The order shows in the reason of a refusal and in the order of verdicts;
    readers that started differently would part in these.
    """
    return dict(sorted(resources.items()))


def _end_moves(
    before: Snapshot,
    ticket: Ticket,
    entry: Entry,
) -> tuple[Verdict, ...]:
    """Verdicts of the moves that a ticket ends by touching their service."""
    endings = {
        service.name: VerdictKind.SUPERSEDED for service in ticket.services
    }
    endings |= dict.fromkeys(ticket.remove_services, VerdictKind.SUPERSEDED)
    endings |= dict.fromkeys(ticket.aborts, VerdictKind.ABORTED)
    return tuple(
        Verdict(
            move=known.move,
            kind=endings[name],
            at=entry.at,
            offset=entry.offset,
            decided_by=ticket.author,
            reason=f'ticket {ticket.number}',
        )
        for name, known in before.services.items()
        if known.move is not None and name in endings
    )


def _accept_verdict(
    state: State,
    entry: Entry,
    record: VerdictRecord,
) -> tuple[State, Answer]:
    known = state.snapshot.services.get(record.service)
    if known is None or known.move is None or known.move.id != record.move:
        # The verdict at the lowest offset has counted already. Two deciders,
        # or one that woke from a pause, write more; they change nothing.
        return state, Repeated()
    if record.kind not in {VerdictKind.DONE, VerdictKind.TAKEN_BACK}:
        return _refuse(
            state,
            entry,
            f'verdict {record.kind.value} is not for a decider to give',
        )
    return _apply_verdict(state, entry, record, known, known.move)


def _apply_verdict(
    state: State,
    entry: Entry,
    record: VerdictRecord,
    known: ServiceState,
    move: Move,
) -> tuple[State, Answer]:
    version = ConfigVersion(entry.offset)
    running = move.new if record.kind is VerdictKind.DONE else move.old
    settled = replace(known, version=running, move=None)
    snapshot = replace(
        state.snapshot,
        version=version,
        services=state.snapshot.services | {record.service: settled},
    )
    assert_consistent(snapshot)
    verdict = Verdict(
        move=move,
        kind=record.kind,
        at=entry.at,
        offset=entry.offset,
        decided_by=record.decided_by,
        reason=record.reason,
    )
    line = AuditEntry(
        offset=entry.offset,
        at=entry.at,
        author=record.decided_by,
        ticket=move.ticket,
        text=f'{record.service} to {move.new}: {record.kind.value}',
    )
    changed = replace(
        state,
        snapshot=snapshot,
        verdicts=(*state.verdicts, verdict)[-MAX_HISTORY:],
        audit=(*state.audit, line)[-MAX_HISTORY:],
    )
    return changed, Changed(version=version)


def assert_consistent(snapshot: Snapshot) -> None:
    """Stop the process when a route points at a service that is missing.

    Acceptance refuses such tickets; this is the last guard before a proxy
    would answer callers from a broken table.
    """
    for route in snapshot.routes.values():
        assert route.service in snapshot.services, (
            f'route {route.name} points at missing service {route.service}'
        )


#: What a caller of :func:`fold` is told of each record.
Listener = Callable[[Entry, Answer], None]


def fold(state: State, entries: tuple[Entry, ...]) -> Result[State, str]:
    """Fold consecutive records; a gap in their offsets is refused."""
    for entry in entries:
        if entry.offset != state.offset + 1:
            return Failure(
                f'record {entry.offset} does not follow {state.offset}',
            )
        state, _ = accept(state, entry)
    return Success(state)
