"""Periods and bounds of the mesh; the defaults fit the two-year sizes."""

from datetime import timedelta

from msgspec import Struct


class MeshSettings(Struct, frozen=True, kw_only=True):
    """What tests and benches alter; operators leave it alone.

    :param probe_period: between two probes of a neighbour.
    :param request_timeout: longest wait for the answer to a small request.
    :param transfer_timeout: longest wait for a snapshot or a page of it.
    :param suspicion: how long a suspect may refute before it counts as dead.
    :param tombstone_life: how long a dead member is remembered.
    :param arity: children of one daemon in the tree of a broadcast.
    :param idle_link: an unused link is closed after this long.
    :param long_poll: how long the log may hold a read open.
    :param second_delay: head start of the tree before the second reader of
        an availability zone pushes what it read.
    :param offer_delay: head start of the own log before a daemon fetches
        what another one told it about.
    :param checkpoint_interval: longest age of the newest checkpoint.
    :param gateways_interval: between two records of gateway addresses.
    :param lonely_after: without any peer for this long, a daemon looks up
        gateway addresses on the log.
    :param transfers_per_second: snapshots and pages served before peers are
        sent elsewhere.
    :param rumours_per_second: broadcasts of news that is not urgent.
    """

    probe_period: timedelta = timedelta(seconds=1)
    request_timeout: timedelta = timedelta(milliseconds=500)
    transfer_timeout: timedelta = timedelta(seconds=5)
    suspicion_timeout: timedelta = timedelta(seconds=4)
    tombstone_lifetime: timedelta = timedelta(minutes=10)
    arity: int = 4
    link_idle_timeout: timedelta = timedelta(seconds=60)
    long_poll_wait: timedelta = timedelta(seconds=5)
    second_reader_delay: timedelta = timedelta(milliseconds=250)
    fetch_delay: timedelta = timedelta(milliseconds=150)
    checkpoint_interval: timedelta = timedelta(minutes=1)
    gateways_interval: timedelta = timedelta(seconds=30)
    isolation_timeout: timedelta = timedelta(seconds=3)
    transfers_per_second: float = 20
    rumours_per_second: float = 5
