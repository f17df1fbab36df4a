"""The audit trail: who changed what, when, and by which ticket and move."""

from collections.abc import Iterator
from datetime import datetime

from msgspec import Struct

from verbenamill_cli.history import History
from verbenamill_cli.output import Report, format_table, format_time
from verbenamill_model import Move
from verbenamill_model.typing import Offset, TicketNumber
from verbenamill_runtime.streams import AuditLine

#: Sort key of entries without an offset. It is above every offset.
AFTER_ALL_OFFSETS = 1 << 63


class AuditTrailEntry(Struct, frozen=True, kw_only=True):
    """One event of the audit trail.

    :param who: author of a ticket, or the daemon that made the decision.
    :param offset: offset of the configuration record; ``None`` for a step.
    """

    at: datetime
    who: str
    text: str
    offset: Offset | None = None
    ticket: TicketNumber | None = None
    move: Offset | None = None


class AuditTrail(Struct, frozen=True, kw_only=True):
    """The entries that ``audit`` shows.

    :param since: time from which the trail is complete; ``None`` when it
        reaches back to the first record.
    """

    since: datetime | None
    entries: tuple[AuditTrailEntry, ...]


def build_audit_trail(history: History, lines: list[AuditLine]) -> AuditTrail:
    """Merge changes, refusals, verdicts and steps in chronological order."""
    moves = {move.id: move for move in list_known_moves(history)}
    entries = (
        *_list_changes(history),
        *_list_refusals(history),
        *(_convert_step(line, moves.get(line.move)) for line in lines),
    )
    return AuditTrail(
        since=_complete_since(history),
        entries=tuple(sorted(entries, key=_time_of)),
    )


def list_known_moves(history: History) -> Iterator[Move]:
    """Yield running moves, then those whose verdict is known."""
    for service in history.state.snapshot.services.values():
        if service.move is not None:
            yield service.move
    for verdict in history.verdicts():
        yield verdict.move


def _complete_since(history: History) -> datetime | None:
    if history.is_complete or not history.base.audit:
        return None
    return history.base.audit[0].at


def _list_changes(history: History) -> Iterator[AuditTrailEntry]:
    verdicts = {known.offset: known for known in history.verdicts()}
    move_offsets = {move.id for move in list_known_moves(history)}
    for line in history.audit():
        text, move = line.text, None
        verdict = verdicts.get(line.offset)
        if line.offset in move_offsets:
            move = line.offset
        elif verdict is not None:
            move = verdict.move.id
            text = f'{text}: {verdict.reason}'
        yield AuditTrailEntry(
            at=line.at,
            who=line.author,
            text=text,
            offset=line.offset,
            ticket=line.ticket,
            move=move,
        )


def _list_refusals(history: History) -> Iterator[AuditTrailEntry]:
    for refusal in history.refusals():
        yield AuditTrailEntry(
            at=refusal.at,
            who='-',
            text=f'refused: {refusal.reason}',
            offset=refusal.offset,
            ticket=refusal.ticket,
        )


def _convert_step(line: AuditLine, move: Move | None) -> AuditTrailEntry:
    return AuditTrailEntry(
        at=line.at,
        who=line.vm,
        text=f'{line.service}: {line.text}',
        ticket=None if move is None else move.ticket,
        move=line.move,
    )


def _time_of(entry: AuditTrailEntry) -> tuple[datetime, int]:
    # A step comes after the record with the same time that caused it.
    return entry.at, AFTER_ALL_OFFSETS if entry.offset is None else entry.offset


def filter_trail(
    trail: AuditTrail,
    *,
    ticket: int | None,
    text: str,
    last: int,
) -> AuditTrail:
    """Select the entries that an operator asked for.

    :param ticket: number of the ticket; ``None`` selects all tickets.
    :param text: part of the text or author of an entry.
    :param last: number of newest entries; 0 selects all.
    """
    selected = tuple(
        entry
        for entry in trail.entries
        if (ticket is None or entry.ticket == ticket)
        and (text in entry.text or text in entry.who)
    )
    return AuditTrail(
        since=trail.since,
        entries=selected[-last:] if last else selected,
    )


def format_trail(trail: AuditTrail) -> Report:
    """Format the trail as a table, newest last."""
    rows = (
        (
            format_time(entry.at),
            _or_dash(entry.offset),
            _or_dash(entry.ticket),
            _or_dash(entry.move),
            entry.who,
            entry.text,
        )
        for entry in trail.entries
    )
    notes: tuple[str, ...] = ()
    if trail.since is not None:
        notes = (
            f'older records have expired; complete since '
            f'{format_time(trail.since)}',
        )
    return Report(
        data=trail,
        lines=(
            *format_table(
                ('TIME', 'RECORD', 'TICKET', 'MOVE', 'WHO', 'WHAT'), rows
            ),
            *notes,
        ),
    )


def _or_dash(number: int | None) -> str:
    return '-' if number is None else str(number)
