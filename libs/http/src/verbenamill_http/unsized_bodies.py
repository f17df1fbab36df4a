"""Memory for bodies of responses whose length is not announced."""

#: Bytes of such bodies that are held at once.
MAX_UNSIZED_BYTES = 4 * 1024 * 1024


class UnsizedBodies:
    """Limits the bodies of unknown length that are held at the same time.

    Such a body may go on without end. If all of them together exceed the
    limit, those that are longer than the mean are given up, so that an endless
    one does not displace short ones.

    :param limit: longest sum of these bodies, in bytes.
    """

    def __init__(self, limit: int = MAX_UNSIZED_BYTES) -> None:
        self._limit = limit
        self._sizes: dict[object, int] = {}
        self._total = 0

    def hold(self, owner: object, size: int) -> bool:
        """Hold the part of a body that was received so far.

        :param owner: identifies the body.
        :returns: ``False`` if the body has to be given up.
        """
        self._total += size - self._sizes.get(owner, 0)
        self._sizes[owner] = size
        return self._total <= self._limit or (
            size * len(self._sizes) < self._total
        )

    def release(self, owner: object) -> None:
        """Release a body that is complete or was given up."""
        self._total -= self._sizes.pop(owner, 0)
