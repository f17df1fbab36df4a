"""Each promise is found broken when it is, and kept when it is."""

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
from verbenamill_soak.callers import DEADLINE, Asked, Ending
from verbenamill_soak.guarantees import BACK_LIMIT, Promises
from verbenamill_soak.relays import Switch, Way
from verbenamill_soak.cluster import SERVICE, Order
from verbenamill_soak.timeline import Timeline
from verbenamill_soak.upstreams import DEADLY, DRAIN_TIME, Upstream


class FakeCaller:
    """What a caller has seen."""

    def __init__(self):
        self.asked = []


class FakeNode:
    """A VM whose daemon runs."""

    def __init__(self, name):
        self.name = name
        self.upstreams = [
            Upstream(instance=f'i-{name}-0'),
            Upstream(instance=f'i-{name}-1'),
        ]
        self.harmed_at = float('-inf')
        self.lives = 1
        self.is_paused = False
        self.has_ended = False
        self.is_expected_to_end = False
        self.log = None
        self.peers = Switch()
        self.to_upstream = Switch()


class FakeSite:
    """What promises look at."""

    def __init__(self):
        self.timeline = Timeline()
        self.store = StoreStandIn()
        self.nodes = [FakeNode('vm0'), FakeNode('vm1')]
        self.callers = [FakeCaller()]
        self.published = {1: -100.0}
        self.orders = {}
        self.calm = True

    def is_calm(self, node, since):
        return self.calm

    def ran(self, id, *, vm=0, place=0, at=1.0):
        ran = Execution(
            id=id, method='GET', path='/', body=b'', headers={}, at=at
        )
        self.nodes[vm].upstreams[place].executions.append(ran)

    def asked(self, id, **more):
        body = more.pop('body', f'answer to {id}'.encode())
        fields = {
            'id': id,
            'vm': 'vm0',
            'life': 1,
            'path': '/lookup/',
            'is_fee': False,
            'sent_at': 1.0,
            'ended_at': 1.1,
            'ending': Ending.ANSWERED,
            'status': 200,
            'body': body,
            'seal': b's',
        }
        self.callers[0].asked.append(Asked(**(fields | more)))

    def status(self, order, state):
        write_status(self.store, SERVICE, RolloutStatus(order, state))


@pytest.fixture
def broken():
    """Names of the promises that a scene breaks."""

    def find(act):
        async def main():
            site = FakeSite()
            promises = Promises(site)
            act(site)
            promises.look()
            promises.look()
            return [one.promise for one in site.timeline.broken]

        return trio.run(main, clock=MockClock())

    return find


def test_a_good_answer_breaks_nothing(broken):
    def act(site):
        site.ran('a')
        site.asked('a', is_fee=True)

    assert broken(act) == []


def test_an_answer_to_another_request(broken):
    assert broken(lambda site: site.asked('a', body=b'answer to b')) == [
        'the own whole answer',
    ]


def test_a_cut_answer_that_looks_whole(broken):
    assert broken(lambda site: site.asked('a', body=b'answer')) == [
        'the own whole answer',
    ]


def test_a_fee_that_ran_twice(broken):
    def act(site):
        site.asked('a', is_fee=True)
        site.ran('a')
        site.ran('a', place=1)

    assert broken(act) == ['at most once']


def test_a_lookup_may_run_twice(broken):
    def act(site):
        site.asked('a')
        site.ran('a')
        site.ran('a', place=1)

    assert broken(act) == []


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_a_refused_fee_that_has_run(broken, status):
    def act(site):
        site.asked('a', is_fee=True, status=status)
        site.ran('a')

    assert broken(act) == ['not run is true']


def test_a_refused_fee_that_runs_later(broken):
    # The refusal is looked at first, the run comes afterwards.
    async def main():
        site = FakeSite()
        promises = Promises(site)
        site.asked('a', is_fee=True, status=503)
        promises.look()
        assert site.timeline.broken == []
        site.ran('a')
        promises.look()
        return [one.promise for one in site.timeline.broken]

    assert trio.run(main, clock=MockClock()) == ['not run is true']


def test_work_after_the_word_to_leave(broken):
    def act(site):
        site.nodes[0].upstreams[0].acked_at = 10
        site.ran('a', at=10 + DRAIN_TIME - 0.1)
        site.ran('b', at=10 + DRAIN_TIME + 0.1)

    assert broken(act) == ['who leaves gets no work']


def test_a_request_that_ran_and_was_cut(broken):
    def act(site):
        site.ran('a')
        site.asked('a', ending=Ending.CUT, status=0)

    assert broken(act) == ['nothing is cut']


def test_a_request_cut_by_a_kill_or_never_passed_on(broken):
    def act(site):
        site.nodes[0].harmed_at = 1.05
        site.ran('a')
        site.asked('a', ending=Ending.CUT, status=0)
        site.asked('b', ending=Ending.CUT, status=0, sent_at=1.06)

    assert broken(act) == []


def test_no_answer(broken):
    def act(site):
        site.asked('a', ending=Ending.NO_ANSWER, status=0)

    assert broken(act) == ['an answer in time']


def test_a_false_404(broken):
    assert broken(lambda site: site.asked('a', status=404)) == ['no false 404']


def test_a_configuration_that_goes_back(broken):
    def act(site):
        site.calm = False
        site.published = {1: -100.0, 2: 0.5}
        site.asked('a', path='/v2/')
        site.asked('b', path='/v2/', status=404, sent_at=1.2, ended_at=1.3)

    assert broken(act) == ['never back']


def test_a_new_life_may_begin_without_the_newest(broken):
    def act(site):
        site.calm = False
        site.published = {1: -100.0, 2: 0.5}
        site.asked('a', path='/v2/')
        site.asked(
            'b',
            path='/v2/',
            status=404,
            sent_at=1.2,
            ended_at=1.3,
            life=2,
        )

    assert broken(act) == []


def test_a_configuration_that_is_late(broken):
    def act(site):
        site.published = {1: -100.0, 2: 0.5}
        site.asked('a', path='/v2/', status=404, sent_at=2.4, ended_at=2.45)
        site.asked('b', path='/v2/', status=404, sent_at=2.6, ended_at=2.65)

    assert broken(act) == ['in force in time']


def test_a_route_that_was_dropped_may_be_missing(broken):
    def act(site):
        site.published = {number: -100.0 for number in range(1, 9)}
        site.asked('a', path='/v1/', status=404)

    assert broken(act) == []


def test_a_daemon_that_ends_by_itself(broken):
    def act(site):
        site.nodes[0].has_ended = True

    assert broken(act) == ['a daemon ends only when told']


def test_two_verdicts(broken):
    def act(site):
        site.orders = {3: Order('v2', False)}
        site.status(3, 'running')
        site.status(3, COMPLETE)
        site.status(3, ROLLED_BACK)

    assert broken(act) == ['one verdict']


def test_a_bad_version_that_is_told_done(broken):
    def act(site):
        site.orders = {3: Order('v2', True)}
        site.status(3, COMPLETE)

    assert broken(act) == ['bad is not done']


def test_a_version_taken_back_that_still_gets_requests(broken):
    def act(site):
        site.orders = {3: Order('v2', True)}
        site.nodes[0].upstreams[1].version = 'v2'
        site.status(3, ROLLED_BACK)

    async def main():
        site = FakeSite()
        promises = Promises(site)
        act(site)
        promises.look()
        verdict = trio.current_time()
        site.ran('a', place=1, at=verdict + BACK_LIMIT - 0.1)
        site.ran('b', place=0, at=verdict + BACK_LIMIT + 0.1)
        promises.look()
        assert site.timeline.broken == []
        site.ran('c', place=1, at=verdict + BACK_LIMIT + 0.1)
        promises.look()
        return [one.promise for one in site.timeline.broken]

    assert trio.run(main, clock=MockClock()) == [
        'a version taken back gets nothing',
    ]


def given_up(site, **more):
    """A request that vm0 took and gave up while vm1 had it run."""
    site.ran('a', vm=1)
    site.asked('a', **({'status': 502, 'body': b''} | more))


@pytest.mark.parametrize('status', [502, 504])
def test_a_request_given_up_while_an_upstream_is_at_work(broken, status):
    # Its caller is told 0.1 s after it was sent that there is no answer, and
    # the upstream has begun to make it. Nobody was harmed.
    assert broken(lambda site: given_up(site, status=status)) == [
        'no work is given up',
    ]


@pytest.mark.parametrize(
    ('status', 'after'),
    [(502, DEADLINE - 0.011), (504, DEADLINE - 0.31)],
)
def test_a_request_given_up_shortly_before_its_deadline(broken, status, after):
    def act(site):
        given_up(site, status=status, ended_at=1 + after)

    assert broken(act) == ['no work is given up']


@pytest.mark.parametrize(
    ('status', 'after'),
    [(502, DEADLINE - 0.009), (504, DEADLINE - 0.29), (504, DEADLINE + 0.01)],
)
def test_a_request_whose_time_is_over(broken, status, after):
    def act(site):
        given_up(site, status=status, ended_at=1 + after)

    assert broken(act) == []


def test_a_request_that_was_given_up_and_has_not_run(broken):
    def act(site):
        site.asked('a', status=502)
        # It is begun only behind the answer, which another promise judges.
        site.asked('b', status=502)
        site.ran('b', vm=1, at=1.2)

    assert broken(act) == []


def kill(node):
    node.harmed_at = -1.9


def kill_long_before(node):
    node.harmed_at = -2.1


def pause(node):
    node.is_paused = True


def silence(node):
    node.peers.set(Way.SILENT)


def silence_and_lift(node):
    node.peers.set(Way.SILENT)
    node.peers.set(Way.OPEN)


def reset(node):
    node.peers.reset()


def lose_upstream(node):
    node.to_upstream.reset()


def let_upstream_die(node):
    node.upstreams[0].died_at = 1.05


def let_upstream_fail(node):
    node.upstreams[0].fails = True


def hold(node):
    node.peers.hold(holds=True)
    node.peers.delay = 1.0


def let_upstream_leave(node):
    node.upstreams[0].acked_at = 1.0
    node.is_expected_to_end = True


def let_another_upstream_die(node):
    node.upstreams[1].died_at = 1.05


@pytest.mark.parametrize('vm', [0, 1])
@pytest.mark.parametrize(
    'harm',
    [kill, pause, silence, silence_and_lift, reset],
)
def test_a_request_given_up_after_harm_to_one_of_its_daemons(broken, harm, vm):
    def act(site):
        harm(site.nodes[vm])
        given_up(site)

    assert broken(act) == []


@pytest.mark.parametrize(
    'harm',
    [lose_upstream, let_upstream_die, let_upstream_fail],
)
def test_a_request_given_up_after_harm_to_its_upstream(broken, harm):
    def act(site):
        harm(site.nodes[1])
        given_up(site)

    assert broken(act) == []


@pytest.mark.parametrize('vm', [0, 1])
@pytest.mark.parametrize(
    'trouble',
    [
        hold,
        let_upstream_leave,
        let_another_upstream_die,
        kill_long_before,
    ],
)
def test_what_is_no_excuse_for_giving_up_a_request(broken, trouble, vm):
    # Late signs of life, stops that were told, leaves that were acknowledged,
    # and harm to others or from long before.
    def act(site):
        trouble(site.nodes[vm])
        given_up(site)

    assert broken(act) == ['no work is given up']


def test_harm_where_the_request_did_not_run_is_no_excuse(broken):
    # It ran at two upstreams. The daemon of the first was killed, and nothing
    # has happened to that of the second.
    def act(site):
        kill(site.nodes[1])
        site.nodes.append(FakeNode('vm2'))
        site.ran('a', vm=2)
        given_up(site)

    assert broken(act) == ['no work is given up']


def run_deadly(site, *times):
    upstream = site.nodes[0].upstreams[0]
    upstream.killed_at = [1.0, 1.1, 1.2]
    for place, at in enumerate(times):
        ran = Execution(f'vm0-7-{place}', 'GET', DEADLY, b'', {}, at)
        upstream.executions.append(ran)


def test_a_deadly_request_that_goes_on_is_found(broken):
    assert not broken(
        lambda site: run_deadly(site, 1, 1.1, 1.2, 4.1, 4.3, 4.4, 4.5),
    )
    found = broken(lambda site: run_deadly(site, 1, 1.1, 1.2, 4.3, 4.4, 4.5, 5))
    assert found == ['a deadly request is stopped']


def test_runs_at_daemons_in_trouble_are_not_held_against_them(broken):
    def act(site):
        site.calm = False
        run_deadly(site, 1, 1.1, 1.2, 4.3, 4.4, 4.5, 5, 6, 7)

    assert broken(act) == []


def test_a_harmless_request_that_is_blocked_is_found(broken):
    reason = b'upstreams crashed under this request'
    for target, found in (
        (DEADLY, []),
        ('/lookup/popular', ['only a deadly request is blocked']),
    ):
        assert found == broken(
            partial(
                FakeSite.asked,
                id='a',
                status=503,
                body=reason,
                target=target,
            ),
        )


def reached(site, count, *, vm=0, every=0.1, since=20.0, born=100, **said):
    """Requests of one caller that reach an upstream and are answered."""
    upstream = site.nodes[vm].upstreams[0]
    for number in range(count):
        at = since + number * every
        id = f'vm1-{born}-{since}-{number}'
        upstream.arrivals.append(Arrival(id, at, born, **said))
        site.asked(id, vm='vm1', sent_at=at, ended_at=at + 0.01)


def name_limit(site, rate, *, until=None):
    """Have an upstream name a limit since the begin."""
    limits = site.nodes[0].upstreams[0].limits
    limits.append((0.0, rate))
    if until is not None:
        limits.append((until, None))


def test_a_limit_that_is_exceeded(broken):
    def act(site):
        name_limit(site, 2)
        reached(site, 1, since=1.0, limit=2)
        reached(site, 100, limit=2)

    assert broken(act) == ['a named limit is kept']


def test_a_limit_that_is_kept(broken):
    def act(site):
        name_limit(site, 2)
        reached(site, 1, since=1.0, limit=2)
        reached(site, 100, every=0.3, limit=2)

    assert not broken(act)


@pytest.mark.parametrize('excuse', ['ended', 'untold', 'harmed', 'cut'])
def test_a_limit_that_does_not_bind(broken, excuse):
    def act(site):
        name_limit(site, 2, until=15.0 if excuse == 'ended' else None)
        if excuse != 'untold':
            reached(site, 1, since=1.0, limit=2)
        if excuse == 'harmed':
            site.nodes[1].harmed_at = 100.0
        if excuse == 'cut':
            site.nodes[1].peers.set(Way.REFUSED)
        reached(site, 100, limit=None if excuse == 'untold' else 2)

    assert not broken(act)


def test_work_for_an_upstream_that_said_in_band_that_it_leaves(broken):
    def act(site):
        reached(site, 1, since=1.0, signals_leaving=True)
        reached(site, 1, since=1.0 + DRAIN_TIME + 0.1, signals_leaving=True)

    assert broken(act) == ['who leaves in band gets no work']


@pytest.mark.parametrize('excuse', ['early', 'untold', 'harmed', 'started'])
def test_a_leave_in_band_that_does_not_bind(broken, excuse):
    def act(site):
        if excuse != 'untold':
            reached(site, 1, since=1.0, signals_leaving=True)
        if excuse == 'harmed':
            site.nodes[1].harmed_at = 2.0
        since = 1.5 if excuse == 'early' else 10.0
        born = 200 if excuse == 'started' else 100
        reached(site, 1, since=since, born=born, signals_leaving=True)

    assert not broken(act)
