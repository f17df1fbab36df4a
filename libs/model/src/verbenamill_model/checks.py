"""Checks of a ticket against the snapshot that it would change."""

from collections import Counter
from collections.abc import Callable, Iterator
from datetime import UTC, datetime, timedelta

from verbenamill_model.state import Snapshot
from verbenamill_model.tickets import Route, Service, Ticket

#: Minimum duration of a move, which has a canary stage, increasing shares and
#: a hold time.
MIN_MOVE = timedelta(seconds=5)
#: Maximum timeout of a route. Owners remember the ids of requests that must
#: not be repeated for twice as long. With a longer timeout, a delayed copy of a
#: request could arrive after that time and run again.
MAX_TIMEOUT = timedelta(minutes=1)
MAX_NAME = 100
NAME_FORMAT = f'a name of up to {MAX_NAME} letters, digits, ".", "_" and "-"'

Check = Callable[[Snapshot, Ticket, datetime], Iterator[str]]


def find_fault(
    snapshot: Snapshot,
    ticket: Ticket,
    at: datetime,
) -> str | None:
    """Find the first reason to refuse a ticket, or ``None``."""
    return next(iter(find_faults(snapshot, ticket, at)), None)


def find_faults(
    snapshot: Snapshot,
    ticket: Ticket,
    at: datetime,
) -> tuple[str, ...]:
    """Find all reasons to refuse a ticket, on which an operator can act.

    :param at: time from which the time to a deadline is measured.
    """
    checks: tuple[Check, ...] = (
        _check_format,
        _check_duplicates,
        _check_removals,
        _check_references,
        _check_moves,
    )
    return tuple(
        fault for check in checks for fault in check(snapshot, ticket, at)
    )


def find_form_faults(ticket: Ticket) -> tuple[str, ...]:
    """Find the reasons to refuse a ticket that apply to every snapshot."""
    checks = (_check_format, _check_duplicates)
    earliest = datetime.min.replace(tzinfo=UTC)
    return tuple(
        fault
        for check in checks
        for fault in check(Snapshot(), ticket, earliest)
    )


def _check_format(_: Snapshot, ticket: Ticket, at: datetime) -> Iterator[str]:
    if ticket.number < 1:
        yield f'number {ticket.number} is not positive; start at 1'
    if not ticket.author.strip():
        yield 'author is empty; say who answers for the change'
    if not any(
        (
            ticket.services,
            ticket.routes,
            ticket.remove_services,
            ticket.remove_routes,
            ticket.aborts,
        )
    ):
        yield 'ticket touches nothing; name a service or a route'
    for service in ticket.services:
        yield from _check_service(service)
    for route in ticket.routes:
        yield from _check_route(route)


def _check_service(service: Service) -> Iterator[str]:
    for text in (service.name, service.version):
        if not _is_name(text):
            yield f'service name or version {text!r} is not {NAME_FORMAT}'
    if service.deadline is not None and service.deadline.tzinfo is None:
        yield (
            f'deadline {service.deadline} of {service.name} has no offset; '
            'write e.g. 2026-12-02T08:00:00Z'
        )


def _check_route(route: Route) -> Iterator[str]:
    if not _is_name(route.name):
        yield f'route name {route.name!r} is not {NAME_FORMAT}'
    if not route.prefix.startswith('/') or not route.prefix.isprintable():
        yield f'prefix {route.prefix!r} of route {route.name} must begin with /'
    if route.timeout <= timedelta(0):
        yield f'timeout of route {route.name} must be above 0 s'
    if route.timeout > MAX_TIMEOUT:
        yield (
            f'timeout of route {route.name} is '
            f'{route.timeout.total_seconds():g} s; the longest is '
            f'{MAX_TIMEOUT.total_seconds():g} s'
        )


def _is_name(text: str) -> bool:
    return (
        0 < len(text) <= MAX_NAME
        and text.isascii()
        and text.replace('-', '').replace('.', '').replace('_', '').isalnum()
    )


def _check_duplicates(
    _: Snapshot, ticket: Ticket, at: datetime
) -> Iterator[str]:
    services = (
        *(service.name for service in ticket.services),
        *ticket.remove_services,
        *ticket.aborts,
    )
    routes = (*(route.name for route in ticket.routes), *ticket.remove_routes)
    for kind, names in (('service', services), ('route', routes)):
        for name, count in Counter(map(str, names)).items():
            if count > 1:
                yield f'{kind} {name} is touched {count} times; say it once'


def _check_removals(
    snapshot: Snapshot,
    ticket: Ticket,
    at: datetime,
) -> Iterator[str]:
    for service in (*ticket.remove_services, *ticket.aborts):
        if service not in snapshot.services:
            yield f'service {service} does not exist'
    for route in ticket.remove_routes:
        if route not in snapshot.routes:
            yield f'route {route} does not exist'
    for service in ticket.aborts:
        current = snapshot.services.get(service)
        if current is not None and current.move is None:
            yield f'service {service} has no running move to abort'


def _check_references(
    snapshot: Snapshot,
    ticket: Ticket,
    at: datetime,
) -> Iterator[str]:
    services = set(snapshot.services) - set(ticket.remove_services)
    services |= {service.name for service in ticket.services}
    routes = {
        name: route
        for name, route in snapshot.routes.items()
        if name not in ticket.remove_routes
    }
    routes |= {route.name: route for route in ticket.routes}
    for route in routes.values():
        if route.service not in services:
            yield (
                f'route {route.name} points at service {route.service}, '
                'which does not exist; add it in the same ticket or first'
            )
    prefixes = Counter(known.prefix for known in routes.values())
    for prefix, count in prefixes.items():
        if count > 1:
            yield f'prefix {prefix} has {count} routes; keep one'


def _check_moves(
    snapshot: Snapshot,
    ticket: Ticket,
    at: datetime,
) -> Iterator[str]:
    for service in ticket.services:
        current = snapshot.services.get(service.name)
        if current is None or current.version == service.version:
            continue
        earliest = at + MIN_MOVE
        if service.deadline is None:
            yield (
                f'{service.name} moves from {current.version} to '
                f'{service.version} without a deadline; give one'
            )
        elif service.deadline.tzinfo and service.deadline < earliest:
            yield (
                f'deadline {service.deadline.isoformat()} of {service.name} '
                f'cannot be met; the earliest is {earliest.isoformat()}'
            )
