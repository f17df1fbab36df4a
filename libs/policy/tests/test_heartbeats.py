"""Late, repeated and foreign heartbeats of the own upstream."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_model.typing import UpstreamState
from verbenamill_policy.limits import RateLimit
from verbenamill_policy.heartbeats import (
    HeartbeatResult,
    Heartbeat,
    UpstreamTracker,
)

ADDRESS = '10.0.0.1:80'


def beat(sequence, *, instance='i1', born=100, state=UpstreamState.READY):
    return Heartbeat(
        instance=instance,
        address=ADDRESS,
        service='s',
        version='v1',
        slots=4,
        state=state,
        sequence=sequence,
        born=born,
    )


DRAINING = UpstreamState.DRAINING


def test_a_late_heartbeat_does_not_undo_a_drain():
    # The upstream says that it drains and is acknowledged. A heartbeat from
    # before arrives afterwards; believed, callers would be sent to an
    # upstream that is about to end.
    register = UpstreamTracker(ADDRESS)
    assert register.update(beat(1)) is HeartbeatResult.CHANGED
    assert register.update(beat(3, state=DRAINING)) is HeartbeatResult.CHANGED
    assert register.update(beat(2)) is HeartbeatResult.STALE
    assert register.current.state is DRAINING


def test_a_late_heartbeat_does_not_bring_back_one_that_left():
    register = UpstreamTracker(ADDRESS)
    register.update(beat(1))
    assert register.leave('i1', 0, now=500)
    assert register.update(beat(9)) is HeartbeatResult.STALE
    assert register.current.state is UpstreamState.GONE


def test_a_leave_that_comes_before_any_heartbeat_is_remembered():
    # The daemon was just started again and knows no upstream. The upstream
    # says that it ends and is acknowledged; then a heartbeat from before
    # comes late. Believed, callers would be sent to an upstream that ends.
    register = UpstreamTracker(ADDRESS)
    assert not register.leave('i1', 100, now=500)
    assert register.update(beat(9)) is HeartbeatResult.STALE
    assert register.current is None
    assert register.update(beat(1, born=200)) is HeartbeatResult.CHANGED


def test_a_leave_without_a_start_ends_every_start_until_now():
    # As above, but the upstream does not tell when it started. Compared by
    # its start of 0 the late heartbeat would look newer than the leave, and
    # callers would be sent to an upstream that ends.
    register = UpstreamTracker(ADDRESS)
    assert not register.leave('i1', 0, now=500)
    assert register.update(beat(9)) is HeartbeatResult.STALE
    assert register.current is None
    assert register.update(beat(1, born=501)) is HeartbeatResult.CHANGED


def test_a_leave_of_the_current_binds_while_the_clock_is_set_back():
    # The clock of the VM is set back behind the start of its upstream. Its
    # leave tells no start and must end it all the same.
    register = UpstreamTracker(ADDRESS)
    register.update(beat(1))
    assert register.leave('i1', 0, now=50)
    assert register.current.state is UpstreamState.GONE


def test_a_successor_under_the_same_id_begins_anew():
    # The upstream crashed and started again under its id; its numbers begin
    # at 1. A heartbeat of the crashed one, held up by a partition, comes
    # with a higher number and must not win.
    register = UpstreamTracker(ADDRESS)
    register.update(beat(50))
    assert register.update(beat(1, born=200)) is HeartbeatResult.CHANGED
    assert register.update(beat(51)) is HeartbeatResult.STALE
    assert register.current.born == 200


def test_a_crashed_upstream_does_not_displace_another():
    register = UpstreamTracker(ADDRESS)
    register.update(beat(50))
    assert (
        register.update(beat(1, instance='i2', born=200))
        is HeartbeatResult.CHANGED
    )
    assert register.update(beat(51)) is HeartbeatResult.STALE
    assert register.current.instance == 'i2'


def test_a_heartbeat_from_elsewhere_is_none_of_the_own_upstream():
    register = UpstreamTracker('10.0.0.2:80')
    assert register.update(beat(1)) is HeartbeatResult.OTHER_ADDRESS
    assert register.current is None


def test_what_others_remember_of_a_drain_counts_after_a_restart():
    # The daemon acknowledged a drain, told the others and was killed. Its
    # successor hears a heartbeat from before the drain first.
    before = UpstreamTracker(ADDRESS)
    before.update(beat(1))
    before.update(beat(3, state=DRAINING))
    register = UpstreamTracker(ADDRESS)
    register.restore(before.current)
    assert register.update(beat(2)) is HeartbeatResult.STALE
    assert register.update(beat(4, state=DRAINING)) is HeartbeatResult.CHANGED


def test_what_others_remember_comes_second():
    register = UpstreamTracker(ADDRESS)
    before = UpstreamTracker(ADDRESS)
    before.update(beat(3, state=DRAINING))
    register.update(beat(2))
    register.restore(before.current)
    assert register.current.state is DRAINING


def test_what_is_known_already_is_no_news():
    # Others echo what this daemon told them. If each echo counted as a
    # change, it would be told again, and the echoes would never end.
    register = UpstreamTracker(ADDRESS)
    register.update(beat(3, state=DRAINING))
    assert not register.restore(register.current)


def test_a_restarted_daemon_goes_on_with_its_upstream():
    # All daemons were killed at once and their upstreams run on. Without
    # what the store remembers, no caller is served before the heartbeats.
    before = UpstreamTracker(ADDRESS)
    before.update(beat(3))
    register = UpstreamTracker(ADDRESS)
    assert register.restore(before.current)
    assert register.current.state is UpstreamState.READY
    assert register.update(beat(4)) is HeartbeatResult.UNCHANGED


def test_a_ready_memory_does_not_undo_what_is_known():
    before = UpstreamTracker(ADDRESS)
    before.update(beat(3))
    register = UpstreamTracker(ADDRESS)
    register.update(beat(4, state=DRAINING))
    assert not register.restore(before.current)
    assert register.current.state is DRAINING


def test_one_that_could_not_be_reached_comes_back_with_a_heartbeat():
    register = UpstreamTracker(ADDRESS)
    register.update(beat(1))
    register.mark_gone('i1')
    assert register.current.state is UpstreamState.GONE
    assert register.update(beat(2)) is HeartbeatResult.CHANGED
    assert register.current.state is UpstreamState.READY


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.builds(
            beat,
            st.integers(1, 6),
            born=st.sampled_from((100, 200)),
            state=st.sampled_from((UpstreamState.READY, DRAINING)),
        ),
    ),
)
def test_the_current_one_never_goes_back(beats):
    register = UpstreamTracker(ADDRESS)
    newest = (0, 0)
    for one in beats:
        register.update(one)
        order = (register.current.born, register.current.heartbeat)
        assert order >= newest
        newest = order
    if beats:
        assert newest == max((one.born, one.sequence) for one in beats)


LIMIT = RateLimit(2.3, 1000)


def test_a_limit_holds_for_one_start_of_an_upstream():
    """Guards against the limit of a start that has ended."""
    register = UpstreamTracker(ADDRESS)
    register.update(beat(1))
    register.set_limit(LIMIT)
    assert register.update(beat(2)) is HeartbeatResult.UNCHANGED
    assert register.current.limit == LIMIT
    register.update(beat(1, born=200))
    assert register.current.limit is None


def test_heartbeats_do_not_undo_a_leave_that_was_said_in_band():
    """Guards against work for an upstream whose heartbeats go on as ever."""
    register = UpstreamTracker(ADDRESS)
    register.update(beat(1))
    assert register.leave_in_band('i1', 100)
    assert not register.leave_in_band('i1', 100)
    assert register.update(beat(2)) is HeartbeatResult.STALE
    assert register.current.state is DRAINING
    assert register.update(beat(1, born=200)) is HeartbeatResult.CHANGED


def test_a_leave_in_band_of_another_start_means_nothing():
    register = UpstreamTracker(ADDRESS)
    register.update(beat(1, born=200))
    assert not register.leave_in_band('i1', 100)
    assert register.current.state is UpstreamState.READY


def test_a_leave_outlives_starts_of_the_daemon_in_series():
    """Guards against a second restart that forgets what the first recalled."""
    first = UpstreamTracker(ADDRESS)
    first.update(beat(7))
    first.leave_in_band('i1', 100)
    record = first.current
    for _ in range(3):
        next_start = UpstreamTracker(ADDRESS)
        assert next_start.restore(record)
        assert next_start.update(beat(9)) is HeartbeatResult.STALE
        record = next_start.current
        assert record.state is DRAINING


def test_a_leave_that_comes_after_the_first_heartbeat_counts():
    """Guards against a reminder that arrives late."""
    leaving = UpstreamTracker(ADDRESS)
    leaving.update(beat(7))
    leaving.leave_in_band('i1', 100)
    register = UpstreamTracker(ADDRESS)
    register.update(beat(8))
    assert register.restore(leaving.current)
    assert register.current.state is DRAINING
    assert register.update(beat(9)) is HeartbeatResult.STALE
    assert register.leave('i1', 100, now=0)
    assert register.current.state is UpstreamState.GONE
    assert not register.restore(leaving.current)
