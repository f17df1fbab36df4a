"""Limit, leave and pace that an upstream announces in its responses."""

import re

from msgspec import Struct

from verbenamill_http.client import ClientResponse
from verbenamill_http.messages import Header, get_all_headers, get_header
from verbenamill_policy.limits import read_rate
from verbenamill_sidecar.protocol import HeaderNames

_YES = b'1'
_MISDIRECTED = 421
_FIRST_NON_SUCCESS = 300
_SERVER_ERROR = 500
#: Running, waiting, slots and the figure of the pace, separated by commas,
#: semicolons, slashes or white space. Further figures are ignored.
_PACED_LOAD = re.compile(
    rb'\s*(?:[0-9.]+[\s,;/]+){3}([0-9]{1,9}(?:\.[0-9]{1,9})?)(?:[\s,;/].*)?'
)


class UpstreamSignals(Struct, frozen=True, kw_only=True):
    """What one response says of the upstream that sent it.

    :param limit: accepted requests per second; ``None`` if it names no limit.
    :param shows_no_limit: whether the response shows that there is no limit.
    :param is_leaving: whether the upstream is about to end.
    :param pace: how long requests take at this moment, where 100 is the usual
        time; ``None`` if it does not say.
    """

    limit: float | None = None
    shows_no_limit: bool = False
    is_leaving: bool = False
    pace: float | None = None


_NOTHING = UpstreamSignals()


def read_signals(answer: ClientResponse, names: HeaderNames) -> UpstreamSignals:
    """Read the signals in a response to a request for a given upstream.

    If another upstream has taken over the address, it responds with 421. A
    success without a seal does not come from an upstream, and a failure may
    come from an intermediary, so neither shows that a limit has ended.
    """
    is_sealed = get_header(answer.headers, names.seal) is not None
    is_foreign = not is_sealed and answer.status < _FIRST_NON_SUCCESS
    if is_foreign or answer.status == _MISDIRECTED:
        return _NOTHING
    rate_headers = get_all_headers(answer.headers, names.limit)
    return UpstreamSignals(
        limit=read_rate(rate_headers),
        shows_no_limit=is_sealed
        and not rate_headers
        and answer.status < _SERVER_ERROR,
        is_leaving=_YES in get_all_headers(answer.headers, names.leaving),
        pace=read_pace(answer.headers, names),
    )


def read_pace(headers: list[Header], names: HeaderNames) -> float | None:
    """Read the figure of the pace; ``None`` if it is absent or malformed."""
    load = get_header(headers, names.load)
    match = load and _PACED_LOAD.fullmatch(load)
    return float(match.group(1)) if match else None
