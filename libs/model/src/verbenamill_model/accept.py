"""Acceptance of log records, as a pure function of the state and the record.

Every reader of the same prefix of the log reaches the same state and the same
answers, so the order of the log is the only coordination that is needed.
"""

from msgspec import Struct
from msgspec.structs import replace
from returns.result import Failure, Result, Success

from verbenamill_model.applying import (
    apply_ticket,
    assert_consistent,
    describe,
    end_moves,
    touched_resources,
)
from verbenamill_model.chaining import chain_digest
from verbenamill_model.checks import find_fault
from verbenamill_model.codec import decode_record, digest_ticket
from verbenamill_model.entries import Entry
from verbenamill_model.state import (
    AuditEntry,
    Move,
    Refusal,
    ServiceState,
    State,
    Verdict,
)
from verbenamill_model.tickets import (
    RECORD_VERSION,
    Record,
    Ticket,
    TicketRecord,
    VerdictRecord,
)
from verbenamill_model.typing import (
    ConfigVersion,
    TicketNumber,
    VerdictKind,
)

#: Maximum number of tickets whose digests are kept. They distinguish a
#: repeated ticket from a different one with the same number.
MAX_DIGESTS = 4096
#: Maximum number of verdicts, refusals and audit entries that the state keeps
#: for operators. Older ones can be read from the log.
MAX_HISTORY = 256


class Applied(Struct, frozen=True, kw_only=True):
    """The record was applied and created a new snapshot."""

    version: ConfigVersion


class Duplicate(Struct, frozen=True, kw_only=True):
    """The record repeats an earlier one and changed nothing."""


Answer = Applied | Duplicate | Refusal


def accept(state: State, entry: Entry) -> tuple[State, Answer]:
    """Apply one record to a state.

    :param state: state before the record; it is not modified.
    :param entry: the record at the next offset.
    :returns: the state after the record, and the result of the record.
    """
    assert entry.offset > state.offset, 'the offset of a state only increases'
    after, answer = _accept(replace(state, offset=entry.offset), entry)
    digest = chain_digest(state, after, entry)
    return replace(after, digest=digest), answer


def _accept(state: State, entry: Entry) -> tuple[State, Answer]:
    match decode_record(entry.body).bind(_check_version):
        case Success(TicketRecord() as record):
            return _accept_ticket(state, entry, record)
        case Success(VerdictRecord() as record):
            return _accept_verdict(state, entry, record)
        case Failure(reason):
            return _refuse(state, entry, reason)
    raise AssertionError('every record is a ticket or a verdict')


def _check_version(record: Record) -> Result[Record, str]:
    if record.record_version == RECORD_VERSION:
        return Success(record)
    return Failure(
        f'record version {record.record_version} is unknown, expected '
        f'{RECORD_VERSION}; publish with a matching tool',
    )


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
    digest = digest_ticket(ticket)
    if state.digests.get(ticket.number) == digest:
        # An operator whose answer was lost publishes again, and a refusal
        # would be misleading since the change is in force. A ticket with the
        # same content is considered the same change.
        return state, Duplicate()
    fault = _find_conflict(state, ticket) or find_fault(
        state.snapshot,
        ticket,
        entry.at,
    )
    if fault is not None:
        return _refuse(state, entry, fault, ticket.number)
    return _apply_ticket(state, entry, ticket, digest)


def _find_conflict(state: State, ticket: Ticket) -> str | None:
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
    for resource in touched_resources(ticket):
        current = state.numbers.get(resource)
        if current is not None and current >= ticket.number:
            return (
                f'{resource} is at ticket {current}, newer than '
                f'{ticket.number}; look at it and take a higher number'
            )
    return None


def _apply_ticket(
    state: State,
    entry: Entry,
    ticket: Ticket,
    digest: str,
) -> tuple[State, Answer]:
    ended = end_moves(state.snapshot, ticket, entry)
    snapshot = apply_ticket(state.snapshot, ticket, entry)
    numbers = dict.fromkeys(touched_resources(ticket), ticket.number)
    audit_entry = AuditEntry(
        offset=entry.offset,
        at=entry.at,
        author=ticket.author,
        ticket=ticket.number,
        text=describe(ticket),
    )
    changed = replace(
        state,
        snapshot=snapshot,
        numbers=state.numbers | numbers,
        verdicts=(*state.verdicts, *ended)[-MAX_HISTORY:],
        audit=(*state.audit, audit_entry)[-MAX_HISTORY:],
    )
    after = _remember_digest(changed, ticket.number, digest)
    return after, Applied(version=snapshot.version)


def _remember_digest(state: State, number: TicketNumber, digest: str) -> State:
    digests = state.digests | {number: digest}
    if len(digests) <= MAX_DIGESTS:
        return replace(state, digests=digests)
    # The number of digests is bounded. A number at or below the floor is
    # refused, so that a ticket without a digest is never applied again.
    lowest = min(digests)
    digests.pop(lowest)
    # A resource whose number is at or below the floor needs no entry of its
    # own, and the entries of removed resources would grow without bound.
    numbers = {
        resource: last_number
        for resource, last_number in state.numbers.items()
        if last_number > lowest
    }
    return replace(state, digests=digests, floor=lowest, numbers=numbers)


def _accept_verdict(
    state: State,
    entry: Entry,
    record: VerdictRecord,
) -> tuple[State, Answer]:
    service_state = state.snapshot.services.get(record.service)
    if (
        service_state is None
        or service_state.move is None
        or service_state.move.id != record.move
    ):
        # The verdict at the lowest offset counts. Further verdicts, written by
        # a second decider or by one that was paused, change nothing.
        return state, Duplicate()
    if record.kind not in {VerdictKind.DONE, VerdictKind.TAKEN_BACK}:
        return _refuse(
            state,
            entry,
            f'verdict {record.kind.value} is not for a decider to give',
        )
    return _apply_verdict(
        state, entry, record, service_state, service_state.move
    )


def _apply_verdict(
    state: State,
    entry: Entry,
    record: VerdictRecord,
    service_state: ServiceState,
    move: Move,
) -> tuple[State, Answer]:
    version = move.new if record.kind is VerdictKind.DONE else move.old
    settled = replace(service_state, version=version, move=None)
    snapshot = replace(
        state.snapshot,
        version=ConfigVersion(entry.offset),
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
    audit_entry = AuditEntry(
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
        audit=(*state.audit, audit_entry)[-MAX_HISTORY:],
    )
    return changed, Applied(version=snapshot.version)


def fold(state: State, entries: tuple[Entry, ...]) -> Result[State, str]:
    """Apply consecutive records; a gap in their offsets is an error."""
    for entry in entries:
        if entry.offset != state.offset + 1:
            return Failure(
                f'record {entry.offset} does not follow {state.offset}',
            )
        state, _ = accept(state, entry)
    return Success(state)
