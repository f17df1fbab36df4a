"""Tickets that operators publish, and the records of the log."""

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
    """Complete desired state of one service.

    :param name: unique name of the service.
    :param version: upstream version that should answer its calls.
    :param deadline: time at which the version must have all traffic; required
        if the version differs from the one in force.
    :param profile: how the move is decided if the evidence about the version is
        inconclusive at the deadline.
    """

    name: ServiceName
    version: VersionName
    deadline: datetime | None = None
    profile: Profile = Profile.ON_TIME


class Route(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Complete desired state of one route.

    :param name: unique name of the route.
    :param prefix: path prefix of its calls; the longest matching one is used.
    :param service: service that answers the calls.
    :param priority: priority in the queue of an owner without a free slot.
    :param idempotent: whether a call may be repeated; ``None`` decides by the
        method (GET, HEAD, OPTIONS, PUT, DELETE are idempotent).
    :param timeout: maximum duration of a call.
    """

    name: RouteName
    prefix: str
    service: ServiceName
    priority: Priority = Priority.NORMAL
    idempotent: bool | None = None
    timeout: timedelta = timedelta(seconds=10)


class Ticket(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One numbered change, with the complete new state of its resources.

    :param number: chosen by the operator; increases with each change of a
        resource.
    :param author: person responsible for the change, for the audit trail.
    :param aborts: services whose running move should be taken back.
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
    """A ticket as a record of the log."""

    ticket: Ticket
    record_version: int = RECORD_VERSION


class VerdictRecord(Struct, frozen=True, kw_only=True, tag='verdict'):
    """The outcome of one move as a record of the log.

    Only the verdict of a move at the lowest offset counts.

    :param move: offset of the ticket record that started the move.
    :param reason: the evidence in one sentence, for the audit trail.
    """

    move: Offset
    service: ServiceName
    kind: VerdictKind
    decided_by: str
    reason: str = ''
    record_version: int = RECORD_VERSION


Record = TicketRecord | VerdictRecord
