"""Several daemons: what one daemon learns reaches all of them."""

from random import Random

import trio

from verbenamill_mesh import Configuration, Mesh
from verbenamill_mesh.testing import MemoryLog, wait_until
from verbenamill_model.traffic import Member, Upstream
from verbenamill_runtime import SystemClock
from verbenamill_runtime.streams import CONFIG_STREAM


async def start_zones(fleet, *, zones=('a', 'b'), size=4):
    for zone in zones:
        for place in range(size):
            await fleet.start(
                f'{zone}-{place}', zone=zone, seeds=(f'{zones[0]}-0',)
            )
    count = len(zones) * size
    await wait_until(lambda: fleet.all_know(count))


def test_daemons_of_two_zones_discover_each_other(run_fleet):
    async def scenario(fleet):
        await start_zones(fleet)
        offset = fleet.publish()
        await wait_until(lambda: fleet.all_at(offset))
        assert all(d.mesh.ready for d in fleet.daemons.values())

    run_fleet(scenario)


def test_tickets_and_members_spread_over_pynng():
    """Tickets and members spread over pynng, which here uses no ports."""

    async def main():
        log = MemoryLog()
        addresses = [f'inproc://vm-{place}' for place in range(3)]
        meshes = [
            make_mesh(f'vm-{place}', address, addresses[:1], log)
            for place, address in enumerate(addresses)
        ]
        async with trio.open_nursery() as nursery:
            for mesh, _ in meshes:
                await nursery.start(mesh.run)
            log.put(CONFIG_STREAM, b'broken')
            await wait_until(
                lambda: all(
                    len(mesh.members()) == 3
                    and configuration.state.offset == 0
                    and mesh.ready
                    for mesh, configuration in meshes
                )
            )
            nursery.cancel_scope.cancel()

    trio.run(main)


def make_mesh(name, address, seeds, log):
    configuration = Configuration()
    member = Member(
        id=name,
        availability_zone='a',
        region='r',
        control=address,
        calls='',
        incarnation=0,
    )
    mesh = Mesh(
        member=member,
        seeds=tuple(seeds),
        clock=SystemClock(),
        configuration=configuration,
        log=log,
        random=Random(name),
    )
    return mesh, configuration


def test_topics_and_upstreams_reach_every_zone(run_fleet):
    async def scenario(fleet):
        await start_zones(fleet)
        first = fleet.daemons['a-1'].mesh
        first.announce_upstream(
            Upstream(
                service='s', version='v', state='ready', slots=1, connections=1
            )
        )
        first.put('moves', 'k', b'value')
        await wait_until(
            lambda: all(
                d.mesh.entries('moves') == {'k': b'value'}
                and d.mesh.members()['a-1'].upstream is not None
                for d in fleet.daemons.values()
            )
        )

    run_fleet(scenario)


def test_a_message_reaches_its_handler(run_fleet):
    async def scenario(fleet):
        await start_zones(fleet)
        received = []
        fleet.daemons['b-2'].mesh.set_handler(
            'report', lambda sender, body: received.append((sender, body))
        )
        fleet.daemons['a-1'].mesh.send('b-2', 'report', b'counts')
        await wait_until(lambda: received == [('a-1', b'counts')])

    run_fleet(scenario)
