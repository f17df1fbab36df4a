"""Callers that come back are told from new ones by the time they give."""

from random import Random

from verbenamill_policy.retry_detection import RetryDetector


def test_who_comes_back_is_known_by_the_time_that_is_left():
    # In overload each second request is one that was refused and comes back
    # with what is left of its 2 s. All first requests give 2 s.
    random = Random(3)
    returning = RetryDetector()
    for _ in range(200):
        returning.time_since_first_attempt('r', 2000)
        returning.time_since_first_attempt('r', random.randrange(1300, 1990))
    assert returning.time_since_first_attempt('r', 2000) == 0
    assert returning.time_since_first_attempt('r', 1500) == 0.5


def test_nothing_is_concluded_where_every_caller_gives_another_time():
    random = Random(3)
    returning = RetryDetector()
    told = [
        returning.time_since_first_attempt('r', random.randrange(500, 5000))
    ]
    told += [
        returning.time_since_first_attempt('r', random.randrange(500, 5000))
        for _ in range(300)
    ]
    assert not any(told)


def test_one_patient_caller_makes_nobody_else_look_late():
    returning = RetryDetector()
    for place in range(300):
        patient = place % 10 == 0
        assert not returning.time_since_first_attempt(
            'r', 60_000 if patient else 2000
        )


def test_callers_that_give_another_time_from_now_on_are_learned():
    returning = RetryDetector()
    for _ in range(300):
        returning.time_since_first_attempt('r', 5000)
    for _ in range(100):
        returning.time_since_first_attempt('r', 2000)
    assert returning.time_since_first_attempt('r', 2000) == 0


def test_routes_are_told_apart():
    returning = RetryDetector()
    for _ in range(50):
        returning.time_since_first_attempt('slow', 8000)
        assert returning.time_since_first_attempt('quick', 500) == 0
