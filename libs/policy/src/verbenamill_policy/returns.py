"""When callers that are refused may come back and find room."""

#: Longest time that a caller is told to stay away, in seconds: by then
#: everything may be different, and most callers have given up.
LONGEST = 2.0


class Returns:
    """Gives callers that are refused one place each to come back to.

    Refused in the same moment and told the same time, they would come back
    together, and most would be refused again. Each further one is told to
    come a place later, as fast as places come free.
    """

    def __init__(self) -> None:
        self._next_at = float(0)

    def assign(self, now: float, *, wait: float, turn: float) -> float:
        """When one more caller may come back, in seconds from now.

        :param wait: until there may be room at all, in seconds.
        :param turn: time in which one place comes free, in seconds.
        """
        at = max(now + wait, self._next_at)
        at = min(at, now + LONGEST)
        self._next_at = at + turn
        return at - now
