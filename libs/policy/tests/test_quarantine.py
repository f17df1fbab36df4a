"""Suspicion, isolation and blocking of requests under which upstreams crash."""

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_policy.fingerprints import compute_fingerprint
from verbenamill_policy.quarantine import (
    BLOCK_AFTER,
    BLOCK_TIME,
    HOLD_TIME,
    MAX_BLOCK_TIME,
    MAX_CRASHES,
    MAX_RECORDS,
    SUSPICION_TIME,
    MergeResult,
    Quarantine,
    QuarantineStatus,
    Suspect,
)

FP = b'0123456789abcdef'
DEADLY = b'fedcba9876543210'
CLOCKS = {'now': 10.0, 'wall': 1000.0}


def record_crash(
    quarantine,
    *crashes,
    fingerprint=FP,
    alone=False,
    now=10.0,
    wall=1000.0,
):
    for crash in crashes:
        quarantine.record_crash(
            fingerprint,
            crash,
            about='GET shop/x',
            alone=alone,
            now=now,
            wall=wall,
        )


def block(quarantine, *, fingerprint=FP):
    record_crash(quarantine, 'a/1', 'b/1', fingerprint=fingerprint)
    record_crash(quarantine, 'c/1', fingerprint=fingerprint, alone=True)


def find_status(quarantine, fingerprint=FP, *, now=11.0, wall=1001.0):
    return quarantine.find_status(fingerprint, now=now, wall=wall)


def fingerprint_of(**changed):
    parts = {
        'method': b'GET',
        'host': b'shop.example',
        'target': b'/lookup/1',
        'caller': b'entries',
        'body': b'',
    }
    return compute_fingerprint(**(parts | changed))


def test_a_fingerprint_covers_everything_that_an_upstream_receives():
    # Harmless requests on the same path, from another caller or with another
    # body, must not be blocked together with a deadly one.
    distinct = {
        fingerprint_of(),
        fingerprint_of(method=b'POST'),
        fingerprint_of(host=b'other.example'),
        fingerprint_of(target=b'/lookup/1?a'),
        fingerprint_of(caller=b'catalog'),
        fingerprint_of(body=b'x'),
        fingerprint_of(target=b'/lookup/', caller=b'1entries'),
    }
    assert len(distinct) == 7
    assert fingerprint_of(host=b'SHOP.example') == fingerprint_of()


def test_a_request_is_blocked_after_three_crashes_and_the_hold_time():
    """Guards against a query of death that reaches a fourth upstream."""
    quarantine = Quarantine()
    assert quarantine.is_idle
    statuses = []
    for crash, alone in (('a/1', False), ('b/1', False), ('c/1', True)):
        record_crash(quarantine, crash, alone=alone)
        statuses.append(find_status(quarantine, now=10.1))
    assert statuses == [
        QuarantineStatus.SUSPECTED,
        QuarantineStatus.ISOLATED,
        QuarantineStatus.HELD,
    ]
    assert (
        find_status(quarantine, now=10 + HOLD_TIME) is QuarantineStatus.BLOCKED
    )


def test_a_request_in_flight_with_a_deadly_one_is_not_blocked():
    """Guards against blocking requests that were in flight at its crashes."""
    quarantine = Quarantine()
    for crash in ('a/1', 'b/1', 'c/1'):
        record_crash(quarantine, crash)
        record_crash(quarantine, crash, fingerprint=DEADLY)
    assert find_status(quarantine) is QuarantineStatus.ISOLATED
    assert find_status(quarantine, DEADLY) is QuarantineStatus.ISOLATED
    # The run is isolated, but the upstream runs the deadly request as well.
    record_crash(quarantine, 'd/1', alone=True)
    record_crash(quarantine, 'd/1', 'e/1', fingerprint=DEADLY, alone=True)
    assert find_status(quarantine) is QuarantineStatus.ISOLATED
    assert find_status(quarantine, DEADLY) is QuarantineStatus.BLOCKED
    record_crash(quarantine, 'f/1', alone=True)
    assert find_status(quarantine) is QuarantineStatus.BLOCKED


def test_one_crash_counts_once_for_any_number_of_copies():
    quarantine = Quarantine()
    record_crash(quarantine, *('a/1' for _ in range(14)))
    assert find_status(quarantine) is QuarantineStatus.SUSPECTED
    assert quarantine.may_retry(FP)


def test_a_request_that_completes_is_cleared():
    """Guards against blocking a popular request for crashes of others."""
    quarantine = Quarantine()
    block(quarantine)
    quarantine.mark_shared(FP)
    assert quarantine.record_completion(FP, **CLOCKS)
    assert find_status(quarantine) is QuarantineStatus.CLEAR
    assert quarantine.is_idle
    record_crash(quarantine, 'd/1')
    assert find_status(quarantine) is QuarantineStatus.SUSPECTED


def test_a_suspicion_that_was_not_shared_is_removed_when_cleared():
    quarantine = Quarantine()
    record_crash(quarantine, 'a/1')
    assert not quarantine.record_completion(FP, **CLOCKS)
    assert not len(quarantine)


def test_a_block_ends_with_one_run_and_is_longer_after_its_crash():
    """Guards against a permanent block, and against many runs after it."""
    quarantine = Quarantine()
    block(quarantine)
    end = 1000 + BLOCK_TIME
    assert find_status(quarantine, wall=end - 1) is QuarantineStatus.BLOCKED
    assert find_status(quarantine, wall=end + 1) is QuarantineStatus.ISOLATED
    assert not quarantine.may_retry(FP)
    record_crash(quarantine, 'd/1', wall=end + 1)
    assert find_status(quarantine, wall=end + 2) is QuarantineStatus.BLOCKED
    assert (
        find_status(quarantine, wall=end + 2 + BLOCK_TIME)
        is QuarantineStatus.BLOCKED
    )
    for number in range(20):
        record_crash(quarantine, f'e{number}/1', wall=end + 2)
    (record,) = quarantine
    assert record.block_time == MAX_BLOCK_TIME
    assert len(record.crashes) == MAX_CRASHES


def test_daemons_do_not_all_retry_at_the_same_time():
    first, last = Quarantine(block_jitter=0), Quarantine(block_jitter=0.5)
    for quarantine in (first, last):
        block(quarantine)
    wall = 1000 + BLOCK_TIME + 1
    assert find_status(first, wall=wall) is QuarantineStatus.ISOLATED
    assert find_status(last, wall=wall) is QuarantineStatus.BLOCKED


def test_a_clock_that_jumps_by_seconds_does_not_end_a_block():
    quarantine = Quarantine()
    block(quarantine)
    for jump in (-30, 30):
        assert (
            find_status(quarantine, wall=1000 + jump)
            is QuarantineStatus.BLOCKED
        )


def test_suspicions_expire_earlier_than_blocks():
    quarantine = Quarantine()
    record_crash(quarantine, 'a/1')
    block(quarantine, fingerprint=DEADLY)
    quarantine.sweep(wall=1000 + SUSPICION_TIME + 1)
    assert [one.fingerprint for one in quarantine] == [DEADLY]
    quarantine.sweep(wall=1000 + BLOCK_TIME + MAX_BLOCK_TIME + 1)
    assert not len(quarantine)
    assert quarantine.is_idle


def test_many_suspects_do_not_evict_a_block():
    """Guards against a caller with a million bodies that crash upstreams."""
    quarantine = Quarantine()
    block(quarantine)
    for number in range(3 * MAX_RECORDS):
        fingerprint = number.to_bytes(16, 'big')
        record_crash(
            quarantine, 'd/1', 'e/1', fingerprint=fingerprint, wall=2000
        )
    assert len(quarantine) == MAX_RECORDS
    assert find_status(quarantine) is QuarantineStatus.BLOCKED


def test_invalid_records_are_not_merged():
    quarantine = Quarantine()
    names = tuple(f'c{number}' for number in range(MAX_CRASHES + 1))
    for record in (
        Suspect(fingerprint=b'short', crashes=('a',)),
        Suspect(fingerprint=FP, crashes=names),
        Suspect(fingerprint=FP, crashes=('b', 'a')),
        Suspect(fingerprint=FP, crashes=('x' * 1000,)),
        Suspect(fingerprint=FP, crashes=('a',), about='x' * 1000),
        Suspect(fingerprint=FP, crashes=('a',), round=-1),
        Suspect(fingerprint=FP, crashes=('a',), alone=('b', 'a')),
    ):
        assert quarantine.merge(record, now=0) is MergeResult.KNOWN
    assert quarantine.is_idle


records = st.builds(
    Suspect,
    fingerprint=st.sampled_from([FP, DEADLY]),
    round=st.integers(0, 2),
    crashes=st.lists(
        st.sampled_from('abcdefghijkl'),
        max_size=MAX_CRASHES,
        unique=True,
    ).map(lambda names: tuple(sorted(names))),
    changed_at=st.integers(0, 5),
    alone=st.sampled_from([(), ('a',), ('a', 'b')]),
    about=st.sampled_from(['', 'GET shop/x']),
)


@settings(derandomize=True, max_examples=200)
@given(st.lists(records, max_size=8), st.randoms(use_true_random=False))
def test_records_merge_in_any_order_and_more_than_once(received, random):
    """Guards against daemons whose records never converge."""
    one, other = Quarantine(), Quarantine()
    for record in received:
        one.merge(record, now=0)
    shuffled = [*received, *received]
    random.shuffle(shuffled)
    for record in shuffled:
        other.merge(record, now=0)
    assert _content(one) == _content(other)
    assert one.digest == other.digest
    assert one.suspected_count == sum(bool(each.crashes) for each in one)


@settings(derandomize=True, max_examples=100)
@given(st.lists(records, max_size=4), records)
def test_the_merge_result_shows_which_side_lacks_something(received, record):
    quarantine = Quarantine()
    for each in received:
        quarantine.merge(each, now=0)
    before = _content(quarantine)
    result = quarantine.merge(record, now=0)
    assert (result is MergeResult.CHANGED) == (_content(quarantine) != before)
    known = quarantine.get(record.fingerprint)
    if result is MergeResult.KNOWN:
        assert known == record
    if known.round == record.round:
        assert set(known.crashes) >= set(record.crashes[:BLOCK_AFTER]) or (
            len(known.crashes) == MAX_CRASHES
        )


def _content(quarantine):
    return {one.fingerprint: msgspec.to_builtins(one) for one in quarantine}
