"""The digest by which daemons compare what they run."""

from collections.abc import Iterator, Mapping
from hashlib import blake2b
from typing import Any

from msgspec.json import Encoder

from verbenamill_model.entries import Entry
from verbenamill_model.state import Refusal, Snapshot, State

_SIZE = 8
_encoder = Encoder(order='deterministic')


def chain_digest(before: State, after: State, entry: Entry) -> str:
    """Digest of a state from the one before and what has changed.

    A digest over all of a large state at each record took ten times as long
    as the change itself. Two daemons whose chains are equal have folded the
    same records and drawn the same conclusions from each; one that runs
    another program, or lost a record, parts from the others at once and for
    good, since every later digest follows from this one.
    """
    digest = blake2b(before.digest.encode(), digest_size=_SIZE)
    changes = (
        entry.offset,
        entry.at,
        entry.body,
        _find_new(before.refusals, after.refusals),
        after.snapshot.version,
        after.floor,
        tuple(_find_changes(before.snapshot, after.snapshot)),
    )
    digest.update(_encoder.encode(changes))
    return digest.hexdigest()


def _find_new(
    before: tuple[Refusal, ...],
    after: tuple[Refusal, ...],
) -> Refusal | None:
    return None if before is after else after[-1]


def _find_changes(before: Snapshot, after: Snapshot) -> Iterator[Any]:
    yield from _compare(before.services, after.services)
    yield from _compare(before.routes, after.routes)


def _compare(
    before: Mapping[Any, Any],
    after: Mapping[Any, Any],
) -> Iterator[Any]:
    """Resources that are new or gone; kept ones are the same objects."""
    if before is after:
        return
    for name, known in after.items():
        if before.get(name) is not known:
            yield known
    yield sorted(set(before).difference(after))
