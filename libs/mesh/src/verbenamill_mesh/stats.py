"""Counters of the mesh, for operators and for the bench."""

from msgspec import Struct


class MeshStats(Struct, kw_only=True):
    """Counters of the mesh since the daemon started.

    :param sent: requests and answers sent, by kind.
    :param sent_bytes: their bytes, without those of pynng and TCP.
    :param received: requests and answers received, by kind.
    :param received_bytes: their bytes.
    :param log_requests: reads and appends at the log, by stream.
    :param entries_first_from: records applied, by the source that delivered
        each first: ``log``, ``push`` or ``pull``.
    :param links: open links to other daemons.
    :param links_replaced: links closed because no answer came.
    :param requests_dropped: requests dropped because a peer's queue was full.
    :param transfers: checkpoints, record pages and values served.
    :param transfers_refused: transfers refused with the address of another
        peer.
    :param gaps: pushes and pages with a missing record.
    :param digest_clashes: peers with a different state at the same offset.
    :param members: members alive, own included.
    :param tombstones: dead members remembered.
    :param store_bytes: bytes of members and topics.
    :param ready: whether the configuration is known to be caught up.
    """

    sent: dict[str, int] = {}
    sent_bytes: dict[str, int] = {}
    received: dict[str, int] = {}
    received_bytes: dict[str, int] = {}
    log_requests: dict[str, int] = {}
    entries_first_from: dict[str, int] = {}
    links: int = 0
    links_replaced: int = 0
    requests_dropped: int = 0
    transfers: int = 0
    transfers_refused: int = 0
    gaps: int = 0
    digest_clashes: int = 0
    members: int = 0
    tombstones: int = 0
    store_bytes: int = 0
    ready: bool = False

    def count_sent(self, kind: str, size: int) -> None:
        """Count a sent message."""
        _add(self.sent, kind, 1)
        _add(self.sent_bytes, kind, size)

    def count_received(self, kind: str, size: int) -> None:
        """Count a received message."""
        _add(self.received, kind, 1)
        _add(self.received_bytes, kind, size)

    def count_log_request(self, stream: str) -> None:
        """Count a request to the log."""
        _add(self.log_requests, stream, 1)

    def count_records(self, origin: str, count: int) -> None:
        """Count records by the source that delivered them first."""
        _add(self.entries_first_from, origin, count)


def _add(table: dict[str, int], key: str, count: int) -> None:
    table[key] = table.get(key, 0) + count
