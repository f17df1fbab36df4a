"""Periods and limits of the mesh; the defaults fit the two-year sizes."""

from datetime import timedelta

from msgspec import Struct


class MeshSettings(Struct, frozen=True, kw_only=True):
    """Settings that tests and benches change; operators do not set them.

    :param probe_period: between two probes of a neighbour.
    :param request_timeout: longest wait for the answer to a small request.
    :param transfer_timeout: longest wait for a checkpoint or a page of
        records.
    :param suspicion_timeout: how long a suspect may refute before it counts as
        dead.
    :param tombstone_lifetime: how long a dead member is remembered.
    :param arity: children of one daemon in the tree of a broadcast.
    :param link_idle_timeout: how long an unused link stays open.
    :param long_poll_wait: how long the log may hold a read open.
    :param second_reader_delay: how long the second reader of an availability
        zone waits for the primary's push before it pushes what it read.
    :param fetch_delay: how long a daemon waits for its zone's own reader
        before it fetches records from a peer that has more.
    :param checkpoint_interval: longest age of the newest checkpoint.
    :param gateways_interval: between two records of gateway addresses.
    :param isolation_timeout: how long a daemon without any peer waits before
        it looks up gateway addresses on the log.
    :param transfers_per_second: transfers served per second before peers are
        referred to another daemon.
    :param rumours_per_second: broadcasts per second of updates that are not
        urgent.
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
