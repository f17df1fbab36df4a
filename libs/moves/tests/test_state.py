"""Move states merge to the same whatever the order; shares obey them."""

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
def test_states_join(one, two, three):
    """Messages come twice, crossed and late; all daemons must agree."""
    merged = merge_states(merge_states(one, two), three)
    assert merged == merge_states(merge_states(three, one), two)
    assert merged == merge_states(merged, two)
    assert merged == merge_states(merged, merged)


def test_daemon_that_heard_nothing_sends_nothing_to_new_version():
    assert share_of_new(None) == 0
    assert share_of_new(MoveState()) == 0
    early = START - timedelta(seconds=1)
    assert share_of_new(MoveState(stages={'a': 7}), now=early) == 0


def test_veto_wins_over_every_stage():
    assert share_of_new(MoveState(stages={'a': 7})) == 1
    assert share_of_new(MoveState(stages={'a': 7}, veto=True)) == 0


def test_zone_without_upstreams_follows_the_last_zone():
    assert share_of_new(MoveState(stages={'b': 7, 'c': 2}), zone='d') == 0.05


def test_unreadable_state_of_a_peer_changes_nothing():
    known = encode_move_state(MoveState(stages={'a': 2}, veto=True))
    assert merge_states(known, b'\xc1') == known
