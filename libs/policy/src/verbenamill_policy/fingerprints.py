"""Names a request by its content, so that it is known when it comes again."""

from hashlib import blake2b
from typing import NewType

#: Digest of a request's content, in bytes.
Fingerprint = NewType('Fingerprint', bytes)

#: Length of a fingerprint in bytes. Nobody finds a second request with the
#: fingerprint of a given one, so nobody can have another's request refused.
SIZE = 16


def compute_fingerprint(
    *,
    method: bytes,
    host: bytes,
    target: bytes,
    caller: bytes,
    body: bytes,
) -> Fingerprint:
    """Fingerprint of a request; the same at every daemon.

    :param caller: service of the VM where the request began.
    """
    digest = blake2b(digest_size=SIZE)
    for part in (method, host.lower(), target, caller, body):
        # With the lengths, the end of one part is never the begin of the next.
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return Fingerprint(digest.digest())
