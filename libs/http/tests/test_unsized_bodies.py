"""Memory for bodies of unknown length is limited, and shared fairly."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_http.unsized_bodies import UnsizedBodies

LIMIT = 1000


def test_an_endless_body_does_not_displace_a_short_one():
    """Guards against a sound response that is given up for an endless one."""
    bodies = UnsizedBodies(LIMIT)
    assert bodies.hold('endless', 990)
    assert bodies.hold('short', 100)
    assert not bodies.hold('endless', 1000)
    bodies.release('endless')
    assert bodies.hold('short', 900)


def test_a_released_body_takes_no_memory():
    bodies = UnsizedBodies(LIMIT)
    for number in range(10):
        assert bodies.hold(number, LIMIT)
        bodies.release(number)
        bodies.release(number)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 7), min_size=1, max_size=200))
def test_held_bodies_stay_near_the_limit(readers):
    bodies = UnsizedBodies(LIMIT)
    sizes = {}
    for reader in readers:
        sizes[reader] = sizes.get(reader, 0) + 100
        if not bodies.hold(reader, sizes[reader]):
            bodies.release(reader)
            sizes.pop(reader)
    # Each of the others may have added one part since the limit was reached.
    assert sum(sizes.values()) <= LIMIT + 8 * 100
