"""Detection of messages that were delayed by a link."""

import pytest

from verbenamill_policy.transit import MAX_SENDERS, WINDOW, TransitTimes


def test_a_delay_beyond_the_usual_transit_is_detected():
    # The clocks differ by 500 s, and usual transits take 2 to 5 ms. Then the
    # link loses packets, and a request arrives after 0.9 s.
    transit = TransitTimes()
    assert transit.add('a', sent=0, received=500.003) == 0
    assert transit.add('a', sent=1, received=501.002) == 0
    delay = transit.add('a', sent=2, received=502.005)
    assert delay == pytest.approx(0.003)
    delay = transit.add('a', sent=3, received=503.902)
    assert delay == pytest.approx(0.9)


def test_clock_drift_is_not_mistaken_for_a_delay():
    # A drift of 100 parts per million for an hour amounts to 0.36 s.
    transit = TransitTimes()
    for second in range(3600):
        received = second * 1.0001 + 0.002
        delay = transit.add('a', sent=second, received=received)
        assert delay < 0.01


def test_the_usual_transit_adapts_to_a_link_that_stays_slow():
    transit = TransitTimes()
    transit.add('a', sent=0, received=0.002)
    sent = 0
    for _ in range(5):
        sent += WINDOW + 1
        delay = transit.add('a', sent=sent, received=sent + 0.1)
    assert delay == 0


def test_each_start_of_a_daemon_has_a_separate_clock():
    transit = TransitTimes()
    transit.add('a/1', sent=1000, received=5)
    assert transit.add('a/2', sent=3, received=6) == 0


def test_the_number_of_senders_is_bounded():
    transit = TransitTimes()
    for number in range(MAX_SENDERS + 10):
        transit.add(f'{number}', sent=0, received=1)
    assert len(transit._senders) == MAX_SENDERS
