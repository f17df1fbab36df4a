"""Which route and version a call takes."""

from collections.abc import Container
from hashlib import blake2b
from random import Random

from verbenamill_model.state import Snapshot
from verbenamill_model.tickets import Route
from verbenamill_model.traffic import Shares
from verbenamill_model.typing import RouteName, VersionName

#: Methods that are idempotent by RFC 9110, 9.2.2.
IDEMPOTENT = frozenset((b'GET', b'HEAD', b'OPTIONS', b'PUT', b'DELETE'))


class RouteTable:
    """Routes of one snapshot, longest prefix first."""

    def __init__(self) -> None:
        self._routes: dict[RouteName, Route] | None = None
        self._by_length: list[tuple[bytes, Route]] = []

    def find(self, snapshot: Snapshot, target: bytes) -> Route | None:
        """Route with the longest prefix of a target's path."""
        if snapshot.routes is not self._routes:
            self._build(snapshot)
        path = target.partition(b'?')[0]
        for prefix, route in self._by_length:
            if path.startswith(prefix) and _ends_segment(path, prefix):
                assert route.service in snapshot.services
                return route
        return None

    def _build(self, snapshot: Snapshot) -> None:
        routes = [
            (route.prefix.encode(), route) for route in snapshot.routes.values()
        ]
        routes.sort(key=lambda pair: len(pair[0]), reverse=True)
        self._by_length = routes
        self._routes = snapshot.routes


def _ends_segment(path: bytes, prefix: bytes) -> bool:
    # The route `/entries` is not meant for the path `/entriesold`.
    if prefix.endswith(b'/') or len(path) == len(prefix):
        return True
    return path[len(prefix) : len(prefix) + 1] == b'/'


def is_idempotent(route: Route, method: bytes) -> bool:
    """Whether a call may be repeated."""
    if route.idempotent is not None:
        return route.idempotent
    return method in IDEMPOTENT


def pick_version(
    shares: Shares,
    available: Container[VersionName],
    random: Random,
) -> VersionName | None:
    """Pick a version by its share among those that have an upstream."""
    weights = _weights(shares, available)
    if not weights:
        return None
    if len(weights) == 1:
        return next(iter(weights))
    return random.choices(list(weights), list(weights.values()))[0]


def pick_version_by_key(
    shares: Shares,
    available: Container[VersionName],
    key: str,
) -> VersionName | None:
    """The version that every daemon picks for a key.

    While a move goes on, growing shares take keys to the new version but
    never back, as long as the versions' order stays.
    """
    weights = _weights(shares, available)
    if not weights:
        return None
    digest = blake2b(key.encode(), digest_size=8).digest()
    point = int.from_bytes(digest) / 2**64 * sum(weights.values())
    chosen = None
    for version, share in weights.items():
        chosen = version
        point -= share
        if point < 0:
            break
    return chosen


def _weights(
    shares: Shares,
    available: Container[VersionName],
) -> dict[VersionName, float]:
    return {
        version: share
        for version, share in sorted(shares.items())
        if share > 0 and version in available
    }
