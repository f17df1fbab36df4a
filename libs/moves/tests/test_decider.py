"""Moves from acceptance to verdict: good, bad, late and disturbed ones."""

import pytest
from msgspec.structs import replace

from verbenamill_model.checks import MIN_MOVE
from verbenamill_model.typing import Profile, VerdictKind
from verbenamill_moves import MoveState, choose_decider, encode_move_state

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
@pytest.mark.parametrize('window', (MIN_MOVE.seconds, 15, 120))
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
    # Its only upstream there could have crashed, for the first two seconds.
    moved.run(8)
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
    moved.remove('a-v2')
    moved.run(12)
    assert_taken_back(moved)
    assert 'no upstream of v2' in moved.state.reason


def test_late_upstreams_shorten_the_plan_and_not_the_deadline(fleet):
    moved = fleet(zones=('a', 'b'))
    upstreams = {vm: moved.members[vm] for vm in ('a-v2', 'b-v2')}
    for vm in upstreams:
        moved.members.pop(vm)
    moved.run(30)
    assert not moved.state.stages
    moved.members.update(upstreams)
    moved.run(30)
    assert_done(moved)


@BOTH
def test_version_bad_only_later_is_taken_back(fleet, profile):
    """It is good through the canary and the growing shares and fails when
    it has nearly all calls; only a thin control is left to compare with."""
    moved = fleet(profile=profile)
    moved.failing = lambda version, zone, second: (
        0.3 * (version == 'v2' and second > 45)
    )
    moved.run(60)
    assert_taken_back(moved)


def test_version_bad_under_load_is_taken_back(fleet):
    moved = fleet()
    moved.failing = lambda version, zone, second: (
        0.3 * (version == 'v2' and moved.share('a') > 0.5)
    )
    moved.run(60)
    assert_taken_back(moved)


def test_version_bad_on_one_route_is_taken_back(fleet):
    moved = fleet()
    moved.bad_route = 'fees'
    moved.failing = lambda version, zone, second: 0.4 * (version == 'v2')
    moved.run(20)
    assert_taken_back(moved)
    assert max(moved.state.stages.values()) <= 3


def test_version_that_fails_and_recovers_is_taken_back(fleet):
    """It is well whenever the stage is about to change; the failures of
    three seconds in twenty must be remembered."""
    moved = fleet()
    moved.failing = lambda version, zone, second: (
        0.5 * (version == 'v2' and second % 20 > 17)
    )
    moved.run(60)
    assert_taken_back(moved)


def test_broken_instance_does_not_condemn_its_version(fleet):
    """One of three upstreams of the new version crashes.

    Its calls fail for a second, until its lease lapses and it is gone. The
    other two answer as well as ever, so it was the VM and not the version.
    """
    moved = fleet(zones=('a', 'b', 'c'))

    def crash(version, zone, second):
        return version == 'v2' and zone == 'c' and 30 < second <= 31

    moved.failing = crash
    moved.run(31)
    moved.remove('c-v2')
    moved.run(29)
    assert_done(moved)


def test_paused_decider_goes_on_stage_by_stage(fleet):
    """A decider is paused at the canary and wakes late.

    By the clock the new version should have most of the traffic; what it
    did meanwhile is still on its way, so nothing may grow before that.
    """
    moved = fleet()
    chosen = choose_decider(moved.move, 'a', moved.members)
    moved.run(10)
    stage = moved.state.stages['a']
    moved.run(30, paused={chosen})
    assert moved.state.stages['a'] == stage
    moved.run(1)
    assert moved.state.stages['a'] == stage
    for _ in range(20):
        before = moved.state.stages['a']
        moved.run(0.5)
        assert moved.state.stages['a'] <= before + 1


def test_two_deciders_of_a_zone_are_harmless(fleet):
    """Two daemons see different members, and both hold themselves chosen.

    The stages that they publish join; one veto is enough.
    """
    moved = fleet()
    others = {'a-v1': {'a-v1': moved.members['a-v1']}, 'a-v2': moved.members}
    whole = moved.members
    moved.failing = lambda version, zone, second: 0.5 * (version == 'v2')
    for _ in range(20):
        moved.run(0.5, paused=moved.deciders)
        for vm, seen in others.items():
            moved.members = seen
            moved.act(vm, moved.deciders[vm])
        moved.members = whole
    assert_taken_back(moved)


def test_verdict_is_given_again_until_it_is_in_force(fleet):
    """The log is out at the deadline: traffic is complete in time, and the
    verdict is offered until an append gets through."""
    moved = fleet(window=15)
    moved.run(15)
    assert moved.share('a') == 1
    moved.run(10)
    kinds = {record.kind for _, record in moved.settled}
    assert kinds == {VerdictKind.DONE}
    assert len(moved.settled) >= 4


def test_no_decision_on_a_move_that_is_over(fleet):
    """A ticket superseded the move: its verdict is on the log already."""
    moved = fleet()
    moved.run(20)
    moved.service = replace(moved.service, move=None)
    moved.settled = []
    moved.run(50)
    assert not moved.settled


def test_cautious_move_with_hardly_any_calls_is_taken_back(fleet):
    moved = fleet(profile=Profile.CAUTIOUS)
    moved.rate = 0.2
    moved.run(60)
    assert_taken_back(moved)
    assert 'expected 25' in moved.state.reason


def test_veto_of_another_zone_is_obeyed(fleet):
    moved = fleet()
    moved.run(5)
    moved.entry = encode_move_state(MoveState(veto=True, reason='zone b'))
    moved.run(1)
    assert_taken_back(moved)


def test_version_ready_at_the_last_moment_gets_no_flood(fleet):
    """Its upstreams come two seconds before the deadline.

    The canary would last a step or two; all calls after it would make a bad
    version's first minute everybody's.
    """
    moved = fleet()
    upstream = moved.members.pop('a-v2')
    moved.run(58)
    moved.members['a-v2'] = upstream
    moved.run(4)
    assert_taken_back(moved)
    assert max(moved.state.stages.values(), default=0) <= 2


def test_version_that_sheds_gets_no_more_calls(fleet):
    """Shed load is no failure, so nothing is taken back; but a version that
    has no room for its calls must not be given more of them."""
    moved = fleet()
    moved.shedding = 0.4
    moved.run(40)
    assert not moved.state.veto
    assert max(moved.state.stages.values()) <= 3
    moved.shedding = 0
    moved.run(20)
    assert_done(moved)


@pytest.mark.parametrize('zone', ('a', 'b', 'c'))
def test_zone_without_decider_does_not_make_the_verdict_late(fleet, zone):
    """The deciders of one zone die shortly before the deadline.

    That zone stays at 95 %; the others wait for it, and for the zone whose
    turn it is to write, which may be the same. The verdict has to be on the
    log in time all the same.
    """
    moved = fleet(zones=('a', 'b', 'c'), window=15)
    moved.run(11.5)
    moved.run(3.5, paused={f'{zone}-v1', f'{zone}-v2'})
    assert_done(moved)
    assert moved.settled[0][0] <= 14.5


@pytest.mark.parametrize('profile', tuple(Profile))
@pytest.mark.parametrize('rate', (5, 200))
def test_version_that_refuses_all_calls_is_not_done(fleet, profile, rate):
    """Its upstreams announce themselves, but their port is closed.

    Refused calls are no failures, so no evidence gathers. Completed at the
    deadline with no call answered, it would refuse every call.
    """
    moved = fleet(profile=profile)
    moved.rate = rate
    moved.shedding = 1
    moved.run(62)
    assert_taken_back(moved)
    assert max(moved.state.stages.values()) <= 2
