"""Tests that move states merge in any order, and how they split traffic."""

from datetime import UTC, datetime, timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_model import Move, Service, ServiceState
from verbenamill_model.typing import Profile
from verbenamill_moves import (
    MoveState,
    encode_move_state,
    merge_states,
    split_traffic,
)

START = datetime(2026, 12, 2, tzinfo=UTC)
MOVE = Move(
    id=7,
    ticket=3,
    service='entries',
    old='v1',
    new='v2',
    accepted_at=START,
    deadline=START + timedelta(minutes=1),
    profile=Profile.ON_TIME,
)
SERVICE = ServiceState(
    service=Service(name='entries', version='v2'),
    version='v1',
    move=MOVE,
)
STATES = st.builds(
    MoveState,
    stages=st.dictionaries(st.sampled_from('abc'), st.integers(0, 7)),
    veto=st.booleans(),
    reason=st.sampled_from(('', 'failures', 'slowness')),
).map(encode_move_state)


def share_of_new(state, *, zone='a', now=START):
    split = split_traffic(SERVICE, state, availability_zone=zone, now=now)
    assert abs(sum(split.values()) - 1) < 1e-9
    return split.get('v2', 0)


@settings(derandomize=True)
@given(STATES, STATES, STATES)
def test_merge_ignores_order_and_repetition(one, two, three):
    """Messages arrive twice, reordered or late; all daemons must agree."""
    merged = merge_states(merge_states(one, two), three)
    assert merged == merge_states(merge_states(three, one), two)
    assert merged == merge_states(merged, two)
    assert merged == merge_states(merged, merged)


def test_new_version_gets_no_calls_while_its_state_is_unknown():
    assert share_of_new(None) == 0
    assert share_of_new(MoveState()) == 0
    early = START - timedelta(seconds=1)
    assert share_of_new(MoveState(stages={'a': 7}), now=early) == 0


def test_veto_overrides_every_stage():
    assert share_of_new(MoveState(stages={'a': 7})) == 1
    assert share_of_new(MoveState(stages={'a': 7}, veto=True)) == 0


def test_zone_without_upstreams_follows_the_lowest_stage():
    assert share_of_new(MoveState(stages={'b': 7, 'c': 2}), zone='d') == 0.05


def test_unreadable_state_of_a_peer_is_ignored():
    known = encode_move_state(MoveState(stages={'a': 2}, veto=True))
    assert merge_states(known, b'\xc1') == known
