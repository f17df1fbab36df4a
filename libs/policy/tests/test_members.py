"""Member tables keep the newest record, in any order of arrival."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_policy.members import MemberRecord, MemberTable


def make_record(vm, incarnation=1, sequence=0, *, calls=None):
    return MemberRecord(
        vm=vm,
        incarnation=incarnation,
        sequence=sequence,
        availability_zone='z',
        calls=calls or f'{vm}:1',
        gossip=f'{vm}:2',
    )


records = st.lists(
    st.builds(
        make_record,
        st.sampled_from(('a', 'b', 'c')),
        st.integers(1, 3),
        st.integers(0, 3),
    ),
)


@settings(derandomize=True, deadline=None)
@given(records, st.randoms(use_true_random=False))
def test_order_and_duplicates_of_records_do_not_matter(received, random):
    one = MemberTable()
    for record in received:
        one.merge(record)
    other = MemberTable()
    shuffled = [*received, *received]
    random.shuffle(shuffled)
    for record in shuffled:
        other.merge(record)
    assert set(one) == set(other)
    assert one.digests == other.digests


def test_an_older_record_changes_nothing():
    table = MemberTable()
    assert table.merge(make_record('a', 2, 1))
    assert not table.merge(make_record('a', 2, 0))
    assert not table.merge(make_record('a', 1, 9))
    assert not table.merge(make_record('a', 2, 1))
    assert table.get('a').revision == (2, 1)


def test_a_reused_address_belongs_to_the_daemon_that_started_last():
    # A VM terminates and its address is assigned to another one. A request for
    # the first daemon would reach the second, which runs another service. The
    # first daemon therefore has to leave the table, even if an update about it
    # arrives late.
    table = MemberTable()
    table.merge(make_record('old', 1, 5, calls='10.0.0.1:1'))
    assert table.merge(make_record('new', 2, 0, calls='10.0.0.1:1'))
    assert table.get('old') is None
    assert not table.merge(make_record('old', 1, 6, calls='10.0.0.1:1'))
    assert [record.vm for record in table] == ['new']


def test_bucket_digests_find_the_buckets_that_differ():
    random = Random(7)
    one = MemberTable()
    other = MemberTable()
    for number in range(300):
        record = make_record(f'vm{number}')
        one.merge(record)
        if random.random() < 0.99:
            other.merge(record)
    assert one.digests != other.digests
    differing = [
        bucket
        for bucket, pair in enumerate(
            zip(
                one.bucket_digests('z'), other.bucket_digests('z'), strict=True
            ),
        )
        if pair[0] != pair[1]
    ]
    missing = {record.vm for record in one} - {record.vm for record in other}
    sent = {record.vm for record in one.in_buckets('z', differing)}
    assert missing
    assert missing <= sent
    assert len(sent) < 100


def test_a_record_that_cannot_be_encoded_changes_nothing():
    """Guards against a member without a checksum, which cannot be removed."""
    table = MemberTable()
    assert table.merge(make_record('vm1', 1))
    digests = table.digests
    with pytest.raises(OverflowError):
        table.merge(make_record('vm1', 1 << 64))
    assert [record.incarnation for record in table] == [1]
    assert table.digests == digests
    table.drop('vm1')
    assert not table.digests
