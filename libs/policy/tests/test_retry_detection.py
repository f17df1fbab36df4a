"""Retries are distinguished from first attempts by their stated timeout."""

from random import Random

from verbenamill_policy.retry_detection import RetryDetector


def test_a_retry_is_detected_by_its_shorter_timeout():
    # In overload every other request is a retry of a refused one and states
    # what is left of its 2 s. All first attempts state 2 s.
    random = Random(3)
    detector = RetryDetector()
    for _ in range(200):
        detector.time_since_first_attempt('r', 2000)
        detector.time_since_first_attempt('r', random.randrange(1300, 1990))
    assert detector.time_since_first_attempt('r', 2000) == 0
    assert detector.time_since_first_attempt('r', 1500) == 0.5


def test_no_retry_is_detected_if_every_caller_states_another_timeout():
    random = Random(3)
    detector = RetryDetector()
    elapsed = [
        detector.time_since_first_attempt('r', random.randrange(500, 5000))
    ]
    elapsed += [
        detector.time_since_first_attempt('r', random.randrange(500, 5000))
        for _ in range(300)
    ]
    assert not any(elapsed)


def test_one_caller_with_a_long_timeout_makes_no_other_appear_as_a_retry():
    detector = RetryDetector()
    for number in range(300):
        patient = number % 10 == 0
        assert not detector.time_since_first_attempt(
            'r', 60_000 if patient else 2000
        )


def test_a_permanent_change_of_the_timeout_is_learned():
    detector = RetryDetector()
    for _ in range(300):
        detector.time_since_first_attempt('r', 5000)
    for _ in range(100):
        detector.time_since_first_attempt('r', 2000)
    assert detector.time_since_first_attempt('r', 2000) == 0


def test_routes_have_separate_timeouts():
    detector = RetryDetector()
    for _ in range(50):
        detector.time_since_first_attempt('slow', 8000)
        assert detector.time_since_first_attempt('quick', 500) == 0
