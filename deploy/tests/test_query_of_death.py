"""Requests under which upstreams crash, and harmless ones beside them."""

import trio
from trio.testing import MockClock

#: Sends that are allowed beyond a window after the third crash, and that
#: window in seconds.
ALLOWED = 3
WINDOW = 3.0
#: Time of a run, in seconds.
WORK = 0.09
PATH = '/lookup/deadly'


def kills(asked):
    """Whether a request crashes the upstream that runs it."""
    return asked.path == PATH


async def open_fleet(site, *, vms=6, zones=2, **more):
    """A fleet of one service whose upstreams start again after a crash."""
    made = [
        await site.add(
            f'vm{place}',
            zone=f'z{place % zones + 1}',
            work=WORK,
            kills=kills,
            **more,
        )
        for place in range(vms)
    ]
    await site.settled()
    await site.in_force(1)
    return made


def runs_of(vms, path):
    """When a request was begun, at any upstream."""
    return sorted(
        ran.at for vm in vms for ran in vm.upstream.ran if ran.path == path
    )


def count_late(vms):
    """Runs of the deadly request beyond the window after the third crash."""
    crashes = sorted(at for vm in vms for at in vm.upstream.crashed_at)
    if len(crashes) < ALLOWED:
        return 0
    end = crashes[ALLOWED - 1] + WINDOW
    return sum(at > end for at in runs_of(vms, PATH))


def test_a_query_of_death_that_comes_again_elsewhere_is_stopped(play):
    """Guards against one request that crashes upstream after upstream."""

    async def scene(site):
        vms = await open_fleet(site)
        for coming in range(24):
            vm = vms[coming % len(vms)]
            answer = await vm.call(PATH, id=f'd{coming}')
            assert answer.status in (502, 503)
            await trio.sleep(0.5)
        assert count_late(vms) <= ALLOWED

    play(scene, clock=MockClock(autojump_threshold=0))
