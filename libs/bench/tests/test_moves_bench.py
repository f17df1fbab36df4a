"""The bench of moves repeats itself, and can tell good from bad."""

from verbenamill_bench.moves import run_many, run_one


def test_same_seed_gives_same_story():
    assert run_one('on-time', 2, 2) == run_one('on-time', 2, 2)


def test_timetable_takes_no_bad_version_back():
    """A bench that calls everything right could not show a difference."""
    blind = run_many('timetable', seed=2, runs=5)
    assert blind.bad
    assert blind.bad_taken_back == 0
    seeing = run_many('on-time', seed=2, runs=5)
    assert seeing.bad_taken_back > 50
