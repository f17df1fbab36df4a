"""Upstreams that name a limit, or a leave, in their answers."""

from itertools import count

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


class Load:
    """Callers at some daemons, each with one request at a time."""

    def __init__(self, vms, *, pause=0.02, path='/lookup/'):
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
            number = next(self._ids)
            began = trio.current_time()
            try:
                answer = await vm.call(
                    f'{self._path}{number}',
                    id=f'{vm.name}-{number}',
                    deadline=800,
                )
            except (OSError, trio.BrokenResourceError):
                await trio.sleep(0.1)
                continue
            took = trio.current_time() - began
            self.answers.append((began, took, answer))
            await trio.sleep(self._pause)

    def served(self, since=0):
        """Share of the requests since a moment that got their answer."""
        statuses = [
            answer.status for began, _, answer in self.answers if began >= since
        ]
        return statuses.count(200) / max(len(statuses), 1)


async def open_fleet(site, *, vms=4, zones=2, **more):
    """A fleet of one service."""
    more.setdefault('work', WORK)
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


def play_fleet(play, scene, **more):
    """Play a scene on a fleet that has much work."""

    async def main(site):
        vms = await open_fleet(site, **more)
        load = Load(vms)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(load.run)
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
        limited.work = 0.2
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
        ended_at = trio.current_time()
        await trio.sleep(SPAN)
        others = [count_since(vm.upstream, ended_at) for vm in vms[1:]]
        assert count_since(limited, ended_at) > 0.5 * min(others)

    play_fleet(play, scene)


def test_an_upstream_that_says_in_band_that_it_leaves_gets_no_new_work(play):
    """Guards against work for an upstream whose answers say that it leaves."""

    async def scene(site, vms, load):
        leaving = vms[0].upstream
        leaving.says_leaving = True
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
        leaving.says_leaving = True
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
