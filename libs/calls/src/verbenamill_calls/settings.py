"""Limits and times of calls."""

from datetime import timedelta

from msgspec import Struct


class CallSettings(Struct, frozen=True, kw_only=True):
    """What an operator may tune; the defaults suit small upstreams.

    :param max_head: bytes of a request's or answer's head.
    :param max_body: bytes of a request's body; larger ones get 413.
    :param buffer: bytes of a body kept in memory, so that the call can be
        repeated; larger ones are streamed and sent once.
    :param max_connections: open connections from callers and daemons.
    :param peer_connections: open connections to each other daemon.
    :param head_timeout: for a caller to send a whole head.
    :param body_timeout: longest silence within a body.
    :param idle_timeout: for a caller's connection between two calls.
    :param connect_timeout: for a connection to a daemon or upstream.
    :param queue_wait: longest wait for a slot.
    :param queue_factor: calls that may wait for each slot.
    :param ramp: time in which a new upstream comes to all its slots.
    :param silence: time without a byte after which a connection is not
        trusted any more, and another one is used to ask.
    :param ask_timeout: how long to try to reach an owner to ask it.
    :param remember: how long an owner remembers calls that may not be
        repeated; longer than any route's timeout.
    :param max_remembered: calls remembered; further ones are refused.
    :param max_stored: bytes of the answers remembered.
    :param max_stored_answer: bytes of one answer remembered.
    :param retry_ratio: retries and hedges allowed for each call.
    :param retry_burst: retries and hedges allowed at once.
    :param max_attempts: tries of one call, the first included.
    :param min_hedge: earliest hedge of a call.
    :param linger: how long a stopping daemon still serves callers, and
        daemons that ask, after its upstream's calls have ended; longer than
        ``silence``.
    :param stop_timeout: longest wait for calls in hand when stopping.
    """

    max_head: int = 32 * 1024
    max_body: int = 64 * 1024 * 1024
    buffer: int = 64 * 1024
    max_connections: int = 2000
    peer_connections: int = 96
    head_timeout: timedelta = timedelta(seconds=10)
    body_timeout: timedelta = timedelta(seconds=10)
    idle_timeout: timedelta = timedelta(seconds=60)
    connect_timeout: timedelta = timedelta(milliseconds=500)
    queue_wait: timedelta = timedelta(milliseconds=250)
    queue_factor: int = 4
    ramp: timedelta = timedelta(seconds=5)
    silence: timedelta = timedelta(seconds=1)
    ask_timeout: timedelta = timedelta(seconds=2)
    remember: timedelta = timedelta(minutes=2)
    max_remembered: int = 50_000
    max_stored: int = 16 * 1024 * 1024
    max_stored_answer: int = 256 * 1024
    retry_ratio: float = 0.1
    retry_burst: float = 10
    max_attempts: int = 3
    min_hedge: timedelta = timedelta(milliseconds=30)
    linger: timedelta = timedelta(seconds=2)
    stop_timeout: timedelta = timedelta(seconds=30)
