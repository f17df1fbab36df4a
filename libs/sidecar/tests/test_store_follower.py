"""What operators published comes here also when some ways are cut."""

from random import Random

import pytest
import trio
import trio.testing

from verbenamill_model.typing import ConfigVersion
from verbenamill_policy.members import MemberRecord, MemberTable
from verbenamill_policy.routes import Configuration, Limits
from verbenamill_sidecar import store_follower
from verbenamill_sidecar.distribution import DistributionTree
from verbenamill_sidecar.store_follower import Follower
from verbenamill_sidecar.desired_state import (
    StateSnapshot,
    DesiredState,
    encode_snapshot,
)
from verbenamill_sidecar.peers import Peers

NEWEST = 7
STAMP = (NEWEST, -1)


class CutStore:
    """A store that is out of reach; every call hangs."""

    calls = 0

    async def read_newest(self):
        await trio.sleep_forever()

    async def read_verdicts(self):
        await trio.sleep_forever()


def knowledge():
    return encode_snapshot(
        StateSnapshot(
            configuration=Configuration(
                version=ConfigVersion(NEWEST),
                routes=(),
                services=frozenset(),
                limits=Limits(),
            ),
        ),
    )


async def silent(stream):
    """Takes a request and answers nothing, as behind a cut link."""
    async with stream:
        await trio.sleep_forever()


async def telling(stream):
    """Answers a request with all that is known."""
    async with stream:
        await stream.receive_some(65536)
        body = knowledge()
        head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        await stream.send_all(head + body)


class Scene:
    """A follower and some other daemons."""

    def __init__(self, nursery):
        self._nursery = nursery
        self._table = MemberTable()
        self.desired_state = DesiredState()
        self._add('own', 1)
        self.peers = Peers(self._table, 'own')
        self.follower = Follower(
            store=CutStore(),
            desired_state=self.desired_state,
            peers=self.peers,
            random=Random(1),
            tree=DistributionTree(self._table, 'own'),
            notify=lambda kind: None,
        )

    def _add(self, vm, port):
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
        self._add(vm, listeners[0].socket.getsockname()[1])
        await self._nursery.start(trio.serve_listeners, handler, listeners)

    async def in_step(self):
        with trio.fail_after(15):
            while self.desired_state.version != NEWEST:
                await trio.sleep(0.01)


@pytest.fixture
def play(monkeypatch):
    # A fetch that hangs never ends by itself here, so that what is awaited
    # can only come past it.
    monkeypatch.setattr(store_follower, '_FETCH_TIMEOUT', 1000)

    def run(act):
        async def main():
            async with trio.open_nursery() as nursery:
                scene = Scene(nursery)
                nursery.start_soon(scene.follower.run)
                await trio.testing.wait_all_tasks_blocked()
                await act(scene)
                nursery.cancel_scope.cancel()

        trio.run(main)

    return run


def test_a_fetch_that_hangs_does_not_hold_up_the_parent(play):
    # A daemon of another zone tells that it knows more; then its zone is cut
    # off and the fetch from there hangs. The parent, in the own zone, has
    # the same to give. Callers would be refused on a new route until the
    # fetch from the other zone is given up.
    async def act(scene):
        await scene.add('far', silent)
        await scene.add('parent', telling)
        scene.follower.is_behind('far', STAMP, is_parent=False)
        await trio.sleep(0.6)
        scene.follower.is_behind('parent', STAMP, is_parent=True)
        await scene.in_step()

    play(act)


def test_fetches_that_hang_do_not_hold_up_another_zone(play):
    async def act(scene):
        await scene.add('far', silent)
        await scene.add('near', telling)
        scene.follower.is_behind('far', STAMP, is_parent=False)
        scene.follower.is_behind('far', STAMP, is_parent=False)
        scene.follower.is_behind('near', STAMP, is_parent=False)
        await scene.in_step()

    play(act)
