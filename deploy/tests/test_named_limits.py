"""Upstreams that name a limit, or a leave, in their answers."""

from itertools import count
from typing import NamedTuple

import trio
from trio.testing import MockClock

#: What the platform allows beyond a named limit: a factor and requests, in a
#: span of time that begins this long after the limit was first named, in s.
FACTOR = 1.5
SLACK = 5
SPAN = 4.0
GRACE = 3.0
#: How long an upstream still takes work after it was said that it leaves, in s.
DRAIN = 2.0
#: Time of a run, in seconds.
WORK = 0.05
#: Share of a limit that has to be used while there is more work than that.
USED = 0.8


class Answered(NamedTuple):
    """A request and what its caller got."""

    id: str
    began: float
    took: float
    answer: object


class Load:
    """Callers at some daemons, each with one request at a time."""

    def __init__(self, vms, *, pause, path='/lookup/'):
        self.vms = vms
        self.answers = []
        self._pause = pause
        self._path = path
        self._ids = count()

    async def run(self, callers=2):
        """Call until cancelled."""
        async with trio.open_nursery() as nursery:
            for vm in self.vms:
                for _ in range(callers):
                    nursery.start_soon(self._call, vm)

    async def _call(self, vm):
        while True:
            id = f'{vm.name}-{next(self._ids)}'
            began = trio.current_time()
            try:
                answer = await vm.call(self._path + id, id=id, deadline=800)
            except (OSError, trio.BrokenResourceError):
                await trio.sleep(0.1)
                continue
            took = trio.current_time() - began
            self.answers.append(Answered(id, began, took, answer))
            await trio.sleep(self._pause)

    def served(self, since=0):
        """Share of the requests since a moment that got their answer."""
        statuses = [
            one.answer.status for one in self.answers if one.began >= since
        ]
        return statuses.count(200) / max(len(statuses), 1)


async def open_fleet(site, *, vms=4, zones=2, **more):
    """A fleet of one service."""
    more.setdefault('service_time', WORK)
    made = [
        await site.add(f'vm{place}', zone=f'z{place % zones + 1}', **more)
        for place in range(vms)
    ]
    await site.settled()
    await site.in_force(1)
    return made


def most_in_span(upstream, since):
    """Most arrivals in any span that begins after a moment."""
    times = [one.at for one in upstream.arrivals if one.at >= since]
    most = 0
    first = 0
    for place, at in enumerate(times):
        while times[first] < at - SPAN:
            first += 1
        most = max(most, place - first + 1)
    return most


def allowed(rate):
    return FACTOR * rate * SPAN + SLACK


def count_since(upstream, since):
    return sum(one.at >= since for one in upstream.arrivals)


async def check_use(vm):
    """Check that a limit of the past holds nothing up in the time to come.

    There must be more work than the fleet takes.
    """
    began = trio.current_time()
    await trio.sleep(SPAN)
    takes = vm.upstream.slots / vm.upstream.service_time * SPAN
    assert count_since(vm.upstream, began) > 0.5 * takes


def play_fleet(play, scene, *, callers=2, pause=0.05, **more):
    """Play a scene on a fleet that has much work."""

    async def main(site):
        vms = await open_fleet(site, **more)
        load = Load(vms, pause=pause)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run, callers)
            await trio.sleep(1)
            await scene(site, vms, load)
            nursery.cancel_scope.cancel()

    play(main, clock=MockClock(autojump_threshold=0))


def test_an_upstream_gets_no_more_than_the_limit_that_it_names(play):
    """Guards against a limit that nobody heeds, or that is left unused."""

    async def scene(site, vms, load):
        limited = vms[0].upstream
        limited.limit = 5
        named_at = trio.current_time()
        await trio.sleep(GRACE + 3 * SPAN)
        assert most_in_span(limited, named_at + GRACE) <= allowed(5)
        spent = trio.current_time() - named_at - GRACE
        assert count_since(limited, named_at + GRACE) >= USED * 5 * spent
        assert load.served(named_at) > 0.99

    play_fleet(play, scene)


def test_a_limit_outlives_the_daemon_of_its_upstream(play):
    """Guards against a restart of the owner that forgets a limit."""

    async def scene(site, vms, load):
        limited = vms[0].upstream
        limited.limit = 2.3
        limited.service_time = 0.2
        named_at = trio.current_time()
        await trio.sleep(GRACE)
        for _ in range(4):
            await vms[0].kill()
            await vms[0].start()
            await vms[0].beat()
            await trio.sleep(1.5)
        await trio.sleep(SPAN)
        assert most_in_span(limited, named_at + GRACE) <= allowed(2.3)
        assert count_since(limited, named_at + GRACE) >= 5

    play_fleet(play, scene)


def test_a_limit_that_ends_is_forgotten(play):
    """Guards against an upstream that is throttled for good."""

    async def scene(site, vms, load):
        limited = vms[0].upstream
        limited.limit = 2
        await trio.sleep(GRACE + SPAN)
        limited.limit = None
        await trio.sleep(2)
        await check_use(vms[0])

    play_fleet(play, scene, callers=6, service_time=0.2)


def test_where_all_are_at_their_limits_the_rest_is_refused_at_once(play):
    """Guards against callers that wait for upstreams that take no more."""

    async def scene(site, vms, load):
        named_at = trio.current_time()
        for vm in vms:
            vm.upstream.limit = 4
        await trio.sleep(GRACE + SPAN)
        since = named_at + GRACE
        for vm in vms:
            assert most_in_span(vm.upstream, since) <= allowed(4)
            assert count_since(vm.upstream, since) >= USED * 4 * SPAN
        refused = [
            one
            for one in load.answers
            if one.began >= since and one.answer.status == 503
        ]
        arrived = {one.id for vm in vms for one in vm.upstream.arrivals}
        assert refused
        assert not arrived & {one.id for one in refused}
        assert max(one.took for one in refused) < 0.1
        for one in refused:
            assert float(one.answer.headers['retry-after']) > 0

    play_fleet(play, scene, callers=10, pause=0.4)


def test_a_new_start_of_an_upstream_has_no_limit(play):
    """Guards against the limit of a start that has ended."""

    async def scene(site, vms, load):
        limited = vms[0].upstream
        limited.limit = 1
        await trio.sleep(GRACE)
        limited.limit = None
        limited.born += 1
        limited.sequence = 0
        await vms[0].beat()
        assert vms[0].daemon._own_upstream.limits.limit is None
        await check_use(vms[0])

    play_fleet(play, scene, callers=6, service_time=0.2)


def test_an_upstream_that_takes_nothing_is_asked_now_and_then(play):
    """Guards against a limit of 0 that never ends, or is not kept."""

    async def scene(site, vms, load):
        limited = vms[0].upstream
        limited.limit = 0
        named_at = trio.current_time()
        await trio.sleep(GRACE + 5 * SPAN)
        assert most_in_span(limited, named_at + GRACE) <= SLACK
        limited.limit = None
        await trio.sleep(10)
        await check_use(vms[0])

    play_fleet(play, scene, callers=6, service_time=0.2)


def test_what_a_caller_says_of_limits_means_nothing(play):
    """Guards against callers that throttle an upstream, or have it leave."""

    async def scene(site):
        vm = await site.add('vm1')
        await site.in_force(1)
        extra = ['Server-Limit: 0', 'Server-Leaving: 1']
        for number in range(20):
            answer = await vm.call('/lookup/1', id=f'r{number}', extra=extra)
            assert answer.status == 200

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_daemon_that_forgot_a_limit_hears_of_it_with_a_request(play):
    """Guards against starts of the owner that nobody could remind.

    Neither the store nor datagrams bring it what it forgot.
    """

    async def scene(site, vms, load):
        limited = vms[0].upstream
        limited.limit = 2.3
        limited.service_time = 0.6
        await trio.sleep(GRACE)
        site.store.is_down = True
        for vm in vms[1:]:
            vm.daemon._gossip._send = lambda *_: None
        for _ in range(3):
            await vms[0].kill()
            await vms[0].start()
            await vms[0].beat()
            started_at = trio.current_time()
            await trio.sleep(0.6)
            # Requests that begin at the VM itself have nobody to tell it.
            passed_on = [
                one
                for one in limited.arrivals
                if one.at >= started_at and not one.id.startswith('vm0-')
            ]
            assert len(passed_on) <= 2

    play_fleet(play, scene, slots=30, callers=6)


def test_an_owner_that_knows_of_no_limit_does_not_end_one(play):
    """Guards against refusals of a new start that pass for 'no limit'."""

    async def scene(site):
        limited = await site.add('vm0')
        caller = await site.add('vm1', service='catalog')
        await site.settled()
        await site.in_force(1)
        limited.upstream.limit = 5
        assert (await caller.call('/lookup/1')).status == 200
        peer = caller.daemon._peers.get('vm0')
        upstream = peer.upstream
        assert peer.limit_of(upstream).rate == 5
        site.store.is_down = True
        caller.daemon._gossip._send = lambda *_: None
        await limited.kill()
        await limited.start()
        assert (await caller.call('/lookup/2')).status == 503
        assert peer.limit_of(upstream).rate == 5

    play(scene, clock=MockClock(autojump_threshold=0))


def test_a_limit_that_falls_is_kept(play):
    """Guards against a burst of what an upstream took a moment ago."""

    async def scene(site, vms, load):
        limited = vms[0].upstream
        for rate in (30, 20, 10, 3):
            limited.limit = rate
            await trio.sleep(2)
        fell_at = trio.current_time()
        await trio.sleep(2 * SPAN)
        assert most_in_span(limited, fell_at) <= allowed(3)
        spent = trio.current_time() - fell_at
        assert count_since(limited, fell_at) >= USED * 3 * spent

    play_fleet(play, scene)


def test_an_upstream_that_says_in_band_that_it_leaves_gets_no_new_work(play):
    """Guards against work for an upstream whose answers say that it leaves."""

    async def scene(site, vms, load):
        leaving = vms[0].upstream
        leaving.signals_leaving = True
        said_at = trio.current_time()
        for _ in range(6):
            await trio.sleep(0.5)
            await vms[0].beat()
        assert not count_since(leaving, said_at + DRAIN)
        assert load.served(said_at) > 0.99

    play_fleet(play, scene)


def test_a_leave_that_was_said_in_band_outlives_the_daemon(play):
    """Guards against heartbeats that undo a leave after the owner's restart."""

    async def scene(site, vms, load):
        leaving = vms[0].upstream
        leaving.signals_leaving = True
        said_at = trio.current_time()
        await trio.sleep(1)
        for _ in range(4):
            await vms[0].kill()
            await vms[0].start()
            await vms[0].beat()
            await trio.sleep(1)
        await vms[0].beat()
        assert not count_since(leaving, said_at + DRAIN)

    play_fleet(play, scene)


def test_runs_in_hand_end_when_an_upstream_says_that_it_leaves(play):
    """Guards against runs that are cut, or waiting requests that are lost."""

    async def scene(site, vms, load):
        leaving = vms[0].upstream
        while not leaving.running:
            await trio.sleep(WORK)
        said_at = trio.current_time()
        leaving.signals_leaving = True
        await trio.sleep(DRAIN)
        assert not leaving.running
        assert load.served(said_at - 0.5) == 1

    play_fleet(play, scene, service_time=0.3, slots=3)


def test_a_limited_version_on_trial_leaves_its_requests_to_the_old_one(play):
    """Guards against refusals for a version that gets few requests anyway."""

    async def scene(site):
        old = [
            await site.add(f'old{place}', service_time=WORK, slots=30)
            for place in range(2)
        ]
        new = await site.add('new', version='v2', service_time=WORK)
        new.upstream.limit = 0.5
        await site.settled()
        await site.in_force(1)
        site.store.write_as_operator(
            'rollout/entries',
            {'service': 'entries', 'targetVersion': 'v2', 'durationS': 60},
        )
        load = Load(old, pause=0.02)
        with trio.move_on_after(20):
            await load.run(4)
        assert new.upstream.arrivals
        refused = [one for one in load.answers if one.answer.status != 200]
        assert not refused

    play(scene, clock=MockClock(autojump_threshold=0))
