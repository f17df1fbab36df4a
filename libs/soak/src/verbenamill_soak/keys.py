"""Checks that keys are known in time, and that they never reach an upstream."""

from collections import defaultdict
from collections.abc import Iterator

from verbenamill_platform_standins.upstream import Arrival
from verbenamill_soak.callers import (
    GUEST,
    GUEST_MARK,
    KEY_MARK,
    MEMBER,
    Outcome,
    RequestRecord,
)
from verbenamill_soak.cluster import GUEST_KEY_VERSIONS, Cluster
from verbenamill_soak.nodes import Node

#: Time in which a change of keys has to be in force.
KEY_LIMIT_S = 2.5
#: Time after a fault in which a VM may exceed that limit.
_SETTLING_TIME_S = 3.0
_OK = 200
_UNAUTHORIZED = 401


class KeyChecker:
    """Checks what the keys of callers lead to at daemons and upstreams."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._checked: dict[str, int] = defaultdict(int)

    def check_arrivals(self) -> Iterator[tuple[str, str]]:
        """Yield new requests whose upstream got a key or a wrong name."""
        for node in self._cluster.nodes:
            for upstream in node.upstreams:
                first = self._checked[upstream.name]
                for arrival in upstream.arrivals[first:]:
                    if not _is_expected(arrival):
                        yield (
                            arrival.id,
                            f'{arrival.id} reached {upstream.instance} with '
                            f'{arrival.organisations}',
                        )
                self._checked[upstream.name] = len(upstream.arrivals)

    def find_refused(self, record: RequestRecord, ingress: Node) -> str:
        """Describe a request with a valid key that was refused for its key."""
        if record.status != _UNAUTHORIZED:
            return ''
        version = record.guest_version
        if not version:
            return f'{record} has a key that all versions have'
        published_at = self._cluster.published[version]
        revoked_at = self._find_revocation(version)
        if record.ended_at > revoked_at or not self._is_due(
            record, ingress, published_at
        ):
            return ''
        return f'{record} has a key published at {published_at:.3f}'

    def find_accepted(self, record: RequestRecord, ingress: Node) -> str:
        """Describe a request with a revoked key that an upstream has run."""
        is_served = record.outcome is Outcome.ANSWERED and record.status == _OK
        if not is_served or not record.guest_version:
            return ''
        revoked_at = self._find_revocation(record.guest_version)
        if not self._is_due(record, ingress, revoked_at):
            return ''
        return f'{record} has a key revoked at {revoked_at:.3f}'

    def _find_revocation(self, version: int) -> float:
        """Time from which the key of a version is not published any more."""
        published = self._cluster.published
        return published.get(version + GUEST_KEY_VERSIONS, float('inf'))

    def _is_due(
        self, record: RequestRecord, ingress: Node, changed_at: float
    ) -> bool:
        """Whether a change had to be in force when a request was sent."""
        if record.sent_at <= changed_at + KEY_LIMIT_S:
            return False
        since = min(record.sent_at - _SETTLING_TIME_S, changed_at)
        return self._cluster.is_fault_free(ingress, since)


def _is_expected(arrival: Arrival) -> bool:
    """Whether a request has its organisation's name only, and no key."""
    is_guest = GUEST_MARK in arrival.id
    expected = GUEST if is_guest else MEMBER
    return arrival.organisations == [expected] and not arrival.contains(
        KEY_MARK
    )
