"""Organisations that callers belong to, and the keys that identify them."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NewType

from msgspec import Struct

from verbenamill_model.typing import OrganisationName

#: Digest of a key. Keys themselves are neither kept nor sent, so that they
#: appear in no log, error or snapshot.
KeyDigest = NewType('KeyDigest', bytes)

#: First 64 bits of the digest of a key; 0 if no key was sent.
KeyFingerprint = NewType('KeyFingerprint', int)
NO_KEY = KeyFingerprint(0)

_DIGEST_BYTES = 16
_FINGERPRINT_BYTES = 8


def digest_key(key: bytes) -> KeyDigest:
    """Compute the digest of a key."""
    return KeyDigest(blake2b(key, digest_size=_DIGEST_BYTES).digest())


def compute_fingerprint(key: KeyDigest) -> KeyFingerprint:
    """Compute the part of a digest that daemons send with each request."""
    return KeyFingerprint(int.from_bytes(key[:_FINGERPRINT_BYTES], 'big'))


class Quota(Struct, frozen=True):
    """Limit on the requests of an organisation over all daemons.

    :param rate: requests per second.
    :param burst: requests beyond the rate that may come at once.
    """

    rate: float
    burst: float


class Organisation(Struct, frozen=True, kw_only=True):
    """An organisation whose callers share keys, a priority and a quota.

    :param priority: replaces the priority of the route; ``None`` keeps it.
    :param quota: ``None`` if its requests are not limited.
    """

    name: OrganisationName
    keys: tuple[KeyDigest, ...]
    priority: int | None = None
    quota: Quota | None = None


class OrganisationIndex:
    """Finds organisations by key and by name."""

    def __init__(self, organisations: Iterable[Organisation]) -> None:
        self._by_name = {one.name: one for one in organisations}
        self._by_key = {
            key: one for one in self._by_name.values() for key in one.keys
        }
        self._by_fingerprint = {
            compute_fingerprint(key): one.name
            for key, one in self._by_key.items()
        }

    def find(self, key: KeyDigest) -> Organisation | None:
        """Find the organisation that holds a key."""
        return self._by_key.get(key)

    def holds(
        self, name: OrganisationName, fingerprint: KeyFingerprint
    ) -> bool:
        """Whether an organisation has the key with this fingerprint."""
        return bool(name) and self._by_fingerprint.get(fingerprint) == name

    def get(self, name: OrganisationName) -> Organisation | None:
        """Return the organisation of a name."""
        return self._by_name.get(name)
