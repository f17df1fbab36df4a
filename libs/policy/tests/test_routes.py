"""Longest prefix match by host, and splits by weight."""

from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_policy.routes import (
    Configuration,
    Limits,
    Route,
    RouteKind,
    RouteTable,
    Split,
    SplitCounter,
)


def make_route(name, prefix, *, host='a.example', splits=(Split('s', 1),)):
    return Route(
        name=name,
        host=host,
        prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        timeout=1,
        objective=0.3,
        priority=0,
        max_attempts=2,
        splits=splits,
    )


def make_table(*routes):
    return RouteTable(
        Configuration(
            version=1,
            routes=routes,
            services=frozenset(('s',)),
            limits=Limits(),
        ),
    )


def find(table, host, target):
    route = table.find(host, target)
    return None if route is None else route.name


def test_longest_prefix_of_the_host_wins():
    table = make_table(
        make_route('root', '/'),
        make_route('short', '/a/'),
        make_route('long', '/a/b/'),
        make_route('other', '/a/b/c/', host='b.example'),
    )
    assert find(table, b'a.example', b'/a/b/c/d') == 'long'
    assert find(table, b'a.example', b'/a/x?/a/b/') == 'short'
    assert find(table, b'A.example:80', b'/ab/') == 'root'
    assert find(table, b'b.example', b'/a/b/x') is None
    assert find(table, b'c.example', b'/a/') is None


def test_a_prefix_matches_only_with_its_last_slash():
    table = make_table(make_route('one', '/a/'))
    assert find(table, b'a.example', b'/a') is None
    assert find(table, b'a.example', b'/ab') is None
    assert find(table, b'a.example', b'/a/') == 'one'


paths = st.lists(st.sampled_from('abc'), max_size=4).map(
    lambda parts: '/'.join(('', *parts, '')),
)


@settings(derandomize=True, deadline=None)
@given(st.sets(paths, min_size=1), paths, st.sampled_from(('', 'x', 'a')))
def test_the_table_agrees_with_a_linear_search(prefixes, path, last):
    table = make_table(*(make_route(each, each) for each in prefixes))
    target = path + last
    matching = [each for each in prefixes if target.startswith(each)]
    expected = max(matching, key=len) if matching else None
    assert find(table, b'a.example', target.encode()) == expected


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(1, 100), min_size=2, max_size=4))
def test_each_service_of_a_split_stays_close_to_its_weight(weights):
    splits = tuple(
        Split(f's{index}', weight) for index, weight in enumerate(weights)
    )
    route = make_route('one', '/', splits=splits)
    counter = SplitCounter()
    counts = dict.fromkeys((split.service for split in splits), 0)
    for number in range(1, 200):
        counts[counter.pick(route)] += 1
        for split in splits:
            due = number * split.weight / sum(weights)
            assert abs(counts[split.service] - due) < len(splits)
