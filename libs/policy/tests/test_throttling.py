"""Client-side throttling, on a clock of its own."""

from random import Random

from verbenamill_policy.throttling import Throttle


def send_all(throttle, *, takes_every, requests=2000, rate=50):
    """Requests that are sent of some, and those that were taken of these."""
    random = Random(1)
    sent = taken = 0
    for number in range(requests):
        now = number / rate
        if throttle.should_throttle(now, random):
            continue
        sent += 1
        is_taken = bool(takes_every) and number % takes_every == 0
        taken += is_taken
        throttle.record(now, taken=is_taken)
    return sent, taken


def test_what_is_taken_is_not_held_back():
    assert send_all(Throttle(), takes_every=1) == (2000, 2000)


def test_requests_that_would_be_refused_are_held_back():
    """Guards against hops that all but a few are made in vain."""
    sent, taken = send_all(Throttle(), takes_every=0)
    assert sent < 0.2 * 2000
    assert not taken


def test_a_server_that_takes_some_is_still_asked():
    sent, taken = send_all(Throttle(), takes_every=10)
    assert 0 < taken
    assert sent < 0.5 * 2000


def test_what_was_refused_long_ago_holds_nobody_back():
    """Guards against a server that is avoided for good."""
    throttle = Throttle()
    for _ in range(100):
        throttle.record(0, taken=False)
    random = Random(1)
    held = sum(throttle.should_throttle(20, random) for _ in range(100))
    assert held == 0
