"""Identifies the organisation of a caller's request."""

from enum import Enum, unique

from msgspec import Struct

from verbenamill_http.messages import Header, get_all_headers
from verbenamill_model.typing import OrganisationName
from verbenamill_policy.organisations import (
    NO_KEY,
    KeyFingerprint,
    OrganisationIndex,
    compute_fingerprint,
    digest_key,
)
from verbenamill_sidecar.protocol import HeaderNames
from verbenamill_sidecar.routing.call import Call

#: Most nested calls of one request. No quota counts nested calls, so a caller
#: that knows the id of a running request can make no more than these with it.
MAX_NESTED_CALLS = 64


@unique
class KeyFault(Enum):
    """Why no organisation was found for a request.

    ``ORPHANED``: a nested call whose parent is not in flight here.
    ``EXHAUSTED``: the parent has made too many nested calls.
    """

    MISSING = 'missing'
    EMPTY = 'empty'
    REPEATED = 'repeated'
    UNKNOWN = 'unknown'
    ORPHANED = 'orphaned'
    EXHAUSTED = 'exhausted'

    @property
    def is_temporary(self) -> bool:
        """Whether the same request may be accepted later."""
        return self in {KeyFault.ORPHANED, KeyFault.EXHAUSTED}


class Identity(Struct, frozen=True, kw_only=True):
    """The organisation of a request.

    :param organisation: empty if it has none.
    :param priority: priority of its requests; ``None`` for that of the route.
    :param key: fingerprint of the key that identified it.
    :param is_nested: whether it is the organisation of the parent.
    """

    organisation: OrganisationName = OrganisationName('')
    priority: int | None = None
    key: KeyFingerprint = NO_KEY
    is_nested: bool = False


#: Reasons that callers are told.
REASONS = {
    KeyFault.MISSING: 'send the key of your organisation',
    KeyFault.EMPTY: 'the key is empty',
    KeyFault.REPEATED: 'send one key',
    KeyFault.UNKNOWN: 'the key is not known',
    KeyFault.ORPHANED: 'the request that makes this nested call has ended',
    KeyFault.EXHAUSTED: 'the request makes too many nested calls',
}

_ANONYMOUS = Identity()


def identify(
    headers: list[Header],
    name: bytes,
    organisations: OrganisationIndex,
    *,
    id: bytes,
    parent: Call | None,
    is_public: bool,
) -> Identity | KeyFault:
    """Find the organisation of a request.

    A request with a known key belongs to the organisation of that key even if
    its id is that of a nested call, so that the quota counts it.

    :param headers: all headers that the caller sent.
    :param name: name of the header with the key.
    :param id: id of the request.
    :param parent: the request in flight that makes this nested call.
    :param is_public: whether a request without a known key is accepted.
    """
    found = _identify_by_key(get_all_headers(headers, name), organisations)
    if isinstance(found, Identity):
        return found
    has_no_key = is_public or found is KeyFault.MISSING
    if parent is not None and has_no_key:
        return _identify_nested(parent, organisations)
    if is_public:
        return _ANONYMOUS
    return KeyFault.ORPHANED if has_no_key and b'.' in id else found


def _identify_by_key(
    keys: list[bytes], organisations: OrganisationIndex
) -> Identity | KeyFault:
    if not keys:
        return KeyFault.MISSING
    if len(keys) > 1:
        return KeyFault.REPEATED
    key = keys[0].strip()
    if not key:
        return KeyFault.EMPTY
    digest = digest_key(key)
    organisation = organisations.find(digest)
    if organisation is None:
        return KeyFault.UNKNOWN
    return Identity(
        organisation=organisation.name,
        priority=organisation.priority,
        key=compute_fingerprint(digest),
    )


def _identify_nested(
    parent: Call, organisations: OrganisationIndex
) -> Identity | KeyFault:
    """Find the organisation of a nested call, and count the call."""
    if parent.nested_calls >= MAX_NESTED_CALLS:
        return KeyFault.EXHAUSTED
    parent.nested_calls += 1
    organisation = organisations.get(parent.organisation)
    return Identity(
        organisation=parent.organisation,
        priority=None if organisation is None else organisation.priority,
        key=parent.key,
        is_nested=True,
    )


def remove_credentials(
    headers: list[Header], names: HeaderNames
) -> list[Header]:
    """Remove the headers with the key and with the organisation."""
    removed = (names.key, names.organisation)
    return [pair for pair in headers if pair[0] not in removed]
