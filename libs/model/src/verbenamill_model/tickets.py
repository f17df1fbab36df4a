"""Tickets: what an operator publishes, and the records of the log."""

from datetime import datetime, timedelta

from msgspec import Struct

from verbenamill_model.typing import (
    Offset,
    Priority,
    Profile,
    RouteName,
    ServiceName,
    TicketNumber,
    VerdictKind,
    VersionName,
)

RECORD_VERSION = 1


class Service(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Whole wanted state of one service.

    :param name: unique name of the service.
    :param version: upstream version that is to answer its calls.
    :param deadline: when the version must have all traffic; required when
        the version differs from the one in force.
    :param profile: how doubt at the deadline is resolved.
    """

    name: ServiceName
    version: VersionName
    deadline: datetime | None = None
    profile: Profile = Profile.ON_TIME


class Route(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Whole wanted state of one route.

    :param name: unique name of the route.
    :param prefix: path prefix that selects it; the longest match wins.
    :param service: the service that answers.
    :param priority: order at an owner whose slots are taken.
    :param idempotent: whether a call may be repeated; ``None`` decides by
        method (GET, HEAD, OPTIONS, PUT, DELETE are idempotent).
    :param timeout: longest a call may take.
    """

    name: RouteName
    prefix: str
    service: ServiceName
    priority: Priority = Priority.NORMAL
    idempotent: bool | None = None
    timeout: timedelta = timedelta(seconds=10)


class Ticket(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One numbered change: the whole new state of what it touches.

    :param number: chosen by the operator; grows with each change of a
        resource.
    :param author: who answers for the change, for the audit trail.
    :param aborts: services whose running move is to be taken back.
    """

    number: TicketNumber
    author: str
    note: str = ''
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    remove_services: tuple[ServiceName, ...] = ()
    remove_routes: tuple[RouteName, ...] = ()
    aborts: tuple[ServiceName, ...] = ()


class TicketRecord(Struct, frozen=True, kw_only=True, tag='ticket'):
    """A ticket as it stands on the log."""

    ticket: Ticket
    record_version: int = RECORD_VERSION


class VerdictRecord(Struct, frozen=True, kw_only=True, tag='verdict'):
    """The outcome of one move as it stands on the log.

    The first verdict of a move, at the lowest offset, counts.

    :param move: offset of the ticket record that began the move.
    :param reason: evidence in a sentence, for the audit trail.
    """

    move: Offset
    service: ServiceName
    kind: VerdictKind
    decided_by: str
    reason: str = ''
    record_version: int = RECORD_VERSION


Record = TicketRecord | VerdictRecord
