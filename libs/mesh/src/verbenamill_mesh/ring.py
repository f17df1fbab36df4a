"""Positions of daemons on a hash ring, and the roles derived from them.

Each daemon computes these from its own table of members. While two tables
differ, so do the results; every use tolerates that.
"""

from collections.abc import Iterable, Sequence
from functools import lru_cache
from hashlib import blake2b

from msgspec import Struct

from verbenamill_model.typing import VmId

#: Number of positions; below 2**63 so that any codec can carry them.
RING_SIZE = 2**60


class Arc(Struct, frozen=True, array_like=True):
    """Part of the ring: ``length`` positions starting at ``start``."""

    start: int
    length: int

    def contains(self, position: int) -> bool:
        """Whether a position lies on the arc."""
        return (position - self.start) % RING_SIZE < self.length

    def without(self, position: int) -> 'tuple[Arc, ...]':
        """The arc without one position on it."""
        if not self.contains(position):
            return (self,)
        if self.length == RING_SIZE:
            # The rest stays one arc. An arc without a member known to this
            # daemon would have no delegate, and members unknown to this daemon
            # on it would not be reached.
            return (Arc((position + 1) % RING_SIZE, RING_SIZE - 1),)
        before = (position - self.start) % RING_SIZE
        after = self.length - before - 1
        parts = (
            Arc(self.start, before),
            Arc((position + 1) % RING_SIZE, after),
        )
        return tuple(part for part in parts if part.length)


#: The whole ring.
WHOLE_RING = Arc(0, RING_SIZE)


def position_of(member: VmId) -> int:
    """Position of a member on the ring."""
    return _hash_of('ring', member) % RING_SIZE


def rank(members: Iterable[VmId], purpose: str) -> list[VmId]:
    """Order members by rendezvous hash, the preferred one first.

    Daemons with the same members get the same order without an election, and
    the departure of a member does not change the order of the others.
    """
    return sorted(members, key=lambda member: _hash_of(purpose, member))


def neighbours(own: VmId, members: Iterable[VmId]) -> tuple[VmId, ...]:
    """Members at doubling distances on the ring, the nearest first.

    Their number is about log2 of the number of members, and they rarely
    change. A rumour that each daemon passes to one of them per period reaches
    all members within about as many periods.
    """
    start = position_of(own)
    others = _sort_from(start, (member for member in members if member != own))
    if not others:
        return ()
    distances = [_distance(start, other) for other in others]
    chosen: dict[VmId, None] = dict.fromkeys(others[:2])
    step = RING_SIZE // 2
    while step > distances[0]:
        for other, distance in zip(others, distances, strict=True):
            if distance >= step:
                chosen[other] = None
                break
        step //= 2
    return tuple(chosen)


class Branch(Struct, frozen=True):
    """The part of a broadcast that one child forwards.

    :param delegates: the child, then its substitutes in order.
    """

    arc: Arc
    delegates: tuple[VmId, ...]


def split(
    arc: Arc,
    members: Iterable[VmId],
    arity: int,
) -> tuple[Branch, ...]:
    """Divide an arc into at most ``arity`` branches that cover it.

    Responsibility is given by arcs and not by lists of members, so that a
    member known only to the child is still reached.
    """
    inside = _sort_from(
        arc.start,
        (member for member in members if arc.contains(position_of(member))),
    )
    size = -(-len(inside) // arity) or 1
    groups = [
        inside[first : first + size] for first in range(0, len(inside), size)
    ]
    starts = [arc.start, *(position_of(group[0]) for group in groups[1:])]
    ends = [*starts[1:], arc.start + arc.length]
    return tuple(
        Branch(
            arc=Arc(start, _length(start, end, arc)),
            delegates=tuple(group),
        )
        for start, end, group in zip(starts, ends, groups, strict=False)
    )


def _length(start: int, end: int, arc: Arc) -> int:
    if start == arc.start and end == arc.start + arc.length:
        return arc.length
    return (end - start) % RING_SIZE


def _sort_from(start: int, members: Iterable[VmId]) -> Sequence[VmId]:
    return sorted(members, key=lambda member: _distance(start, member))


def _distance(start: int, member: VmId) -> int:
    return (position_of(member) - start) % RING_SIZE


@lru_cache(maxsize=2**17)
def _hash_of(purpose: str, member: str) -> int:
    body = f'{purpose}|{member}'.encode()
    return int.from_bytes(blake2b(body, digest_size=8).digest())
