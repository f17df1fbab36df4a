"""Published state reaches a daemon although some connections are cut."""

from random import Random

import pytest
import trio
import trio.testing
from trio.testing import MockClock

from verbenamill_model.typing import ConfigVersion
from verbenamill_policy.members import MemberRecord, MemberTable
from verbenamill_policy.routes import Configuration, Limits
from verbenamill_sidecar.state import state_fetcher
from verbenamill_sidecar.state.announcements import Channel
from verbenamill_sidecar.state.desired_state import (
    DesiredState,
    StateSnapshot,
    encode_snapshot,
)
from verbenamill_sidecar.state.distribution import DistributionTree
from verbenamill_sidecar.membership.peers import Peers
from verbenamill_sidecar.state.snapshot_client import fetch_snapshot
from verbenamill_sidecar.state.store_follower import Follower

NEWEST_VERSION = 7
#: Time within which a change must be in force, in seconds.
APPLY_BOUND = 2.0
NEWEST_STAMP = (NEWEST_VERSION, -1)


class CutStore:
    """An unreachable store; every call hangs."""

    calls = 0

    async def read_newest(self):
        await trio.sleep_forever()

    async def read_verdicts(self):
        await trio.sleep_forever()

    async def is_reachable(self):
        return False


def make_configuration(version):
    return Configuration(
        version=ConfigVersion(version),
        routes=(),
        services=frozenset(),
        limits=Limits(),
    )


def encode_newest():
    return encode_snapshot(
        StateSnapshot(configuration=make_configuration(NEWEST_VERSION)),
    )


async def serve_nothing(stream):
    """Accept a request and never answer it, as behind a cut link."""
    async with stream:
        await trio.sleep_forever()


async def serve_snapshot(stream):
    """Answer a request with a snapshot of the newest state."""
    async with stream:
        await stream.receive_some(65536)
        body = encode_newest()
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        await stream.send_all(head + body)


class Scene:
    """A follower and some other daemons that serve its fetches."""

    def __init__(self, nursery):
        self._nursery = nursery
        self._table = MemberTable()
        self.desired_state = DesiredState()
        self._add_record('own', 1)
        self.peers = Peers(self._table, 'own')
        self.follower = Follower(
            store=CutStore(),
            desired_state=self.desired_state,
            fetch=self._fetch,
            random=Random(1),
            tree=DistributionTree(self._table, 'own'),
            notify=lambda kind: None,
        )

    async def _fetch(self, vm):
        pool = self.peers.get(vm).pool
        return await fetch_snapshot(pool, connect_timeout=1)

    def _add_record(self, vm, port):
        self._table.merge(
            MemberRecord(
                vm=vm,
                incarnation=1,
                sequence=0,
                availability_zone='a',
                calls=f'127.0.0.1:{port}',
                gossip=f'127.0.0.1:{port}',
            ),
        )

    async def add(self, vm, handler):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self._add_record(vm, listeners[0].socket.getsockname()[1])
        await self._nursery.start(trio.serve_listeners, handler, listeners)

    async def wait_until_current(self):
        with trio.fail_after(15):
            while self.desired_state.version != NEWEST_VERSION:
                await trio.sleep(0.01)


@pytest.fixture
def play(monkeypatch):
    # No fetch times out within a test, so the awaited state can only come from
    # another daemon than the one whose fetch hangs.
    monkeypatch.setattr(state_fetcher, 'FETCH_TIMEOUT', 1000)

    def run(scenario, *, clock=None):
        async def main():
            async with trio.open_nursery() as nursery:
                scene = Scene(nursery)
                nursery.start_soon(scene.follower.run)
                await trio.testing.wait_all_tasks_blocked()
                await scenario(scene)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=clock)

    return run


def test_a_hanging_fetch_does_not_delay_a_fetch_from_the_parent(play):
    # A daemon of another zone reports a newer state; then its zone is cut off,
    # and the fetch from it hangs. The parent, in the daemon's own zone, has the
    # same state. If the fetch from the parent had to wait, callers would get
    # refusals on a new route until the first fetch times out.
    async def scenario(scene):
        await scene.add('far', serve_nothing)
        await scene.add('parent', serve_snapshot)
        scene.follower.handle_stamp('far', NEWEST_STAMP, Channel.NOTICE)
        await trio.sleep(0.6)
        scene.follower.handle_stamp('parent', NEWEST_STAMP, Channel.NOTICE)
        await scene.wait_until_current()

    play(scenario)


def test_hanging_fetches_do_not_delay_a_fetch_from_another_zone(play):
    async def scenario(scene):
        await scene.add('far', serve_nothing)
        await scene.add('near', serve_snapshot)
        scene.follower.handle_stamp('far', NEWEST_STAMP, Channel.NOTICE)
        scene.follower.handle_stamp('far', NEWEST_STAMP, Channel.NOTICE)
        scene.follower.handle_stamp('near', NEWEST_STAMP, Channel.NOTICE)
        await scene.wait_until_current()

    play(scenario)


def test_a_state_that_is_newer_and_still_too_old_is_no_reason_not_to_fetch(
    play,
):
    """Guards against a change that is left out after an earlier one arrived.

    The earlier one comes from elsewhere while the fetch is about to begin.
    """

    async def scenario(scene):
        scene.desired_state.apply_configuration(make_configuration(5), 'test')
        await scene.add('near', serve_snapshot)
        scene.follower.handle_stamp('near', NEWEST_STAMP, Channel.NOTICE)
        await trio.sleep(0.02)
        scene.desired_state.apply_configuration(make_configuration(6), 'test')
        await scene.wait_until_current()

    play(scenario)


def test_several_hanging_fetches_do_not_delay_a_further_one(play):
    """Guards against a daemon that waits for others that are cut off."""

    async def scenario(scene):
        for place in range(4):
            await scene.add(f'far{place}', serve_nothing)
        await scene.add('near', serve_snapshot)
        for vm in ('far0', 'far1', 'far2', 'far3', 'near'):
            scene.follower.handle_stamp(vm, NEWEST_STAMP, Channel.NOTICE)
            await trio.sleep(0.02)
        await scene.wait_until_current()

    play(scenario)


def test_fetches_over_a_congested_link_are_not_ended_by_further_ones(play):
    """Guards against fetches that end each other before any can succeed."""

    async def serve_late(stream):
        async with stream:
            await stream.receive_some(65536)
            await trio.sleep(0.8)
            body = encode_newest()
            head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
            await stream.send_all(head + body)

    async def scenario(scene):
        vms = [f'near{place}' for place in range(12)]
        for vm in vms:
            await scene.add(vm, serve_late)

        async def announce(vm):
            while True:
                scene.follower.handle_stamp(vm, NEWEST_STAMP, Channel.RUMOR)
                await trio.sleep(0.1)

        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            for vm in vms:
                nursery.start_soon(announce, vm)
            await scene.wait_until_current()
            nursery.cancel_scope.cancel()
        assert trio.current_time() - began < APPLY_BOUND

    play(scenario, clock=MockClock(autojump_threshold=0.01))
