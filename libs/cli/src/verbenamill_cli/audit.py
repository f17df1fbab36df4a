"""The audit trail: who changed what, when, by which ticket and move."""

from collections.abc import Iterator
from datetime import datetime

from msgspec import Struct

from verbenamill_cli.history import History
from verbenamill_cli.output import Report, show_time, table
from verbenamill_model import Move
from verbenamill_model.typing import Offset, TicketNumber
from verbenamill_runtime.streams import AuditLine


#: Above every offset, for entries that have none.
MAX_OFFSET = 1 << 63


class TrailEntry(Struct, frozen=True, kw_only=True):
    """One thing that happened.

    :param who: author of a ticket, or the daemon that decided.
    :param offset: record of the configuration, ``None`` for a step.
    """

    at: datetime
    who: str
    text: str
    offset: Offset | None = None
    ticket: TicketNumber | None = None
    move: Offset | None = None


class Trail(Struct, frozen=True, kw_only=True):
    """What ``audit`` answers.

    :param since: time from which nothing is missing; ``None`` when it
        reaches back to the first record.
    """

    since: datetime | None
    entries: tuple[TrailEntry, ...]


def build_trail(history: History, lines: list[AuditLine]) -> Trail:
    """Join changes, refusals, verdicts and steps in the order of time."""
    moves = {move.id: move for move in known_moves(history)}
    entries = (
        *_changes(history),
        *_refusals(history),
        *(_step(line, moves.get(line.move)) for line in lines),
    )
    return Trail(
        since=_complete_since(history),
        entries=tuple(sorted(entries, key=_time_of)),
    )


def known_moves(history: History) -> Iterator[Move]:
    """Running moves, and those whose verdict is known."""
    for known in history.state.snapshot.services.values():
        if known.move is not None:
            yield known.move
    for verdict in history.verdicts():
        yield verdict.move


def _complete_since(history: History) -> datetime | None:
    if history.is_whole or not history.base.audit:
        return None
    return history.base.audit[0].at


def _changes(history: History) -> Iterator[TrailEntry]:
    endings = {verdict.offset: verdict for verdict in history.verdicts()}
    begun = {move.id for move in known_moves(history)}
    for line in history.audit():
        text, move = line.text, None
        ending = endings.get(line.offset)
        if line.offset in begun:
            move = line.offset
        elif ending is not None:
            move = ending.move.id
            text = f'{text}: {ending.reason}'
        yield TrailEntry(
            at=line.at,
            who=line.author,
            text=text,
            offset=line.offset,
            ticket=line.ticket,
            move=move,
        )


def _refusals(history: History) -> Iterator[TrailEntry]:
    for refusal in history.refusals():
        yield TrailEntry(
            at=refusal.at,
            who='-',
            text=f'refused: {refusal.reason}',
            offset=refusal.offset,
            ticket=refusal.ticket,
        )


def _step(line: AuditLine, move: Move | None) -> TrailEntry:
    return TrailEntry(
        at=line.at,
        who=line.vm,
        text=f'{line.service}: {line.text}',
        ticket=None if move is None else move.ticket,
        move=line.move,
    )


def _time_of(entry: TrailEntry) -> tuple[datetime, int]:
    # A step follows the record of the same moment that made it possible.
    return entry.at, MAX_OFFSET if entry.offset is None else entry.offset


def select(
    trail: Trail,
    *,
    ticket: int | None,
    text: str,
    last: int,
) -> Trail:
    """Entries that an operator asked for.

    :param last: the newest so many; 0 for all.
    """
    wanted = tuple(
        entry
        for entry in trail.entries
        if (ticket is None or entry.ticket == ticket)
        and (text in entry.text or text in entry.who)
    )
    return Trail(since=trail.since, entries=wanted[-last:] if last else wanted)


def report_trail(trail: Trail) -> Report:
    """Show the trail, newest last."""
    rows = (
        (
            show_time(entry.at),
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
            f'{show_time(trail.since)}',
        )
    return Report(
        data=trail,
        lines=(
            *table(('TIME', 'RECORD', 'TICKET', 'MOVE', 'WHO', 'WHAT'), rows),
            *notes,
        ),
    )


def _or_dash(number: int | None) -> str:
    return '-' if number is None else str(number)
