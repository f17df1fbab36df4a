"""Changes that a ticket would make, one line per resource."""

from collections.abc import Iterator

import msgspec
from msgspec import Struct

from verbenamill_model import Snapshot, Ticket


def diff(snapshot: Snapshot, ticket: Ticket) -> tuple[str, ...]:
    """List the changes of a ticket to a snapshot, one line per resource."""
    return (
        *_diff_services(snapshot, ticket),
        *_diff_routes(snapshot, ticket),
        *(f'- service {name}' for name in ticket.remove_services),
        *(f'- route {name}' for name in ticket.remove_routes),
        *(f'! abort the move of service {name}' for name in ticket.aborts),
    )


def _diff_services(snapshot: Snapshot, ticket: Ticket) -> Iterator[str]:
    for service in ticket.services:
        current = snapshot.services.get(service.name)
        if current is None:
            yield f'+ service {service.name}: version {service.version}'
            continue
        changes = _diff_fields(current.service, service)
        if current.move is not None:
            changes += (f'ends move {current.move.id} as superseded',)
        if changes:
            yield f'~ service {service.name}: {"; ".join(changes)}'
        else:
            yield f'= service {service.name}'


def _diff_routes(snapshot: Snapshot, ticket: Ticket) -> Iterator[str]:
    for route in ticket.routes:
        current = snapshot.routes.get(route.name)
        if current is None:
            yield f'+ route {route.name}: {route.prefix} to {route.service}'
            continue
        changes = _diff_fields(current, route)
        if changes:
            yield f'~ route {route.name}: {"; ".join(changes)}'
        else:
            yield f'= route {route.name}'


def _diff_fields(before: Struct, after: Struct) -> tuple[str, ...]:
    old = msgspec.to_builtins(before)
    new = msgspec.to_builtins(after)
    return tuple(
        f'{name} {old[name]} -> {new[name]}'
        for name in new
        if old[name] != new[name]
    )
