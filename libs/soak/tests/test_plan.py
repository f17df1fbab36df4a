"""The plan of a run follows from its seed alone."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_soak.plan import GLOBAL, Kind, draw_plan

seeds = st.integers(min_value=1, max_value=1 << 32)


@settings(max_examples=30, derandomize=True)
@given(seeds)
def test_the_same_seed_gives_the_same_plan(seed):
    one = draw_plan(seed, vms=5, seconds=30)
    assert one == draw_plan(seed, vms=5, seconds=30)
    assert one != draw_plan(seed + 1, vms=5, seconds=30)


@settings(max_examples=30, derandomize=True)
@given(seeds)
def test_troubles_lie_within_the_run(seed):
    plan = draw_plan(seed, vms=5, seconds=30)
    assert all(0 <= trouble.at <= 30 for trouble in plan)
    assert plan == sorted(plan, key=lambda trouble: trouble.at)
    for trouble in plan:
        assert (trouble.vm == -1) == (trouble.kind in GLOBAL)
        assert trouble.vm < 5


def test_every_kind_is_drawn_and_troubles_overlap():
    plans = [draw_plan(seed, vms=5, seconds=30) for seed in range(1, 40)]
    assert {one.kind for plan in plans for one in plan} == set(Kind)
    for plan in plans:
        pairs = zip(plan, plan[1:], strict=False)
        assert any(one.at + one.lasts > two.at for one, two in pairs)


@settings(max_examples=30, derandomize=True)
@given(seeds)
def test_signs_of_life_are_late_while_several_daemons_stop(seed):
    # Held for longer than a silent daemon is trusted (0.6 s) and shorter than
    # a deadline, at half of the VMs, while others get SIGTERM.
    plan = draw_plan(seed, vms=6, seconds=15)
    late = [one for one in plan if one.kind is Kind.LATE_PEERS]
    stops = [one for one in plan if one.kind is Kind.STOP]
    assert len(late) == 9
    for held in late:
        assert 0.6 < held.lasts <= 1.5
        near = {one.vm for one in stops if abs(one.at - held.at) <= 1.5}
        assert len(near) >= 2
