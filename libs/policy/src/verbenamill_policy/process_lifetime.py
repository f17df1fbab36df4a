"""How long a process goes on once it was told to stop."""

from collections.abc import Callable
from datetime import timedelta
from math import inf

#: Time for which a stopping daemon takes requests as before, in seconds:
#: callers learn of the stop from two health checks that are a second apart.
_NOTICE_TIME = 2.6
#: Time after that which a short grace time leaves for the end of connections,
#: in seconds.
_CLOSING_TIME = 1.0
#: Time before the process is killed in which no request runs, in seconds.
_EXIT_TIME = 0.5
#: Longest share of the grace time that this may take. The platform counts on
#: the work of the other five sixths.
_EXIT_SHARE = 1 / 6
#: Part of this time in which callers whose requests were given up get their
#: answers.
_ANSWERS_SHARE = 0.4
#: Probability of an answer in time from which on a request is begun although
#: its deadline is later than the end of the process.
_LIKELY = 0.99


class ProcessLifetime:
    """The time that this process has left, and what may begin in it.

    Times are in seconds on the monotonic clock, and infinite before the stop.

    :param grace: time from the request to stop until the process is killed.
    :ivar notice_ends_at: time until which callers may not know of the stop.
    :ivar work_ends_at: time until which requests run.
    :ivar answers_end_at: time until which answers are sent.
    """

    def __init__(self, grace: timedelta) -> None:
        self._grace = grace.total_seconds()
        self.is_stopping = False
        self.notice_ends_at = inf
        self.work_ends_at = inf
        self.answers_end_at = inf

    def begin_stop(self, now: float) -> None:
        """Fix the schedule of the stop; the process was just told to stop."""
        exit_time = min(_EXIT_TIME, _EXIT_SHARE * self._grace)
        work_time = self._grace - exit_time
        notice_time = max(work_time - _CLOSING_TIME, work_time / 2)
        self.is_stopping = True
        self.notice_ends_at = now + min(_NOTICE_TIME, notice_time)
        self.work_ends_at = now + work_time
        self.answers_end_at = self.work_ends_at + _ANSWERS_SHARE * exit_time

    def may_begin(
        self,
        deadline: float,
        now: float,
        *,
        chance_within: Callable[[float], float],
    ) -> bool:
        """Whether a request may be passed on to an upstream.

        Only its deadline tells when a request ends for certain. As long as
        callers may not know of the stop, they have no other daemon to go to,
        and get what is very likely to end in time as well.

        :param deadline: time at which its caller gives up.
        :param chance_within: returns the probability of an answer within a
            number of seconds.
        """
        if deadline <= self.work_ends_at:
            return True
        if now > self.notice_ends_at:
            return False
        return chance_within(self.work_ends_at - now) >= _LIKELY
