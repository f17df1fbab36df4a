"""The list of owners follows the membership."""

from random import Random

import trio
import trio.testing
from msgspec.structs import replace

from verbenamill_calls import CallContext, CallSettings, LocalUpstream
from verbenamill_calls.peers import Peers
from verbenamill_model.traffic import Member, Upstream
from verbenamill_model.typing import UpstreamState
from verbenamill_runtime import SystemClock

READY = Upstream(
    service='entries',
    version='v1',
    state=UpstreamState.READY,
    slots=4,
    connections=8,
)


def make_member(number, upstream=READY):
    return Member(
        id=f'vm{number}',
        availability_zone='tx-1',
        region='texas',
        control='127.0.0.1:1',
        calls=f'127.0.0.1:{number + 2}',
        incarnation=1,
        upstream=upstream,
    )


def test_changes_of_members_are_taken_in_one_by_one():
    """Owners come, change version, drain, move and go, in random order.

    After each step the list is the one that a new start would build; a
    version without owners is none that could be picked.
    """
    random = Random(3)
    members = {'vm0': make_member(0, None)}
    context = CallContext(
        member=lambda: members['vm0'],
        snapshot=lambda: None,
        members=lambda: dict(members),
        shares=lambda _: {},
        observe=lambda _: None,
        clock=SystemClock(),
        random=random,
    )

    def new_peers():
        settings = CallSettings()
        return Peers(context, LocalUpstream(context, settings), settings)

    def change():
        number = random.randrange(1, 6)
        upstream = replace(
            READY,
            version=random.choice(['v1', 'v2']),
            state=random.choice([UpstreamState.READY, UpstreamState.DRAINING]),
        )
        member = replace(
            make_member(number, random.choice([None, upstream])),
            calls=f'127.0.0.1:{random.randrange(2, 5)}',
        )
        if random.random() < 0.3:
            members.pop(member.id, None)
        else:
            members[member.id] = member

    def listed(peers):
        return {
            version: sorted(
                (peer.id, peer.pool.address) for tier in tiers for peer in tier
            )
            for version, tiers in peers.versions('entries').items()
        }

    async def main():
        peers = new_peers()
        for _ in range(300):
            change()
            trio.lowlevel.current_clock().jump(1)
            assert listed(peers) == listed(new_peers())
            assert all(listed(peers).values())

    trio.run(main, clock=trio.testing.MockClock())
