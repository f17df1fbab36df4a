"""Counters of calls for operators."""

from msgspec import Struct


class CallStats(Struct, kw_only=True):
    """What happened to calls since the start.

    :param calls: from callers.
    :param hops: from other daemons.
    :param answered: answers of upstreams that callers got whole.
    :param broken: answers that broke off on their way to a caller.
    :param not_run: refusals of calls that did not run.
    :param unknown: calls of which it is not known whether they ran.
    :param rejected: requests at fault themselves, as bad or too long.
    :param retries: tries after the first.
    :param hedges: second tries while the first was still waited for.
    :param asked: questions to an owner after a lost connection.
    :param recovered: answers that such a question brought.
    :param in_hand: requests being served now.
    :param connections: open connections from callers and daemons.
    :param running: calls in slots of the own upstream.
    :param queued: calls that wait for one.
    :param remembered: calls known that may not be repeated.
    """

    calls: int = 0
    hops: int = 0
    answered: int = 0
    broken: int = 0
    not_run: int = 0
    unknown: int = 0
    rejected: int = 0
    retries: int = 0
    hedges: int = 0
    asked: int = 0
    recovered: int = 0
    in_hand: int = 0
    connections: int = 0
    running: int = 0
    queued: int = 0
    remembered: int = 0
