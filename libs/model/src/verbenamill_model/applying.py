"""Application of an accepted ticket to a snapshot."""

from typing import TypeVar

from msgspec.structs import replace

from verbenamill_model.entries import Entry
from verbenamill_model.state import Move, ServiceState, Snapshot, Verdict
from verbenamill_model.tickets import Route, Service, Ticket
from verbenamill_model.typing import (
    ConfigVersion,
    RouteName,
    ServiceName,
    TicketNumber,
    VerdictKind,
)

_Name = TypeVar('_Name', bound=str)
_Resource = TypeVar('_Resource')


def apply_ticket(before: Snapshot, ticket: Ticket, entry: Entry) -> Snapshot:
    """Create the next snapshot.

    :param ticket: ticket that has passed all checks against ``before``.
    :param entry: the record with the ticket.
    """
    snapshot = Snapshot(
        version=ConfigVersion(entry.offset),
        services=_next_services(before, ticket, entry),
        routes=_next_routes(before, ticket),
    )
    assert_consistent(snapshot)
    return snapshot


def touched_resources(ticket: Ticket) -> tuple[str, ...]:
    """Keys of the resources whose state a ticket changes."""
    return (
        *(f'service:{service.name}' for service in ticket.services),
        *(f'service:{name}' for name in ticket.remove_services),
        *(f'service:{name}' for name in ticket.aborts),
        *(f'route:{route.name}' for route in ticket.routes),
        *(f'route:{name}' for name in ticket.remove_routes),
    )


def describe(ticket: Ticket) -> str:
    """Summarise the changes of a ticket in one line, for the audit trail."""
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
    for desired in ticket.services:
        services[desired.name] = _next_service(
            before.services.get(desired.name),
            desired,
            ticket.number,
            entry,
        )
    return _sort(services)


def _next_service(
    before: ServiceState | None,
    desired: Service,
    number: TicketNumber,
    entry: Entry,
) -> ServiceState:
    if before is None:
        return ServiceState(service=desired, version=desired.version)
    if before.version == desired.version or desired.deadline is None:
        return ServiceState(service=desired, version=before.version)
    move = Move(
        id=entry.offset,
        ticket=number,
        service=desired.name,
        old=before.version,
        new=desired.version,
        accepted_at=entry.at,
        deadline=desired.deadline,
        profile=desired.profile,
    )
    return ServiceState(service=desired, version=before.version, move=move)


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
    """Sort by name, as in a state that was restored from a checkpoint.

    The order affects the reason of a refusal and the order of verdicts. Without
    sorting, readers that started from a checkpoint would differ in these.
    """
    return dict(sorted(resources.items()))


def end_moves(
    before: Snapshot,
    ticket: Ticket,
    entry: Entry,
) -> tuple[Verdict, ...]:
    """Verdicts of the moves that a ticket ends by changing their service."""
    verdict_kinds = {
        service.name: VerdictKind.SUPERSEDED for service in ticket.services
    }
    verdict_kinds |= dict.fromkeys(
        ticket.remove_services, VerdictKind.SUPERSEDED
    )
    verdict_kinds |= dict.fromkeys(ticket.aborts, VerdictKind.ABORTED)
    return tuple(
        Verdict(
            move=known.move,
            kind=verdict_kinds[name],
            at=entry.at,
            offset=entry.offset,
            decided_by=ticket.author,
            reason=f'ticket {ticket.number}',
        )
        for name, known in before.services.items()
        if known.move is not None and name in verdict_kinds
    )


def assert_consistent(snapshot: Snapshot) -> None:
    """Stop the process if a route refers to a service that does not exist.

    Acceptance refuses such tickets. This last check keeps a proxy from serving
    callers with an inconsistent route table.
    """
    for route in snapshot.routes.values():
        assert route.service in snapshot.services, (
            f'route {route.name} points at missing service {route.service}'
        )
