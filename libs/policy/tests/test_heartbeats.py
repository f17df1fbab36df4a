"""Delayed, repeated and unrelated heartbeats of the local upstream."""

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


def test_a_delayed_heartbeat_does_not_undo_a_drain():
    # The upstream announces that it drains, and the daemon acknowledges it.
    # Then an earlier heartbeat arrives. If it counted, callers would be sent
    # to an upstream that is about to terminate.
    tracker = UpstreamTracker(ADDRESS)
    assert tracker.update(beat(1)) is HeartbeatResult.CHANGED
    assert tracker.update(beat(3, state=DRAINING)) is HeartbeatResult.CHANGED
    assert tracker.update(beat(2)) is HeartbeatResult.STALE
    assert tracker.current.state is DRAINING


def test_a_delayed_heartbeat_does_not_undo_a_shutdown():
    tracker = UpstreamTracker(ADDRESS)
    tracker.update(beat(1))
    assert tracker.leave('i1', 0, now=500)
    assert tracker.update(beat(9)) is HeartbeatResult.STALE
    assert tracker.current.state is UpstreamState.GONE


def test_a_shutdown_before_any_heartbeat_is_remembered():
    # The daemon has just restarted and knows no upstream. The upstream
    # announces its shutdown, and the daemon acknowledges it. Then an earlier
    # heartbeat arrives. If it counted, callers would be sent to an upstream
    # that terminates.
    tracker = UpstreamTracker(ADDRESS)
    assert not tracker.leave('i1', 100, now=500)
    assert tracker.update(beat(9)) is HeartbeatResult.STALE
    assert tracker.current.state is UpstreamState.GONE
    assert tracker.current.has_left
    assert tracker.update(beat(1, born=200)) is HeartbeatResult.CHANGED


def test_a_shutdown_without_a_start_time_ends_every_start_until_now():
    # As above, but the upstream does not state its start time. Compared with a
    # start time of 0, the delayed heartbeat would appear newer than the
    # shutdown, and callers would be sent to an upstream that terminates.
    tracker = UpstreamTracker(ADDRESS)
    assert not tracker.leave('i1', 0, now=500)
    assert tracker.update(beat(9)) is HeartbeatResult.STALE
    assert tracker.current is None
    assert tracker.update(beat(1, born=501)) is HeartbeatResult.CHANGED


def test_a_shutdown_counts_while_the_clock_is_set_back():
    # The clock of the VM is set back to before the start of its upstream. The
    # shutdown notice states no start time, and must still end the upstream.
    tracker = UpstreamTracker(ADDRESS)
    tracker.update(beat(1))
    assert tracker.leave('i1', 0, now=50)
    assert tracker.current.state is UpstreamState.GONE


def test_a_successor_with_the_same_id_has_its_own_numbers():
    # The upstream crashed and restarted with the same id, and its heartbeat
    # numbers restart at 1. A heartbeat of the crashed process, delayed by a
    # partition, has a higher number and must not replace the successor.
    tracker = UpstreamTracker(ADDRESS)
    tracker.update(beat(50))
    assert tracker.update(beat(1, born=200)) is HeartbeatResult.CHANGED
    assert tracker.update(beat(51)) is HeartbeatResult.STALE
    assert tracker.current.born == 200


def test_a_crashed_upstream_does_not_replace_its_successor():
    tracker = UpstreamTracker(ADDRESS)
    tracker.update(beat(50))
    assert (
        tracker.update(beat(1, instance='i2', born=200))
        is HeartbeatResult.CHANGED
    )
    assert tracker.update(beat(51)) is HeartbeatResult.STALE
    assert tracker.current.instance == 'i2'


def test_a_heartbeat_with_another_address_is_ignored():
    tracker = UpstreamTracker('10.0.0.2:80')
    assert tracker.update(beat(1)) is HeartbeatResult.OTHER_ADDRESS
    assert tracker.current is None


def test_a_drain_is_restored_after_a_restart():
    # The daemon acknowledged a drain, announced it to the others and was
    # killed. The restarted daemon first gets a heartbeat from before the drain.
    before = UpstreamTracker(ADDRESS)
    before.update(beat(1))
    before.update(beat(3, state=DRAINING))
    tracker = UpstreamTracker(ADDRESS)
    tracker.restore(before.current)
    assert tracker.current == before.current
    assert tracker.update(beat(2)) is HeartbeatResult.STALE
    assert tracker.update(beat(4, state=DRAINING)) is HeartbeatResult.UNCHANGED
    assert tracker.current.state is DRAINING


def test_a_drain_is_restored_after_the_first_heartbeat():
    tracker = UpstreamTracker(ADDRESS)
    before = UpstreamTracker(ADDRESS)
    before.update(beat(3, state=DRAINING))
    tracker.update(beat(2))
    tracker.restore(before.current)
    assert tracker.current.state is DRAINING


def test_restoring_the_current_record_changes_nothing():
    # Other daemons send back what this daemon announced. If each echo counted
    # as a change, it would be announced again, and the echoes would never end.
    tracker = UpstreamTracker(ADDRESS)
    tracker.update(beat(3, state=DRAINING))
    assert not tracker.restore(tracker.current)


def test_a_restarted_daemon_continues_with_its_upstream():
    # All daemons were killed at once while their upstreams kept running.
    # Without the record in the store, no caller is served before the next
    # heartbeats.
    before = UpstreamTracker(ADDRESS)
    before.update(beat(3))
    tracker = UpstreamTracker(ADDRESS)
    assert tracker.restore(before.current)
    assert tracker.current.state is UpstreamState.READY
    assert tracker.update(beat(4)) is HeartbeatResult.UNCHANGED


def test_a_restored_ready_state_does_not_override_a_heartbeat():
    before = UpstreamTracker(ADDRESS)
    before.update(beat(3))
    tracker = UpstreamTracker(ADDRESS)
    tracker.update(beat(4, state=DRAINING))
    assert not tracker.restore(before.current)
    assert tracker.current.state is DRAINING


def test_an_unreachable_upstream_is_ready_again_after_a_heartbeat():
    tracker = UpstreamTracker(ADDRESS)
    tracker.update(beat(1))
    tracker.mark_gone('i1')
    assert tracker.current.state is UpstreamState.GONE
    assert tracker.update(beat(2)) is HeartbeatResult.CHANGED
    assert tracker.current.state is UpstreamState.READY


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
def test_the_current_upstream_is_never_replaced_by_an_older_one(beats):
    tracker = UpstreamTracker(ADDRESS)
    newest = (0, 0)
    for one in beats:
        tracker.update(one)
        order = (tracker.current.born, tracker.current.heartbeat)
        assert order >= newest
        newest = order
    if beats:
        assert newest == max((one.born, one.sequence) for one in beats)


LIMIT = RateLimit(2.3, 1000)


def test_a_rate_limit_applies_to_one_start_of_an_upstream():
    """Guards against the rate limit of a start that has ended."""
    tracker = UpstreamTracker(ADDRESS)
    tracker.update(beat(1))
    tracker.set_limit(LIMIT)
    assert tracker.update(beat(2)) is HeartbeatResult.UNCHANGED
    assert tracker.current.limit == LIMIT
    tracker.update(beat(1, born=200))
    assert tracker.current.limit is None


def test_heartbeats_do_not_undo_a_shutdown_announced_in_band():
    """Guards against requests to an upstream whose heartbeats continue."""
    tracker = UpstreamTracker(ADDRESS)
    tracker.update(beat(1))
    assert tracker.leave_in_band('i1', 100)
    assert not tracker.leave_in_band('i1', 100)
    assert tracker.update(beat(2)) is HeartbeatResult.STALE
    assert tracker.current.state is DRAINING
    assert tracker.update(beat(1, born=200)) is HeartbeatResult.CHANGED


def test_an_in_band_shutdown_of_another_start_is_ignored():
    tracker = UpstreamTracker(ADDRESS)
    tracker.update(beat(1, born=200))
    assert not tracker.leave_in_band('i1', 100)
    assert tracker.current.state is UpstreamState.READY


def test_a_shutdown_survives_several_restarts_of_the_daemon():
    """Guards against a second restart that loses what the first restored."""
    first = UpstreamTracker(ADDRESS)
    first.update(beat(7))
    first.leave_in_band('i1', 100)
    record = first.current
    for _ in range(3):
        restarted = UpstreamTracker(ADDRESS)
        assert restarted.restore(record)
        assert restarted.update(beat(9)) is HeartbeatResult.STALE
        record = restarted.current
        assert record.state is DRAINING


def test_a_shutdown_is_restored_after_the_first_heartbeat():
    """Guards against a record of other daemons that arrives late."""
    leaving = UpstreamTracker(ADDRESS)
    leaving.update(beat(7))
    leaving.leave_in_band('i1', 100)
    tracker = UpstreamTracker(ADDRESS)
    tracker.update(beat(8))
    assert tracker.restore(leaving.current)
    assert tracker.current.state is DRAINING
    assert tracker.update(beat(9)) is HeartbeatResult.STALE
    assert tracker.leave('i1', 100, now=0)
    assert tracker.current.state is UpstreamState.GONE
    assert not tracker.restore(leaving.current)
