"""When a daemon that owes an answer seems lost, on a virtual clock."""

from random import Random

import pytest
import trio
from trio.testing import MockClock

from verbenamill_http.addresses import parse_address
from verbenamill_policy.members import MemberRecord, MemberTable
from verbenamill_policy.quarantine import Quarantine
from verbenamill_sidecar.distribution import DistributionTree
from verbenamill_sidecar.gossip import Gossip
from verbenamill_sidecar.desired_state import DesiredState
from verbenamill_sidecar.suspects import SuspectGate
from verbenamill_sidecar.peers import MAX_IDLE, Peers


def make_record(vm, port):
    return MemberRecord(
        vm=vm,
        incarnation=1,
        sequence=0,
        availability_zone='z',
        calls=f'127.0.0.1:{port}',
        gossip=f'127.0.0.1:{port}',
    )


class Scene:
    """A daemon that watches another one, which never answers by itself."""

    def __init__(self, ports):
        own = make_record('vm0', ports[0])
        table = MemberTable()
        self.peers = Peers(table, 'vm0')
        self.gossip = Gossip(
            own=own,
            table=table,
            peers=self.peers,
            desired_state=DesiredState(),
            random=Random(1),
            recall=lambda _: None,
            follower=None,
            tree=DistributionTree(table, 'vm0'),
            counted=lambda _: None,
            gate=SuspectGate(Quarantine(), wall=lambda: 0),
        )
        self.gossip.bind(parse_address(own.gossip))
        table.merge(make_record('vm1', ports[1]))
        self.peer = self.peers.get('vm1')
        self.peer.mark_alive()

    async def wait(self, seconds, *, sign_of_life=None):
        """Wait for an answer; after what times it seemed lost."""
        began = trio.current_time()
        doubted_at = []
        with self.peer.awaiting_answer(
            lambda at: doubted_at.append(at - began),
        ):
            pause = sign_of_life or seconds
            for _ in range(int(seconds / pause)):
                await trio.sleep(pause)
                if sign_of_life:
                    self.peer.mark_alive()
        return doubted_at


def play(ports, scene):
    async def main(clock):
        made = Scene(ports)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.gossip.run)
            result = await scene(made, clock)
            nursery.cancel_scope.cancel()
        return result

    clock = MockClock(autojump_threshold=0)
    return trio.run(main, clock, clock=clock)


def run(ports, *, seconds=10, **options):
    return play(ports, lambda made, _: made.wait(seconds, **options))


@pytest.fixture
def ports(free_ports):
    return free_ports(2)


def test_what_is_under_way_to_a_lost_zone_can_still_come_in_time(ports):
    # A zone is cut off. Requests under way to it get no answer and no reset.
    # Sent elsewhere after a second, those that may be repeated come late
    # there; objectives stand at 0.5 to 2 s, most above 0.8 s.
    assert run(ports)[0] <= 0.8


def test_a_busy_daemon_that_gives_a_sign_of_life_is_waited_for(ports):
    # A quota stops a daemon's processor for a tenth of a second at a time,
    # and its upstream works for seconds. It answers when asked for a sign of
    # life, if late; taken for lost, its work would be done twice.
    assert not run(ports, sign_of_life=0.4)


def test_connections_that_fail_do_not_put_the_doubt_off(ports):
    # Several connections to a daemon fail, one after the other; then one is
    # had, and the daemon falls silent. The request on it is told as soon as
    # any other, not after the pause that each failure has made longer.
    async def scene(made, _):
        for _ in range(5):
            made.peer.mark_unreachable('it takes no connection')
        return await made.wait(5)

    assert play(ports, scene)[0] <= 0.8


def test_an_old_request_casts_no_doubt_on_a_new_one(ports):
    # A request has waited for long, and its owner seems lost. The next one
    # that goes there is sent elsewhere as well only after a silence of its
    # own; otherwise each costs a repeat while the owner answers well.
    async def scene(made, _):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(made.wait, 5)
            await trio.sleep(2.4)
            return await made.wait(0.4)

    assert not play(ports, scene)


def test_a_standstill_of_the_own_process_is_no_silence_of_others(ports):
    # The process gets no processor time for a while. What others sent lies
    # unread meanwhile, and nobody was asked; the first look after that must
    # not take them all for lost.
    async def scene(made, clock):
        async with trio.open_nursery() as nursery:
            doubts = []

            async def wait():
                doubts.extend(await made.wait(2, sign_of_life=0.2))

            nursery.start_soon(wait)
            await trio.sleep(0.1)
            clock.jump(1.5)
        return doubts

    assert not play(ports, scene)


def test_a_moment_after_a_standstill_is_left_for_signs_of_life(ports):
    # The same, and the other one answers a moment after it is asked: a busy
    # daemon takes up to 0.2 s. The second look must not count from before the
    # standstill either.
    async def scene(made, clock):
        doubts = []
        with made.peer.awaiting_answer(doubts.append):
            await trio.sleep(0.1)
            clock.jump(1.5)
            await trio.sleep(0.25)
            made.peer.mark_alive()
            await trio.sleep(0.2)
        return doubts

    assert not play(ports, scene)


def test_a_fee_passes_over_connections_from_before_a_doubt(ports):
    # A daemon seemed lost; its process may have been replaced, and kept
    # connections to it are dead then. A lookup that is lost on one of them is
    # sent again, a fee would end unknown.
    async def scene(made, _):
        before = made.peer.max_idle(trio.current_time(), is_idempotent=False)
        await made.wait(1)
        made.peer.mark_alive()
        now = trio.current_time()
        after = made.peer.max_idle(now, is_idempotent=False)
        lookups = made.peer.max_idle(now, is_idempotent=True)
        return before, after, lookups

    before, after, lookups = play(ports, scene)
    assert before == lookups == MAX_IDLE
    assert after <= 0.5


def test_a_lost_daemon_gets_no_request_until_it_is_heard_of(ports):
    # A zone is cut off for seconds. Each request that goes there on a kept
    # connection to see whether it is back waits for nothing, and its caller
    # with it. Datagrams find out; and a request that goes there all the same
    # opens a new connection, which fails before anything is sent.
    async def scene(made, _):
        await made.wait(1)
        await trio.sleep(2)
        now = trio.current_time()
        is_left_alone = made.peer.owner.down_until > now
        idle = made.peer.max_idle(now, is_idempotent=True)
        made.peer.mark_alive()
        now = trio.current_time()
        is_back = made.peer.owner.down_until <= now
        return (
            is_left_alone,
            idle,
            is_back,
            made.peer.max_idle(now, is_idempotent=True),
        )

    assert play(ports, scene) == (True, 0, True, MAX_IDLE)


def test_daemons_that_owe_nothing_are_not_looked_at(free_ports):
    # Looked at ten times a second, the other daemons of a large fleet take
    # more processor time than the requests.
    async def scene(made, _):
        assert made.peers.watched_peers() == []
        with made.peer.awaiting_answer(lambda _: None):
            assert made.peers.watched_peers() == [made.peer]
        assert made.peers.watched_peers() == []
        made.peer.mark_unreachable('test')
        assert made.peers.watched_peers() == [made.peer]
        made.peer.mark_alive()
        assert made.peers.watched_peers() == []

    play(free_ports(2), scene)
