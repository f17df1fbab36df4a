"""Client-side throttling, on a simulated clock."""

from random import Random

from verbenamill_policy.throttling import Throttle


def send_all(throttle, *, accepts_every, requests=2000, rate=50):
    """Count the requests that are sent, and those that the server accepts."""
    random = Random(1)
    sent = accepted = 0
    for number in range(requests):
        now = number / rate
        if throttle.should_throttle(now, random):
            continue
        sent += 1
        is_accepted = bool(accepts_every) and number % accepts_every == 0
        accepted += is_accepted
        throttle.record(now, taken=is_accepted)
    return sent, accepted


def test_accepted_requests_are_not_throttled():
    assert send_all(Throttle(), accepts_every=1) == (2000, 2000)


def test_requests_that_would_be_refused_are_throttled():
    """Guards against many requests to a server that refuses nearly all."""
    sent, accepted = send_all(Throttle(), accepts_every=0)
    assert sent < 0.2 * 2000
    assert not accepted


def test_a_server_that_accepts_some_requests_still_gets_some():
    sent, accepted = send_all(Throttle(), accepts_every=10)
    assert 0 < accepted
    assert sent < 0.5 * 2000


def test_refusals_of_long_ago_throttle_no_requests():
    """Guards against a server that is avoided for good."""
    throttle = Throttle()
    for _ in range(100):
        throttle.record(0, taken=False)
    random = Random(1)
    throttled = sum(throttle.should_throttle(20, random) for _ in range(100))
    assert throttled == 0
