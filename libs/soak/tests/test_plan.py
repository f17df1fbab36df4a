"""The plan of a run depends only on its seed."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_soak.plan import GLOBAL_KINDS, FaultKind, generate_plan

seeds = st.integers(min_value=1, max_value=1 << 32)


@settings(max_examples=30, derandomize=True)
@given(seeds)
def test_the_same_seed_gives_the_same_plan(seed):
    one = generate_plan(seed, vms=5, seconds=30)
    assert one == generate_plan(seed, vms=5, seconds=30)
    assert one != generate_plan(seed + 1, vms=5, seconds=30)


@settings(max_examples=30, derandomize=True)
@given(seeds)
def test_faults_lie_within_the_run(seed):
    plan = generate_plan(seed, vms=5, seconds=30)
    assert all(0 <= fault.at <= 30 for fault in plan)
    assert plan == sorted(plan, key=lambda fault: fault.at)
    for fault in plan:
        assert (fault.vm == -1) == (fault.kind in GLOBAL_KINDS)
        assert fault.vm < 5


def test_every_kind_is_generated_and_faults_overlap():
    plans = [generate_plan(seed, vms=5, seconds=30) for seed in range(1, 40)]
    assert {one.kind for plan in plans for one in plan} == set(FaultKind)
    for plan in plans:
        pairs = zip(plan, plan[1:], strict=False)
        assert any(one.at + one.duration > two.at for one, two in pairs)


@settings(max_examples=30, derandomize=True)
@given(seeds)
def test_peer_links_are_held_while_several_daemons_stop(seed):
    # Half of the peer links are held for longer than the time after which a
    # silent daemon is suspected (0.6 s) and shorter than a deadline, while
    # other daemons get SIGTERM.
    plan = generate_plan(seed, vms=6, seconds=15)
    holds = [one for one in plan if one.kind is FaultKind.LATE_PEERS]
    stops = [one for one in plan if one.kind is FaultKind.STOP]
    assert len(holds) == 9
    for hold in holds:
        assert 0.6 < hold.duration <= 1.5
        stopped_vms = {one.vm for one in stops if abs(one.at - hold.at) <= 1.5}
        assert len(stopped_vms) >= 2
