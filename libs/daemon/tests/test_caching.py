"""Tables that are replaced on change are looked through once each."""

from verbenamill_daemon.caching import cache_last


def test_equal_table_that_is_another_object_is_looked_through_again():
    """A member left and another one of the same size came.

    A cache that compared sizes or kept the first answer would go on naming
    the old one as decider, and its evidence would go nowhere.
    """
    seen = []

    def find(table, wanted):
        seen.append(table)
        return table.get(wanted)

    look_up = cache_last(find)
    first = {'a': 1}
    assert [look_up(first, 'a') for _ in range(3)] == [1, 1, 1]
    assert seen == [first]
    assert look_up({'a': 2}, 'a') == 2
    assert look_up(first, 'b') is None
    assert len(seen) == 3
