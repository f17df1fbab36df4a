"""Limits of the local upstream that others remember."""

import trio
from trio.testing import MockClock

from verbenamill_model.typing import UpstreamState
from verbenamill_policy.admission import Admission
from verbenamill_policy.cold_starts import (
    ColdStartLimit,
    ColdStartMargin,
    ColdStartTracker,
)
from verbenamill_policy.heartbeats import UpstreamTracker
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.members import UpstreamRecord
from verbenamill_sidecar.upstream.rate_limiting import UpstreamRateLimiter


def make_limiter(remembered):
    """Make the limiter of a restarted daemon, with what others remember."""
    register = UpstreamTracker('127.0.0.1:1')
    register.restore(
        UpstreamRecord(
            'i1', 100, 1, 'entries', 'v1', UpstreamState.READY, 2, remembered
        )
    )
    tracker = ColdStartTracker(
        lambda: ColdStartLimit(duration=3, rate=5.5), ColdStartMargin()
    )
    limiter = UpstreamRateLimiter(
        register,
        cold_starts=tracker,
        on_limit_change=lambda: None,
        wall_ms=lambda: 0,
    )
    limiter.reset(Admission(slots=2))
    return limiter


def run(check):
    async def main():
        check()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_a_remembered_cold_rate_is_not_taken_for_an_announced_limit():
    """Guards against an upstream that stays limited after a restart."""

    def check():
        limiter = make_limiter(RateLimit(5.5, 1000, is_cold=True))
        assert limiter.limit is None
        assert limiter.rate is None
        limiter.restore(RateLimit(5.5, 1000, is_cold=True))
        assert limiter.rate is None

    run(check)


def test_a_remembered_announced_limit_holds():
    """Guards against a limit that is lost with the daemon that kept it."""

    def check():
        limiter = make_limiter(RateLimit(2.0, 1000))
        assert limiter.limit == RateLimit(2.0, 1000)
        assert limiter.rate == 2.0

    run(check)
