"""Tests moves from acceptance to verdict, also with faults and delays."""

import pytest
from msgspec.structs import replace

from verbenamill_model.checks import MIN_MOVE
from verbenamill_model.typing import Profile, VerdictKind
from verbenamill_moves import MoveState, choose_decider, encode_move_state

BOTH_PROFILES = pytest.mark.parametrize('profile', tuple(Profile))


def assert_done(fleet):
    assert not fleet.state.veto, fleet.state.reason
    assert fleet.verdicts, 'no verdict'
    second, record = fleet.verdicts[0]
    assert record.kind is VerdictKind.DONE
    assert second <= (fleet.move.deadline - fleet.move.accepted_at).seconds


def assert_taken_back(fleet):
    assert fleet.state.veto
    assert fleet.verdicts[0][1].kind is VerdictKind.TAKEN_BACK
    assert all(fleet.share(zone) == 0 for zone in 'ab')


@BOTH_PROFILES
@pytest.mark.parametrize('window', (MIN_MOVE.seconds, 15, 120))
def test_good_version_is_done_before_its_deadline(make_fleet, window, profile):
    fleet = make_fleet(zones=('a', 'b'), window=window, profile=profile)
    fleet.run(window)
    assert_done(fleet)
    assert fleet.share('a') == fleet.share('b') == 1


@BOTH_PROFILES
def test_version_bad_at_once_never_passes_the_canary_share(make_fleet, profile):
    fleet = make_fleet(zones=('a', 'b'), profile=profile)
    fleet.failure_probability = lambda version, zone, second: (
        0.5 * (version == 'v2')
    )
    fleet.run(4)
    assert_taken_back(fleet)
    assert max(fleet.state.stages.values()) <= 2


def test_version_bad_in_one_zone_is_taken_back_in_all(make_fleet):
    fleet = make_fleet(zones=('a', 'b'))
    fleet.failure_probability = lambda version, zone, second: (
        0.5 * (version == 'v2' and zone == 'b')
    )
    # For the first two seconds, its only upstream in that zone may have
    # crashed.
    fleet.run(8)
    assert_taken_back(fleet)


def test_version_slow_and_not_failing_is_taken_back(make_fleet):
    fleet = make_fleet()
    fleet.median_latency = lambda version, zone, second: (
        0.06 if version == 'v2' else 0.02
    )
    fleet.run(20)
    assert_taken_back(fleet)
    assert 'slowness' in fleet.state.reason


def test_fault_of_both_versions_does_not_veto_the_new_one(make_fleet):
    """The store of the platform fails for ten seconds.

    The calls of both versions fail alike, whatever share the new version
    has. It is no worse than the old one, so the move must complete in time.
    """
    fleet = make_fleet()
    fleet.failure_probability = lambda version, zone, second: (
        0.6 * (20 < second < 30)
    )
    fleet.run(60)
    assert_done(fleet)


def test_new_decider_keeps_the_veto(make_fleet):
    fleet = make_fleet()
    fleet.failure_probability = lambda version, zone, second: (
        0.5 * (version == 'v2')
    )
    fleet.run(6)
    fleet.failure_probability = lambda version, zone, second: 0
    fleet.deciders = {vm: fleet.make_decider(vm) for vm in fleet.members}
    fleet.verdicts = []
    fleet.run(54)
    assert_taken_back(fleet)


def test_no_upstream_of_the_new_version(make_fleet):
    fleet = make_fleet(window=10)
    fleet.remove_member('a-v2')
    fleet.run(12)
    assert_taken_back(fleet)
    assert 'no upstream of v2' in fleet.state.reason


def test_late_upstreams_shorten_the_plan_and_not_the_deadline(make_fleet):
    fleet = make_fleet(zones=('a', 'b'))
    upstreams = {vm: fleet.members[vm] for vm in ('a-v2', 'b-v2')}
    for vm in upstreams:
        fleet.members.pop(vm)
    fleet.run(30)
    assert not fleet.state.stages
    fleet.members.update(upstreams)
    fleet.run(30)
    assert_done(fleet)


@BOTH_PROFILES
def test_version_bad_only_later_is_taken_back(make_fleet, profile):
    """The version is good until it gets nearly all calls, and then fails.

    By then the old version has only few calls to compare with.
    """
    fleet = make_fleet(profile=profile)
    fleet.failure_probability = lambda version, zone, second: (
        0.3 * (version == 'v2' and second > 45)
    )
    fleet.run(60)
    assert_taken_back(fleet)


def test_version_bad_under_load_is_taken_back(make_fleet):
    fleet = make_fleet()
    fleet.failure_probability = lambda version, zone, second: (
        0.3 * (version == 'v2' and fleet.share('a') > 0.5)
    )
    fleet.run(60)
    assert_taken_back(fleet)


def test_version_bad_on_one_route_is_taken_back(make_fleet):
    fleet = make_fleet()
    fleet.failing_route = 'fees'
    fleet.failure_probability = lambda version, zone, second: (
        0.4 * (version == 'v2')
    )
    fleet.run(20)
    assert_taken_back(fleet)
    assert max(fleet.state.stages.values()) <= 3


def test_version_that_fails_and_recovers_is_taken_back(make_fleet):
    """The version fails for three of every twenty seconds.

    It works whenever a stage is about to change, so the earlier failures
    must still count.
    """
    fleet = make_fleet()
    fleet.failure_probability = lambda version, zone, second: (
        0.5 * (version == 'v2' and second % 20 > 17)
    )
    fleet.run(60)
    assert_taken_back(fleet)


def test_broken_instance_does_not_veto_its_version(make_fleet):
    """One of three upstreams of the new version crashes.

    Its calls fail for a second, until its lease expires and it is removed.
    The other two answer as before, so the VM is at fault and not the version.
    """
    fleet = make_fleet(zones=('a', 'b', 'c'))

    def crash(version, zone, second):
        return version == 'v2' and zone == 'c' and 30 < second <= 31

    fleet.failure_probability = crash
    fleet.run(31)
    fleet.remove_member('c-v2')
    fleet.run(29)
    assert_done(fleet)


def test_paused_decider_continues_stage_by_stage(make_fleet):
    """A decider is paused during the canary stage for a long time.

    By the clock, the new version should have most of the traffic afterwards.
    The reports about the paused time have not arrived yet, so no stage may
    begin before they have.
    """
    fleet = make_fleet()
    chosen = choose_decider(fleet.move, 'a', fleet.members)
    fleet.run(10)
    stage = fleet.state.stages['a']
    fleet.run(30, paused={chosen})
    assert fleet.state.stages['a'] == stage
    fleet.run(1)
    assert fleet.state.stages['a'] == stage
    for _ in range(20):
        before = fleet.state.stages['a']
        fleet.run(0.5)
        assert fleet.state.stages['a'] <= before + 1


def test_two_deciders_of_a_zone_are_harmless(make_fleet):
    """Two daemons see different members, so each considers itself chosen.

    The stages that they publish are merged, and one veto suffices.
    """
    fleet = make_fleet()
    views = {'a-v1': {'a-v1': fleet.members['a-v1']}, 'a-v2': fleet.members}
    all_members = fleet.members
    fleet.failure_probability = lambda version, zone, second: (
        0.5 * (version == 'v2')
    )
    for _ in range(20):
        fleet.run(0.5, paused=fleet.deciders)
        for vm, members in views.items():
            fleet.members = members
            fleet.run_decider(vm, fleet.deciders[vm])
        fleet.members = all_members
    assert_taken_back(fleet)


def test_verdict_is_repeated_until_it_is_in_force(make_fleet):
    """The log is unavailable at the deadline.

    The new version has all traffic in time, and the decider repeats the
    verdict until it is appended.
    """
    fleet = make_fleet(window=15)
    fleet.run(15)
    assert fleet.share('a') == 1
    fleet.run(10)
    kinds = {record.kind for _, record in fleet.verdicts}
    assert kinds == {VerdictKind.DONE}
    assert len(fleet.verdicts) >= 4


def test_no_verdict_on_a_finished_move(make_fleet):
    """A ticket superseded the move, so its verdict is on the log already."""
    fleet = make_fleet()
    fleet.run(20)
    fleet.service = replace(fleet.service, move=None)
    fleet.verdicts = []
    fleet.run(50)
    assert not fleet.verdicts


def test_cautious_move_with_few_calls_is_taken_back(make_fleet):
    fleet = make_fleet(profile=Profile.CAUTIOUS)
    fleet.rate = 0.2
    fleet.run(60)
    assert_taken_back(fleet)
    assert 'expected 25' in fleet.state.reason


def test_veto_of_another_zone_is_obeyed(make_fleet):
    fleet = make_fleet()
    fleet.run(5)
    fleet.encoded_state = encode_move_state(
        MoveState(veto=True, reason='zone b')
    )
    fleet.run(1)
    assert_taken_back(fleet)


def test_version_ready_at_the_last_moment_is_taken_back(make_fleet):
    """The upstreams of the version get ready two seconds before the deadline.

    The canary stage would last only one or two steps. All calls would then go
    to a version that may be bad.
    """
    fleet = make_fleet()
    upstream = fleet.members.pop('a-v2')
    fleet.run(58)
    fleet.members['a-v2'] = upstream
    fleet.run(4)
    assert_taken_back(fleet)
    assert max(fleet.state.stages.values(), default=0) <= 2


def test_share_of_a_version_that_sheds_does_not_grow(make_fleet):
    """Shed calls are no failures, so the version is not taken back.

    However, a version that lacks capacity for its calls must not get more.
    """
    fleet = make_fleet()
    fleet.shed_probability = 0.4
    fleet.run(40)
    assert not fleet.state.veto
    assert max(fleet.state.stages.values()) <= 3
    fleet.shed_probability = 0
    fleet.run(20)
    assert_done(fleet)


@pytest.mark.parametrize('zone', ('a', 'b', 'c'))
def test_zone_without_decider_does_not_make_the_verdict_late(make_fleet, zone):
    """The deciders of one zone fail shortly before the deadline.

    That zone stays at 95 %. The other zones wait for it, and for the zone
    that is the first to append the verdict, which may be the same one. The
    verdict must still be on the log in time.
    """
    fleet = make_fleet(zones=('a', 'b', 'c'), window=15)
    fleet.run(11.5)
    fleet.run(3.5, paused={f'{zone}-v1', f'{zone}-v2'})
    assert_done(fleet)
    assert fleet.verdicts[0][0] <= 14.5


@pytest.mark.parametrize('profile', tuple(Profile))
@pytest.mark.parametrize('rate', (5, 200))
def test_version_that_refuses_all_calls_is_not_completed(
    make_fleet, profile, rate
):
    """The upstreams announce the version, but their port is closed.

    Refused calls are no failures, so no evidence accumulates. If the move
    completed at the deadline without an answered call, the version would
    refuse every call.
    """
    fleet = make_fleet(profile=profile)
    fleet.rate = rate
    fleet.shed_probability = 1
    fleet.run(62)
    assert_taken_back(fleet)
    assert max(fleet.state.stages.values()) <= 2
