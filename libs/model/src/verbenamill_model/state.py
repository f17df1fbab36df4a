"""The state that a prefix of the log leads to, and its snapshot."""

from datetime import datetime

from msgspec import Struct

from verbenamill_model.tickets import Route, Service
from verbenamill_model.typing import (
    ConfigVersion,
    Offset,
    Profile,
    RouteName,
    ServiceName,
    TicketNumber,
    VerdictKind,
    VersionName,
)


class Move(Struct, frozen=True, kw_only=True):
    """A running move of one service between two versions.

    :param id: offset of the ticket record that began it.
    :param accepted_at: time of that record, as the log stamped it.
    """

    id: Offset
    ticket: TicketNumber
    service: ServiceName
    old: VersionName
    new: VersionName
    accepted_at: datetime
    deadline: datetime
    profile: Profile


class Verdict(Struct, frozen=True, kw_only=True):
    """Final outcome of one move.

    :param at: time of the record that settled it.
    :param offset: offset of that record.
    """

    move: Move
    kind: VerdictKind
    at: datetime
    offset: Offset
    decided_by: str
    reason: str = ''


class ServiceState(Struct, frozen=True, kw_only=True):
    """What is in force for one service.

    :param version: the version that answers when no move runs.
    :param move: the move that runs, if any.
    """

    service: Service
    version: VersionName
    move: Move | None = None


class Snapshot(Struct, frozen=True, kw_only=True):
    """Everything a proxy runs; immutable and swapped whole.

    :param version: offset of the record that made it; -1 before any.
    """

    version: ConfigVersion = ConfigVersion(-1)
    services: dict[ServiceName, ServiceState] = {}
    routes: dict[RouteName, Route] = {}


class Refusal(Struct, frozen=True, kw_only=True):
    """Why a record changed nothing, in words an operator can act on."""

    offset: Offset
    at: datetime
    ticket: TicketNumber | None
    reason: str


class AuditEntry(Struct, frozen=True, kw_only=True):
    """One line of the audit trail that the configuration itself keeps."""

    offset: Offset
    at: datetime
    author: str
    ticket: TicketNumber | None
    text: str


class State(Struct, frozen=True, kw_only=True):
    """What a reader keeps of the log up to ``offset``.

    :param offset: last record folded in; -1 before any.
    :param digest: of the digest before and of all that the record at
        ``offset`` changed, so it stands for the whole history.
    :param numbers: ticket number in force on each resource, also on
        removed ones, keyed ``service:NAME`` or ``route:NAME``.
    :param digests: digest of each ticket seen, by number; the lowest are
        forgotten first.
    :param floor: numbers at or below it whose digest was forgotten.
    """

    offset: Offset = Offset(-1)
    digest: str = ''
    snapshot: Snapshot = Snapshot()
    numbers: dict[str, TicketNumber] = {}
    digests: dict[TicketNumber, str] = {}
    floor: TicketNumber = TicketNumber(0)
    verdicts: tuple[Verdict, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    audit: tuple[AuditEntry, ...] = ()
