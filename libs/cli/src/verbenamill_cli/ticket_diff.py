"""What a ticket would change, a line a resource."""

from collections.abc import Iterator

import msgspec
from msgspec import Struct

from verbenamill_model import Snapshot, Ticket


def diff(snapshot: Snapshot, ticket: Ticket) -> tuple[str, ...]:
    """What a ticket would change in a snapshot, a line a resource."""
    return (
        *_diff_services(snapshot, ticket),
        *_diff_routes(snapshot, ticket),
        *(f'- service {name}' for name in ticket.remove_services),
        *(f'- route {name}' for name in ticket.remove_routes),
        *(f'! abort the move of service {name}' for name in ticket.aborts),
    )


def _diff_services(snapshot: Snapshot, ticket: Ticket) -> Iterator[str]:
    for wanted in ticket.services:
        known = snapshot.services.get(wanted.name)
        if known is None:
            yield f'+ service {wanted.name}: version {wanted.version}'
            continue
        changes = _diff_fields(known.service, wanted)
        if known.move is not None:
            changes += (f'ends move {known.move.id} as superseded',)
        if changes:
            yield f'~ service {wanted.name}: {"; ".join(changes)}'
        else:
            yield f'= service {wanted.name}'


def _diff_routes(snapshot: Snapshot, ticket: Ticket) -> Iterator[str]:
    for wanted in ticket.routes:
        known = snapshot.routes.get(wanted.name)
        if known is None:
            yield f'+ route {wanted.name}: {wanted.prefix} to {wanted.service}'
            continue
        changes = _diff_fields(known, wanted)
        if changes:
            yield f'~ route {wanted.name}: {"; ".join(changes)}'
        else:
            yield f'= route {wanted.name}'


def _diff_fields(before: Struct, after: Struct) -> tuple[str, ...]:
    old = msgspec.to_builtins(before)
    new = msgspec.to_builtins(after)
    return tuple(
        f'{name} {old[name]} -> {new[name]}'
        for name in new
        if old[name] != new[name]
    )
