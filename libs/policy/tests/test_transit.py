"""Requests that a link held up keep the deadline that their caller meant."""

import pytest

from verbenamill_policy.transit import MAX_SENDERS, WINDOW, TransitTimes


def test_what_a_link_held_up_is_told():
    # The clocks differ by 500 s; usual transits take 2 to 5 ms. Then the
    # link loses packets, and a request comes after 0.9 s.
    transit = TransitTimes()
    assert transit.add('a', sent=0, received=500.003) == 0
    assert transit.add('a', sent=1, received=501.002) == 0
    late = transit.add('a', sent=2, received=502.005)
    assert late == pytest.approx(0.003)
    late = transit.add('a', sent=3, received=503.902)
    assert late == pytest.approx(0.9)


def test_a_clock_that_drifts_is_followed():
    # A drift of 100 parts in a million for an hour: 0.36 s in all.
    transit = TransitTimes()
    for second in range(3600):
        received = second * 1.0001 + 0.002
        late = transit.add('a', sent=second, received=received)
        assert late < 0.01


def test_a_link_that_stays_slow_becomes_the_usual():
    transit = TransitTimes()
    transit.add('a', sent=0, received=0.002)
    sent = 0
    for _ in range(5):
        sent += WINDOW + 1
        late = transit.add('a', sent=sent, received=sent + 0.1)
    assert late == 0


def test_each_start_of_a_daemon_has_a_clock_of_its_own():
    transit = TransitTimes()
    transit.add('a/1', sent=1000, received=5)
    assert transit.add('a/2', sent=3, received=6) == 0


def test_the_memory_is_bounded():
    transit = TransitTimes()
    for number in range(MAX_SENDERS + 10):
        transit.add(f'{number}', sent=0, received=1)
    assert len(transit._senders) == MAX_SENDERS
