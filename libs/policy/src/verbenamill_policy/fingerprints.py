"""Fingerprints that recognise a request by its content when it is repeated."""

from hashlib import blake2b
from typing import NewType

#: Digest of a request's content.
Fingerprint = NewType('Fingerprint', bytes)

#: Length of a fingerprint in bytes. It makes a second preimage infeasible, so
#: that nobody can have the request of somebody else refused.
FINGERPRINT_BYTES = 16


def compute_fingerprint(
    *,
    method: bytes,
    host: bytes,
    target: bytes,
    caller: bytes,
    body: bytes,
) -> Fingerprint:
    """Compute the fingerprint of a request, which is the same at every daemon.

    :param caller: service of the VM from which the request was sent.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method, host.lower(), target, caller, body):
        # The length prefix makes the boundaries of the parts unambiguous.
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return Fingerprint(digest.digest())
