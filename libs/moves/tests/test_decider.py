"""Moves from acceptance to verdict: good, bad, late and disturbed ones."""

import pytest

from verbenamill_model.typing import Profile, VerdictKind

BOTH = pytest.mark.parametrize('profile', tuple(Profile))


def assert_done(moved):
    assert not moved.state.veto, moved.state.reason
    assert moved.settled, 'no verdict'
    second, record = moved.settled[0]
    assert record.kind is VerdictKind.DONE
    assert second <= (moved.move.deadline - moved.move.accepted_at).seconds


def assert_taken_back(moved):
    assert moved.state.veto
    assert moved.settled[0][1].kind is VerdictKind.TAKEN_BACK
    assert all(moved.share(zone) == 0 for zone in 'ab')


@BOTH
@pytest.mark.parametrize('window', (5, 15, 120))
def test_good_version_is_done_before_its_deadline(fleet, window, profile):
    moved = fleet(zones=('a', 'b'), window=window, profile=profile)
    moved.run(window)
    assert_done(moved)
    assert moved.share('a') == moved.share('b') == 1


@BOTH
def test_version_bad_at_once_never_passes_the_canary_share(fleet, profile):
    moved = fleet(zones=('a', 'b'), profile=profile)
    moved.failing = lambda version, zone, second: 0.5 * (version == 'v2')
    moved.run(4)
    assert_taken_back(moved)
    assert max(moved.state.stages.values()) <= 2


def test_version_bad_in_one_zone_is_taken_back_in_all(fleet):
    moved = fleet(zones=('a', 'b'))
    moved.failing = lambda version, zone, second: (
        0.5 * (version == 'v2' and zone == 'b')
    )
    moved.run(5)
    assert_taken_back(moved)


def test_version_slow_and_not_failing_is_taken_back(fleet):
    moved = fleet()
    moved.latency = lambda version, zone, second: (
        0.06 if version == 'v2' else 0.02
    )
    moved.run(20)
    assert_taken_back(moved)
    assert 'slowness' in moved.state.reason


def test_fault_of_both_versions_does_not_condemn_the_new_one(fleet):
    """The platform's store fails for ten seconds.

    Calls of both versions fail alike, at whatever share the move is; the
    new version is no worse and has to be done in time.
    """
    moved = fleet()
    moved.failing = lambda version, zone, second: 0.6 * (20 < second < 30)
    moved.run(60)
    assert_done(moved)


def test_new_decider_keeps_the_veto(fleet):
    moved = fleet()
    moved.failing = lambda version, zone, second: 0.5 * (version == 'v2')
    moved.run(6)
    moved.failing = lambda version, zone, second: 0
    moved.deciders = {vm: moved.decider(vm) for vm in moved.members}
    moved.settled = []
    moved.run(54)
    assert_taken_back(moved)


def test_no_upstream_of_the_new_version(fleet):
    moved = fleet(window=10)
    moved.members.pop('a-v2')
    moved.deciders.pop('a-v2')
    moved.evidence.pop('a-v2')
    moved.run(12)
    assert_taken_back(moved)
    assert 'no upstream of v2' in moved.state.reason
