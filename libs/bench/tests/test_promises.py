"""Checks of the fault bench, each shown a promise that did not hold."""

from datetime import UTC, datetime

from verbenamill_bench.applied import read_versions
from verbenamill_bench.promises import check_crashes, check_versions

LINE = '2026-12-02T23:25:2{0}.052+00:00 INFO VM2003 running version {1}'


def written(tmp_path, *lines):
    path = tmp_path / 'az-1-1.out'
    path.write_text('\n'.join(lines))
    return path


def test_a_version_that_falls_is_found(tmp_path):
    log = written(tmp_path, LINE.format(1, 4), LINE.format(2, 3))
    assert check_versions(log) == ['az-1-1 went from 4 to 3']


def test_a_new_life_of_a_daemon_begins_anew(tmp_path):
    """A daemon is killed while it writes an event, and started again.

    Its next life goes on in the middle of the line and runs an older
    version at first, as it knows nothing; that is no step back.
    """
    half = LINE.format(2, 51)[:-1]
    log = written(
        tmp_path,
        LINE.format(1, 4),
        f'{half}2026-12-02T23:25:23.000+00:00 INFO VM1001 daemon started',
        LINE.format(4, 3),
    )
    assert check_versions(log) == []
    assert [version for version, _ in read_versions(log)] == [4, 3]
    at = datetime(2026, 12, 2, 23, 25, 21, 52000, tzinfo=UTC)
    assert read_versions(log)[0][1] == at


def test_a_failed_assertion_is_found(tmp_path):
    log = written(
        tmp_path,
        'Traceback (most recent call last):',
        'AssertionError: a state never goes back',
    )
    assert 'a state never goes back' in check_crashes(log)[0]
