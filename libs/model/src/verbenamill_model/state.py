"""The state that results from a prefix of the log, and its snapshot."""

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

    :param id: offset of the ticket record that started it.
    :param accepted_at: timestamp of that record on the log.
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

    :param at: timestamp of the record that ended the move.
    :param offset: offset of that record.
    """

    move: Move
    kind: VerdictKind
    at: datetime
    offset: Offset
    decided_by: str
    reason: str = ''


class ServiceState(Struct, frozen=True, kw_only=True):
    """The state in force for one service.

    :param version: version that answers calls while no move is running.
    :param move: the running move, if any.
    """

    service: Service
    version: VersionName
    move: Move | None = None


class Snapshot(Struct, frozen=True, kw_only=True):
    """The complete configuration of a proxy; immutable and replaced as a whole.

    :param version: offset of the record that created it; -1 before the first
        one.
    """

    version: ConfigVersion = ConfigVersion(-1)
    services: dict[ServiceName, ServiceState] = {}
    routes: dict[RouteName, Route] = {}


class Refusal(Struct, frozen=True, kw_only=True):
    """Refusal of a record, with a reason on which an operator can act."""

    offset: Offset
    at: datetime
    ticket: TicketNumber | None
    reason: str


class AuditEntry(Struct, frozen=True, kw_only=True):
    """One entry of the audit trail, which is part of the state."""

    offset: Offset
    at: datetime
    author: str
    ticket: TicketNumber | None
    text: str


class State(Struct, frozen=True, kw_only=True):
    """The state of a reader of the log after the record at ``offset``.

    :param offset: offset of the last applied record; -1 before the first one.
    :param digest: digest of the previous digest and of everything that the
        record at ``offset`` changed, so that it covers the whole history.
    :param numbers: number of the last ticket of each resource, including
        removed ones, by ``service:NAME`` or ``route:NAME``.
    :param digests: digest of each ticket by its number; the lowest numbers are
        dropped first.
    :param floor: highest ticket number whose digest was dropped; tickets at or
        below it are refused.
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
