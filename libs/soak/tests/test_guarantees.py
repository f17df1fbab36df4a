"""The checker reports violated guarantees and no others."""

from functools import partial

import pytest
import trio
from trio.testing import MockClock

from verbenamill_platform_standins import StoreStandIn
from verbenamill_platform_standins.operators import (
    COMPLETE,
    ROLLED_BACK,
    RolloutStatus,
    write_status,
)
from verbenamill_platform_standins.upstream import Arrival, Execution
from verbenamill_soak.callers import (
    DEADLINE_S,
    GUEST,
    MEMBER,
    MEMBER_KEY,
    Outcome,
    RequestRecord,
)
from verbenamill_soak.cluster import (
    GUEST_KEY_VERSIONS,
    SERVICE,
    RolloutOrder,
)
from verbenamill_soak.guarantees import ROLLBACK_LIMIT_S, GuaranteeChecker
from verbenamill_soak.keys import KEY_LIMIT_S
from verbenamill_soak.relays import LinkControl, LinkMode
from verbenamill_soak.timeline import Timeline
from verbenamill_soak.upstreams import DEADLY_PATH, DRAIN_TIME_S, Upstream


class FakeCaller:
    """A caller whose records a test supplies."""

    def __init__(self):
        self.records = []


class FakeNode:
    """A VM whose daemon runs without faults."""

    def __init__(self, name):
        self.name = name
        self.upstreams = [
            Upstream(instance=f'i-{name}-0'),
            Upstream(instance=f'i-{name}-1'),
        ]
        self.last_disrupted_at = float('-inf')
        self.daemon_starts = 1
        self.is_paused = False
        self.has_ended = False
        self.is_expected_to_end = False
        self.log = None
        self.peer_link = LinkControl()
        self.upstream_link = LinkControl()


class FakeCluster:
    """A cluster whose records a test supplies."""

    def __init__(self):
        self.timeline = Timeline()
        self.store = StoreStandIn()
        self.nodes = [FakeNode('vm0'), FakeNode('vm1')]
        self.callers = [FakeCaller()]
        self.published = {1: -100.0}
        self.orders = {}
        self.fault_free = True

    def is_fault_free(self, node, since):
        return self.fault_free

    def execute(self, id, *, vm=0, place=0, at=1.0):
        execution = Execution(
            id=id, method='GET', path='/', body=b'', headers={}, at=at
        )
        self.nodes[vm].upstreams[place].executions.append(execution)

    def record(self, id, **overrides):
        body = overrides.pop('body', f'answer to {id}'.encode())
        fields = {
            'id': id,
            'vm': 'vm0',
            'daemon_start': 1,
            'path': '/lookup/',
            'is_fee': False,
            'sent_at': 1.0,
            'ended_at': 1.1,
            'outcome': Outcome.ANSWERED,
            'status': 200,
            'body': body,
            'seal': b's',
        }
        self.callers[0].records.append(RequestRecord(**(fields | overrides)))

    def set_status(self, order, state):
        write_status(self.store, SERVICE, RolloutStatus(order, state))


@pytest.fixture
def find_violations():
    """Return a function that names the guarantees violated by a scenario."""

    def find(scenario):
        async def main():
            cluster = FakeCluster()
            checker = GuaranteeChecker(cluster)
            scenario(cluster)
            checker.check()
            checker.check()
            return [one.promise for one in cluster.timeline.violations]

        return trio.run(main, clock=MockClock())

    return find


def test_a_good_answer_breaks_nothing(find_violations):
    def scenario(cluster):
        cluster.execute('a')
        cluster.record('a', is_fee=True)

    assert find_violations(scenario) == []


def test_an_answer_to_another_request(find_violations):
    assert find_violations(
        lambda cluster: cluster.record('a', body=b'answer to b')
    ) == [
        'the own whole answer',
    ]


def test_a_cut_answer_that_looks_whole(find_violations):
    assert find_violations(
        lambda cluster: cluster.record('a', body=b'answer')
    ) == [
        'the own whole answer',
    ]


def test_a_fee_that_was_executed_twice(find_violations):
    def scenario(cluster):
        cluster.record('a', is_fee=True)
        cluster.execute('a')
        cluster.execute('a', place=1)

    assert find_violations(scenario) == ['at most once']


def test_a_lookup_may_be_executed_twice(find_violations):
    def scenario(cluster):
        cluster.record('a')
        cluster.execute('a')
        cluster.execute('a', place=1)

    assert find_violations(scenario) == []


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_a_refused_fee_that_was_executed(find_violations, status):
    def scenario(cluster):
        cluster.record('a', is_fee=True, status=status)
        cluster.execute('a')

    assert find_violations(scenario) == ['not run is true']


def test_a_refused_fee_that_is_executed_later(find_violations):
    # The checker sees the refusal first and the execution later.
    async def main():
        cluster = FakeCluster()
        checker = GuaranteeChecker(cluster)
        cluster.record('a', is_fee=True, status=503)
        checker.check()
        assert cluster.timeline.violations == []
        cluster.execute('a')
        checker.check()
        return [one.promise for one in cluster.timeline.violations]

    assert trio.run(main, clock=MockClock()) == ['not run is true']


def test_a_request_after_an_acknowledged_leave(find_violations):
    def scenario(cluster):
        cluster.nodes[0].upstreams[0].leave_acknowledged_at = 10
        cluster.execute('a', at=10 + DRAIN_TIME_S - 0.1)
        cluster.execute('b', at=10 + DRAIN_TIME_S + 0.1)

    assert find_violations(scenario) == ['who leaves gets no work']


def test_an_executed_request_whose_connection_was_lost(find_violations):
    def scenario(cluster):
        cluster.execute('a')
        cluster.record('a', outcome=Outcome.CUT, status=0)

    assert find_violations(scenario) == ['nothing is cut']


def test_a_lost_connection_after_a_kill_or_without_execution(find_violations):
    def scenario(cluster):
        cluster.nodes[0].last_disrupted_at = 1.05
        cluster.execute('a')
        cluster.record('a', outcome=Outcome.CUT, status=0)
        cluster.record('b', outcome=Outcome.CUT, status=0, sent_at=1.06)

    assert find_violations(scenario) == []


def test_no_answer(find_violations):
    def scenario(cluster):
        cluster.record('a', outcome=Outcome.NO_ANSWER, status=0)

    assert find_violations(scenario) == ['an answer in time']


def test_a_false_404(find_violations):
    assert find_violations(lambda cluster: cluster.record('a', status=404)) == [
        'no false 404'
    ]


def test_a_configuration_that_reverts_to_an_older_one(find_violations):
    def scenario(cluster):
        cluster.fault_free = False
        cluster.published = {1: -100.0, 2: 0.5}
        cluster.record('a', path='/v2/')
        cluster.record('b', path='/v2/', status=404, sent_at=1.2, ended_at=1.3)

    assert find_violations(scenario) == ['never back']


def test_a_restarted_daemon_may_lack_the_newest_configuration(find_violations):
    def scenario(cluster):
        cluster.fault_free = False
        cluster.published = {1: -100.0, 2: 0.5}
        cluster.record('a', path='/v2/')
        cluster.record(
            'b',
            path='/v2/',
            status=404,
            sent_at=1.2,
            ended_at=1.3,
            daemon_start=2,
        )

    assert find_violations(scenario) == []


def test_a_configuration_that_is_late(find_violations):
    def scenario(cluster):
        cluster.published = {1: -100.0, 2: 0.5}
        cluster.record('a', path='/v2/', status=404, sent_at=2.4, ended_at=2.45)
        cluster.record('b', path='/v2/', status=404, sent_at=2.6, ended_at=2.65)

    assert find_violations(scenario) == ['in force in time']


def test_a_route_that_was_dropped_may_be_missing(find_violations):
    def scenario(cluster):
        cluster.published = {number: -100.0 for number in range(1, 9)}
        cluster.record('a', path='/v1/', status=404)

    assert find_violations(scenario) == []


def test_a_daemon_that_ends_by_itself(find_violations):
    def scenario(cluster):
        cluster.nodes[0].has_ended = True

    assert find_violations(scenario) == ['a daemon ends only when told']


def test_two_verdicts(find_violations):
    def scenario(cluster):
        cluster.orders = {3: RolloutOrder('v2', False)}
        cluster.set_status(3, 'running')
        cluster.set_status(3, COMPLETE)
        cluster.set_status(3, ROLLED_BACK)

    assert find_violations(scenario) == ['one verdict']


def test_a_bad_version_that_is_reported_complete(find_violations):
    def scenario(cluster):
        cluster.orders = {3: RolloutOrder('v2', True)}
        cluster.set_status(3, COMPLETE)

    assert find_violations(scenario) == ['bad is not done']


def test_a_rolled_back_version_that_still_gets_requests(find_violations):
    def scenario(cluster):
        cluster.orders = {3: RolloutOrder('v2', True)}
        cluster.nodes[0].upstreams[1].version = 'v2'
        cluster.set_status(3, ROLLED_BACK)

    async def main():
        cluster = FakeCluster()
        checker = GuaranteeChecker(cluster)
        scenario(cluster)
        checker.check()
        verdict = trio.current_time()
        cluster.execute('a', place=1, at=verdict + ROLLBACK_LIMIT_S - 0.1)
        cluster.execute('b', place=0, at=verdict + ROLLBACK_LIMIT_S + 0.1)
        checker.check()
        assert cluster.timeline.violations == []
        cluster.execute('c', place=1, at=verdict + ROLLBACK_LIMIT_S + 0.1)
        checker.check()
        return [one.promise for one in cluster.timeline.violations]

    assert trio.run(main, clock=MockClock()) == [
        'a version taken back gets nothing',
    ]


def abandon_request(cluster, **overrides):
    """Record a request that vm0 gave up while an upstream of vm1 ran it."""
    cluster.execute('a', vm=1)
    cluster.record('a', **({'status': 502, 'body': b''} | overrides))


@pytest.mark.parametrize('status', [502, 504])
def test_a_request_given_up_while_an_upstream_is_at_work(
    find_violations, status
):
    # The caller gets an error 0.1 s after it sent the request, although an
    # upstream is executing it and no daemon was disrupted.
    assert find_violations(
        lambda cluster: abandon_request(cluster, status=status)
    ) == [
        'no work is given up',
    ]


@pytest.mark.parametrize(
    ('status', 'after'),
    [(502, DEADLINE_S - 0.011), (504, DEADLINE_S - 0.31)],
)
def test_a_request_given_up_shortly_before_its_deadline(
    find_violations, status, after
):
    def scenario(cluster):
        abandon_request(cluster, status=status, ended_at=1 + after)

    assert find_violations(scenario) == ['no work is given up']


@pytest.mark.parametrize(
    ('status', 'after'),
    [
        (502, DEADLINE_S - 0.009),
        (504, DEADLINE_S - 0.29),
        (504, DEADLINE_S + 0.01),
    ],
)
def test_a_request_at_its_deadline(find_violations, status, after):
    def scenario(cluster):
        abandon_request(cluster, status=status, ended_at=1 + after)

    assert find_violations(scenario) == []


def test_a_request_given_up_before_its_execution(find_violations):
    def scenario(cluster):
        cluster.record('a', status=502)
        # The upstream starts it only after the response, which is covered by
        # another guarantee.
        cluster.record('b', status=502)
        cluster.execute('b', vm=1, at=1.2)

    assert find_violations(scenario) == []


def kill_daemon(node):
    node.last_disrupted_at = -1.9


def kill_long_before(node):
    node.last_disrupted_at = -2.1


def pause_daemon(node):
    node.is_paused = True


def silence_link(node):
    node.peer_link.set_mode(LinkMode.SILENT)


def silence_and_restore(node):
    node.peer_link.set_mode(LinkMode.SILENT)
    node.peer_link.set_mode(LinkMode.OPEN)


def reset_link(node):
    node.peer_link.reset()


def reset_upstream_link(node):
    node.upstream_link.reset()


def terminate_upstream(node):
    node.upstreams[0].terminated_at = 1.05


def make_upstream_fail(node):
    node.upstreams[0].fails_requests = True


def hold_link(node):
    node.peer_link.set_holding(is_holding=True)
    node.peer_link.delay = 1.0


def acknowledge_leave(node):
    node.upstreams[0].leave_acknowledged_at = 1.0
    node.is_expected_to_end = True


def terminate_other_upstream(node):
    node.upstreams[1].terminated_at = 1.05


@pytest.mark.parametrize('vm', [0, 1])
@pytest.mark.parametrize(
    'disrupt',
    [kill_daemon, pause_daemon, silence_link, silence_and_restore, reset_link],
)
def test_a_request_given_up_after_a_disruption_of_its_daemons(
    find_violations, disrupt, vm
):
    def scenario(cluster):
        disrupt(cluster.nodes[vm])
        abandon_request(cluster)

    assert find_violations(scenario) == []


@pytest.mark.parametrize(
    'disrupt',
    [reset_upstream_link, terminate_upstream, make_upstream_fail],
)
def test_a_request_given_up_after_a_fault_of_its_upstream(
    find_violations, disrupt
):
    def scenario(cluster):
        disrupt(cluster.nodes[1])
        abandon_request(cluster)

    assert find_violations(scenario) == []


@pytest.mark.parametrize('vm', [0, 1])
@pytest.mark.parametrize(
    'fault',
    [
        hold_link,
        acknowledge_leave,
        terminate_other_upstream,
        kill_long_before,
    ],
)
def test_faults_that_do_not_excuse_giving_up_a_request(
    find_violations, fault, vm
):
    # Held peer links, planned stops, acknowledged leaves, and disruptions of
    # other processes or from long before.
    def scenario(cluster):
        fault(cluster.nodes[vm])
        abandon_request(cluster)

    assert find_violations(scenario) == ['no work is given up']


def test_a_disruption_elsewhere_does_not_excuse_giving_up(find_violations):
    # Two upstreams executed it. The daemon of the first was killed, the daemon
    # of the second was not disrupted.
    def scenario(cluster):
        kill_daemon(cluster.nodes[1])
        cluster.nodes.append(FakeNode('vm2'))
        cluster.execute('a', vm=2)
        abandon_request(cluster)

    assert find_violations(scenario) == ['no work is given up']


def run_deadly_request(cluster, *times):
    upstream = cluster.nodes[0].upstreams[0]
    upstream.deadly_crash_times = [1.0, 1.1, 1.2]
    for place, at in enumerate(times):
        execution = Execution(f'vm0-7-{place}', 'GET', DEADLY_PATH, b'', {}, at)
        upstream.executions.append(execution)


def test_a_deadly_request_that_is_not_blocked(find_violations):
    assert not find_violations(
        lambda cluster: run_deadly_request(
            cluster, 1, 1.1, 1.2, 4.1, 4.3, 4.4, 4.5
        ),
    )
    found = find_violations(
        lambda cluster: run_deadly_request(
            cluster, 1, 1.1, 1.2, 4.3, 4.4, 4.5, 5
        )
    )
    assert found == ['a deadly request is stopped']


def test_a_deadly_request_at_daemons_with_faults(find_violations):
    def scenario(cluster):
        cluster.fault_free = False
        run_deadly_request(cluster, 1, 1.1, 1.2, 4.3, 4.4, 4.5, 5, 6, 7)

    assert find_violations(scenario) == []


def test_a_harmless_request_that_is_blocked(find_violations):
    reason = b'upstreams crashed under this request'
    for target, found in (
        (DEADLY_PATH, []),
        ('/lookup/popular', ['only a deadly request is blocked']),
    ):
        assert found == find_violations(
            partial(
                FakeCluster.record,
                id='a',
                status=503,
                body=reason,
                target=target,
            ),
        )


def deliver(
    cluster, count, *, vm=0, interval=0.1, since=20.0, born=100, **signals
):
    """Record requests of one caller that an upstream receives and answers."""
    upstream = cluster.nodes[vm].upstreams[0]
    for number in range(count):
        at = since + number * interval
        id = f'vm1-{born}-{since}-{number}'
        fields = [('x-tenant', MEMBER)]
        arrival = Arrival(id, at, born, header_fields=fields, **signals)
        upstream.arrivals.append(arrival)
        cluster.record(id, vm='vm1', sent_at=at, ended_at=at + 0.01)


def announce_limit(cluster, rate, *, until=None):
    """Let an upstream announce a limit from the start."""
    limit_history = cluster.nodes[0].upstreams[0].limit_history
    limit_history.append((0.0, rate))
    if until is not None:
        limit_history.append((until, None))


def test_a_limit_that_is_exceeded(find_violations):
    def scenario(cluster):
        announce_limit(cluster, 2)
        deliver(cluster, 1, since=1.0, limit=2)
        deliver(cluster, 100, limit=2)

    assert find_violations(scenario) == ['a named limit is kept']


def test_a_limit_that_is_kept(find_violations):
    def scenario(cluster):
        announce_limit(cluster, 2)
        deliver(cluster, 1, since=1.0, limit=2)
        deliver(cluster, 100, interval=0.3, limit=2)

    assert not find_violations(scenario)


@pytest.mark.parametrize('excuse', ['ended', 'untold', 'harmed', 'cut'])
def test_a_limit_that_does_not_bind(find_violations, excuse):
    def scenario(cluster):
        announce_limit(cluster, 2, until=15.0 if excuse == 'ended' else None)
        if excuse != 'untold':
            deliver(cluster, 1, since=1.0, limit=2)
        if excuse == 'harmed':
            cluster.nodes[1].last_disrupted_at = 100.0
        if excuse == 'cut':
            cluster.nodes[1].peer_link.set_mode(LinkMode.REFUSED)
        deliver(cluster, 100, limit=None if excuse == 'untold' else 2)

    assert not find_violations(scenario)


def test_a_request_after_a_leave_in_band(find_violations):
    def scenario(cluster):
        deliver(cluster, 1, since=1.0, signals_leaving=True)
        deliver(
            cluster, 1, since=1.0 + DRAIN_TIME_S + 0.1, signals_leaving=True
        )

    assert find_violations(scenario) == ['who leaves in band gets no work']


@pytest.mark.parametrize('excuse', ['early', 'untold', 'harmed', 'started'])
def test_a_leave_in_band_that_does_not_bind(find_violations, excuse):
    def scenario(cluster):
        if excuse != 'untold':
            deliver(cluster, 1, since=1.0, signals_leaving=True)
        if excuse == 'harmed':
            cluster.nodes[1].last_disrupted_at = 2.0
        since = 1.5 if excuse == 'early' else 10.0
        born = 200 if excuse == 'started' else 100
        deliver(cluster, 1, since=since, born=born, signals_leaving=True)

    assert not find_violations(scenario)


@pytest.mark.parametrize(
    ('id', 'fields', 'is_good'),
    [
        ('vm0-1-0', [('x-tenant', MEMBER)], True),
        ('vm0-guest-0', [('x-tenant', GUEST)], True),
        ('vm0-guest-0', [('x-tenant', MEMBER)], False),
        ('vm0-1-0', [('x-tenant', MEMBER), ('x-tenant', GUEST)], False),
        ('vm0-1-0', [], False),
        ('vm0-1-0', [('x-tenant', MEMBER), ('api-key', MEMBER_KEY)], False),
        ('vm0-1-0', [('x-tenant', MEMBER), ('x', f'a {MEMBER_KEY}')], False),
    ],
)
def test_an_upstream_that_gets_a_key_or_a_wrong_name(
    find_violations, id, fields, is_good
):
    def scenario(cluster):
        arrival = Arrival(id, 1.0, 100, header_fields=fields)
        cluster.nodes[0].upstreams[0].arrivals.append(arrival)

    expected = [] if is_good else ['upstreams get no key']
    assert find_violations(scenario) == expected


@pytest.mark.parametrize(
    ('status', 'version', 'sent_at', 'promise'),
    [
        (401, 0, 1.0, 'a known key is good'),
        (401, 1, KEY_LIMIT_S + 0.1, 'a known key is good'),
        (401, 1, KEY_LIMIT_S - 0.1, None),
        (401, 1, 10.1, None),
        (200, 1, 10 + KEY_LIMIT_S - 0.1, None),
        (200, 1, 10 + KEY_LIMIT_S + 0.1, 'a revoked key is refused'),
        (503, 1, 10 + KEY_LIMIT_S + 0.1, None),
    ],
)
@pytest.mark.parametrize('fault_free', [True, False])
def test_a_key_that_is_known_too_late_or_too_long(
    find_violations, status, version, sent_at, promise, fault_free
):
    def scenario(cluster):
        cluster.fault_free = fault_free
        cluster.published = {1: 0.0, 1 + GUEST_KEY_VERSIONS: 10.0}
        cluster.record(
            'vm0-1-0',
            status=status,
            sent_at=sent_at,
            ended_at=sent_at + 0.1,
            guest_version=version,
        )

    is_excused = not fault_free and version
    expected = [promise] if promise and not is_excused else []
    assert find_violations(scenario) == expected
