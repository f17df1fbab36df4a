"""A fleet of daemons' meshes over a network and a log in memory."""

from random import Random

import pytest
import trio
import trio.testing
from trio._core import _run

from verbenamill_mesh import Configuration, Mesh, MeshSettings
from verbenamill_mesh.testing import EPOCH, MemoryLog, MemoryNetwork
from verbenamill_model import (
    Route,
    Service,
    Ticket,
    TicketRecord,
    encode_record,
)
from verbenamill_model.traffic import Member
from verbenamill_runtime import TrioClock
from verbenamill_runtime.streams import CONFIG_STREAM


class Daemon:
    def __init__(self, mesh, configuration, scope):
        self.mesh = mesh
        self.configuration = configuration
        self.scope = scope

    @property
    def offset(self):
        return self.configuration.state.offset


class Fleet:
    def __init__(self, nursery, *, seed=1, log=None, settings=None):
        self.nursery = nursery
        self.random = Random(seed)
        self.log = log or MemoryLog()
        self.network = MemoryNetwork(Random(seed))
        self.settings = settings or MeshSettings()
        self.daemons = {}
        self.tickets = 0

    async def start(
        self, name, *, zone='a', seeds=('vm-0',), log=None, clock=None
    ):
        member = Member(
            id=name,
            availability_zone=zone,
            region='r',
            control=name,
            calls=f'{name}-calls',
            incarnation=0,
        )
        configuration = Configuration()
        mesh = Mesh(
            member=member,
            seeds=seeds,
            clock=clock or TrioClock(EPOCH),
            configuration=configuration,
            log=log or self.log,
            random=Random(self.random.random()),
            settings=self.settings,
            transport=self.network.transport(name),
        )
        mesh.add_topic('moves', merge_longer)
        scope = trio.CancelScope()

        async def run(*, task_status):
            with scope:
                await mesh.run(task_status=task_status)

        await self.nursery.start(run)
        self.daemons[name] = Daemon(mesh, configuration, scope)
        return self.daemons[name]

    def kill(self, name):
        self.daemons.pop(name).scope.cancel()

    def publish(self, *, author='ann'):
        self.tickets += 1
        name = f's{self.tickets % 7}'
        ticket = Ticket(
            number=self.tickets,
            author=author,
            services=(Service(name=name, version='v1'),),
            routes=(Route(name=name, prefix=f'/{name}', service=name),),
        )
        return self.log.put(
            CONFIG_STREAM, encode_record(TicketRecord(ticket=ticket))
        )

    def all_at(self, offset):
        return all(d.offset >= offset for d in self.daemons.values())

    def all_know(self, count):
        return all(
            len(d.mesh.members()) == count for d in self.daemons.values()
        )


def merge_longer(old, new):
    return max(old or b'', new, key=lambda value: (len(value), value))


@pytest.fixture
def run_fleet():
    """Run a scenario on a mock clock with a fixed schedule of tasks."""

    def run(scenario, **options):
        async def main():
            async with trio.open_nursery() as nursery:
                await scenario(Fleet(nursery, **options))
                nursery.cancel_scope.cancel()

        # Trio shuffles tasks that become ready together. Seeding its random
        # numbers makes each run of a test give the same result.
        _run._ALLOW_DETERMINISTIC_SCHEDULING = True
        _run._r.seed(1)
        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run
