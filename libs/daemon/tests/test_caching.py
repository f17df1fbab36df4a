"""Tests of the cache for tables that are replaced on every change."""

from verbenamill_daemon.caching import cache_last


def test_replaced_table_of_the_same_size_is_scanned_again():
    """A table is replaced by one of the same size, with another member.

    A cache that compared sizes or kept its first result would still name the
    departed member as decider, and evidence sent to it would be lost.
    """
    scanned = []

    def find(table, key):
        scanned.append(table)
        return table.get(key)

    find_cached = cache_last(find)
    first = {'a': 1}
    assert [find_cached(first, 'a') for _ in range(3)] == [1, 1, 1]
    assert scanned == [first]
    assert find_cached({'a': 2}, 'a') == 2
    assert find_cached(first, 'b') is None
    assert len(scanned) == 3
