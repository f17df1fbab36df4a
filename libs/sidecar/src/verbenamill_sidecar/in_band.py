"""What an upstream says of itself in its answers."""

from msgspec import Struct

from verbenamill_http.client import ClientResponse
from verbenamill_http.messages import get_all_headers, get_header
from verbenamill_policy.limits import read_rate
from verbenamill_sidecar.protocol import HeaderNames

_YES = b'1'
_MISDIRECTED = 421
_FIRST_FAILURE = 300
_SERVER_ERROR = 500


class InBand(Struct, frozen=True, kw_only=True):
    """What one answer says of the upstream that gave it.

    :param limit: requests a second that it takes; ``None`` if it names none.
    :param names_none: whether the answer shows that it has no limit.
    :param is_leaving: whether it ends.
    """

    limit: float | None = None
    names_none: bool = False
    is_leaving: bool = False


_NOTHING = InBand()


def read_in_band(answer: ClientResponse, names: HeaderNames) -> InBand:
    """Read an answer to a request that names the upstream it is for.

    Another upstream that has the address by now says 421. A success without
    a seal is nobody's, and a failure may come from something in between, so
    neither shows that a limit has ended.
    """
    is_sealed = get_header(answer.headers, names.seal) is not None
    is_foreign = not is_sealed and answer.status < _FIRST_FAILURE
    if is_foreign or answer.status == _MISDIRECTED:
        return _NOTHING
    told = get_all_headers(answer.headers, names.limit)
    return InBand(
        limit=read_rate(told),
        names_none=is_sealed and not told and answer.status < _SERVER_ERROR,
        is_leaving=_YES in get_all_headers(answer.headers, names.leaving),
    )
