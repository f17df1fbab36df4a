"""Faults between daemons, and that callers are not affected by them."""

from datetime import timedelta

import msgspec
import trio
from returns.result import Failure, Success

from verbenamill_mesh import Configuration, MeshSettings
from verbenamill_mesh.checkpoints import CheckpointRecord
from verbenamill_mesh.messages import (
    BusyReply,
    Envelope,
    Pull,
    decode_reply,
    encode,
)
from verbenamill_mesh.ring import rank
from verbenamill_mesh.testing import EPOCH, LogConnection, MemoryLog, wait_until
from verbenamill_model import Entry
from verbenamill_model.traffic import Upstream
from verbenamill_runtime import LogPage, TrioClock
from verbenamill_runtime.streams import CHECKPOINTS_STREAM, CONFIG_STREAM

WITHIN_3_S = timedelta(seconds=3)
WITHIN_10_S = timedelta(seconds=10)


def upstream(state):
    return Upstream(
        service='entries', version='v1', state=state, slots=16, connections=130
    )


async def start_zone(fleet, zone, size, **options):
    for place in range(size):
        await fleet.start(f'{zone}-{place}', zone=zone, **options)


async def start_two_zones(fleet, size=4, logs=None):
    logs = logs or {}
    for zone in 'ab':
        await start_zone(
            fleet, zone, size, seeds=('a-0', 'b-0'), log=logs.get(zone)
        )
    await wait_until(lambda: fleet.all_know(2 * size))
    await wait_until(lambda: all(d.mesh.ready for d in daemons_of(fleet)))


def daemons_of(fleet, zone=''):
    return [
        daemon
        for name, daemon in fleet.daemons.items()
        if name.startswith(zone)
    ]


def is_reader(daemon):
    return daemon.mesh.stats().log_requests.get(CONFIG_STREAM, 0) > 0


def test_both_readers_die_and_tickets_go_on(run_fleet):
    """An operator publishes just after both log readers of a zone died.

    The others still take the dead ones for the readers; nothing reads until
    they count as dead. Then the next two in rank read, and the ticket is in
    force, with the zone's callers served from the old state meanwhile.
    """

    async def scenario(fleet):
        await start_zone(fleet, 'a', 6, seeds=('a-0',))
        await wait_until(lambda: fleet.all_know(6))
        await wait_until(lambda: all(d.mesh.ready for d in daemons_of(fleet)))
        for name in [n for n, d in fleet.daemons.items() if is_reader(d)]:
            fleet.kill(name)
        assert len(fleet.daemons) < 6
        offset = fleet.publish()
        await wait_until(
            lambda: fleet.all_at(offset), within=timedelta(seconds=30)
        )

    run_fleet(scenario)


def test_silent_connections_are_replaced(run_fleet):
    """All open connections stop carrying messages, while new ones work.

    A daemon that kept waiting on its links would miss all later tickets. Each
    request without an answer closes its link and is sent over a new one.
    """

    async def scenario(fleet):
        await start_two_zones(fleet)
        fleet.network.silence_links()
        offset = fleet.publish()
        fleet.daemons['a-1'].mesh.announce_upstream(upstream('draining'))
        await wait_until(lambda: fleet.all_at(offset), within=WITHIN_3_S)
        await wait_until(
            lambda: all(
                d.mesh.members()['a-1'].upstream is not None
                for d in daemons_of(fleet)
            ),
            within=WITHIN_3_S,
        )
        await trio.sleep(20)
        assert fleet.all_know(8), 'no daemon counts as dead'

    run_fleet(scenario)


def test_draining_is_known_in_time_though_pushes_are_lost(run_fleet):
    """Most messages of the tree are lost while an upstream begins to drain.

    Callers' daemons that were not told would go on giving it work. Probes
    carry a digest of all members, and mend the rest in a few periods.
    """

    async def scenario(fleet):
        await start_two_zones(fleet, size=8)
        deaf = {'a-2', 'a-3', 'a-5', 'b-1', 'b-2', 'b-4', 'b-6'}
        fleet.network.is_lost = lambda _, target: target in deaf
        fleet.daemons['a-1'].mesh.announce_upstream(upstream('draining'))
        await trio.sleep(0.8)
        fleet.network.is_lost = lambda *_: False
        await wait_until(
            lambda: all(
                d.mesh.members()['a-1'].upstream is not None
                for d in daemons_of(fleet)
            ),
            within=timedelta(seconds=2.2),
        )

    run_fleet(scenario)


def test_a_daemon_that_leaves_is_gone_at_once(run_fleet):
    async def scenario(fleet):
        await start_two_zones(fleet)
        await fleet.daemons['a-1'].mesh.leave()
        await wait_until(
            lambda: (
                not any('a-1' in d.mesh.members() for d in daemons_of(fleet))
            ),
            within=timedelta(seconds=1),
        )
        fleet.kill('a-1')
        await trio.sleep(5)
        await fleet.start('a-1', zone='a', seeds=('a-0',))
        await wait_until(lambda: fleet.all_know(8))

    run_fleet(scenario)


def test_a_whole_mesh_leaves_at_once(run_fleet):
    """Every daemon is stopped in the same moment, as the demo does.

    A leaving daemon tells the other availability zone, whose last member
    leaves between its look at the table and its choice of a gateway. Each
    must still be able to leave, and to say who it is while it finishes.
    """

    async def scenario(fleet):
        await start_two_zones(fleet)
        async with trio.open_nursery() as nursery:
            for daemon in daemons_of(fleet):
                nursery.start_soon(daemon.mesh.leave)
        for name, daemon in fleet.daemons.items():
            assert daemon.mesh.own_member.id == name
            assert name not in daemon.mesh.members()
        # The task that contacts the other zone may find no member left in it.
        peers = fleet.daemons['a-0'].mesh._peers
        assert peers.gateways('zone with nobody left') == ()

    run_fleet(scenario)


def test_a_zone_without_the_log_converges_by_another(run_fleet):
    """Zone b loses the log, but not zone a.

    Its readers fail, and its proxies would keep the old configuration for
    as long as the outage. Gateways of zone a tell how far they are, and
    those of zone b fetch and push what they lack.
    """

    async def scenario(fleet):
        logs = {'b': LogConnection(fleet.log)}
        await start_two_zones(fleet, logs=logs)
        logs['b'].is_down = True
        await trio.sleep(10)
        for _ in range(3):
            offset = fleet.publish()
            await wait_until(lambda: fleet.all_at(offset), within=WITHIN_3_S)

    run_fleet(scenario)


def test_a_gateway_pushes_what_it_fetched(run_fleet):
    """In a zone without the log, one gateway fetches a ticket from another
    zone. The others must not wait until each has fetched it in turn.
    """

    async def scenario(fleet):
        logs = {'b': LogConnection(fleet.log)}
        await start_two_zones(fleet, size=16, logs=logs)
        logs['b'].is_down = True
        await trio.sleep(10)
        offset = fleet.publish()
        await wait_until(
            lambda: fleet.all_at(offset), within=timedelta(seconds=0.5)
        )

    run_fleet(scenario)


def test_the_log_goes_down_after_one_reader_has_the_change(run_fleet):
    async def scenario(fleet):
        logs = {zone: LogConnection(fleet.log) for zone in 'ab'}
        await start_two_zones(fleet, logs=logs)
        logs['b'].is_down = True
        offset = fleet.publish()
        await wait_until(
            lambda: any(d.offset == offset for d in daemons_of(fleet)),
            step=timedelta(milliseconds=1),
        )
        fleet.log.is_down = True
        await wait_until(lambda: fleet.all_at(offset), within=WITHIN_3_S)

    run_fleet(scenario)


def test_a_cut_zone_serves_on_and_mends_after(run_fleet):
    """Zone b is cut off from everyone and from the log.

    It keeps what it has and its own members; once back it has all tickets
    and all changes of upstreams, though no push was ever repeated.
    """

    async def scenario(fleet):
        logs = {'b': LogConnection(fleet.log)}
        await start_two_zones(fleet, logs=logs)
        first = fleet.publish()
        await wait_until(lambda: fleet.all_at(first))
        logs['b'].is_down = True
        for daemon in daemons_of(fleet, 'b'):
            daemon.mesh.set_cut_zones(frozenset('a'))
        offset = fleet.publish()
        fleet.daemons['b-1'].mesh.put('moves', 'm', b'veto')
        await trio.sleep(60)
        assert {d.offset for d in daemons_of(fleet, 'b')} == {first}
        assert all(d.mesh.entries('moves') for d in daemons_of(fleet, 'b')), (
            'a veto spreads inside the cut zone'
        )
        assert not any(d.mesh.entries('moves') for d in daemons_of(fleet, 'a'))
        for daemon in daemons_of(fleet, 'b'):
            daemon.mesh.set_cut_zones(frozenset())
        await wait_until(lambda: fleet.all_at(offset), within=WITHIN_10_S)
        await wait_until(
            lambda: all(d.mesh.entries('moves') for d in daemons_of(fleet)),
            within=WITHIN_10_S,
        )

    run_fleet(scenario)


def test_halves_of_a_zone_find_each_other_again(run_fleet):
    """A zone splits for so long that each half holds the other for dead.

    Nobody probes the dead, so after the partition each half would live on
    alone. Now and then each daemon tries someone it holds for dead, who
    then refutes it under a higher incarnation.
    """

    async def scenario(fleet):
        await start_zone(fleet, 'a', 8, seeds=('a-0',))
        await wait_until(lambda: fleet.all_know(8))
        fleet.network.is_lost = lambda source, target: (
            (source < 'a-4') != (target < 'a-4')
        )
        await wait_until(lambda: fleet.all_know(4))
        fleet.network.is_lost = lambda *_: False
        await wait_until(lambda: fleet.all_know(8))

    run_fleet(scenario)


def test_the_first_reader_loses_the_log(run_fleet):
    """Only the first reader of a zone cannot reach the log.

    It is alive, so nobody takes its place, and waits for a log that does
    not answer. The second one reads too, and pushes what did not come to it
    by the tree within its short delay.
    """

    async def scenario(fleet):
        views = {f'a-{place}': LogConnection(fleet.log) for place in range(16)}
        for name, view in views.items():
            await fleet.start(name, zone='a', seeds=('a-0',), log=view)
        await wait_until(lambda: fleet.all_know(16))
        await trio.sleep(10)
        first = rank(views, 'reader')[0]
        views[first].is_down = True
        await trio.sleep(10)
        offset = fleet.publish()
        await wait_until(
            lambda: fleet.all_at(offset), within=timedelta(seconds=0.4)
        )

    run_fleet(scenario)


def test_news_of_a_zone_crosses_at_once(run_fleet):
    """A veto or a drain in one zone reaches all others without the log,
    long before the gateways' probes would bring it there.
    """

    async def scenario(fleet):
        await start_two_zones(fleet, size=8)
        await trio.sleep(10)
        for place in range(8):
            fleet.daemons[f'a-{place}'].mesh.put('moves', f'm{place}', b'v')
            await wait_until(
                lambda: all(
                    len(d.mesh.entries('moves')) > place
                    for d in daemons_of(fleet)
                ),
                within=timedelta(seconds=0.2),
            )

    run_fleet(scenario)


def test_a_dead_child_in_the_tree_is_stepped_over(run_fleet):
    """Three daemons died a moment ago, and no other knows it yet.

    Whoever is below them in the tree would miss the push. The parent gets
    no answer, gives their part to the next one, and all have the ticket
    while nobody had to fetch it.
    """

    async def scenario(fleet):
        await start_zone(fleet, 'a', 40, seeds=('a-0',))
        await wait_until(lambda: fleet.all_know(40))
        await trio.sleep(5)
        readers = rank(fleet.daemons, 'reader')[:2]
        dead = [name for name in fleet.daemons if name not in readers][::4]
        for name in dead:
            fleet.kill(name)
        offset = fleet.publish()
        await wait_until(lambda: fleet.all_at(offset))
        fetched = sum(
            d.mesh.stats().entries_first_from.get('pull', 0)
            for d in daemons_of(fleet)
        )
        assert fetched <= 3, 'a few may probe before the push reaches them'

    run_fleet(scenario)


def test_one_broken_path_makes_nobody_suspect(run_fleet, caplog):
    """Two daemons cannot reach each other, but everyone else can.

    Without the word of others each would call the other dead, and callers
    would lose an upstream that works.
    """

    async def scenario(fleet):
        await start_zone(fleet, 'a', 6, seeds=('a-0',))
        await wait_until(lambda: fleet.all_know(6))
        broken = {('a-0', 'a-1'), ('a-1', 'a-0')}
        fleet.network.is_lost = lambda *path: path in broken
        await trio.sleep(60)

    caplog.set_level('INFO')
    run_fleet(scenario)
    assert 'suspected' not in caplog.text


def test_a_paused_daemon_buries_nobody(run_fleet, caplog):
    """A daemon is paused while it suspects another one.

    When it wakes, the other's time to refute seems to be over, though the
    refutation could not be heard. It gets the time again.
    """

    async def scenario(fleet):
        clock = PausedClock(EPOCH)
        await fleet.start('a-0', zone='a', seeds=('a-1',), clock=clock)
        await fleet.start('a-1', zone='a', seeds=('a-0',))
        await wait_until(lambda: fleet.all_know(2))
        fleet.network.is_lost = lambda *path: path[1] == 'a-1'
        await wait_until(lambda: 'a-1 suspected' in caplog.text)
        clock.pause += timedelta(minutes=1)
        await trio.sleep(3)
        fleet.network.is_lost = lambda *_: False
        await trio.sleep(30)
        assert fleet.all_know(2)

    caplog.set_level('INFO')
    run_fleet(scenario)
    assert 'a-1 gone' not in caplog.text


class PausedClock(TrioClock):
    """A clock that jumps, as it does for a process that was paused."""

    pause = timedelta(0)

    def monotonic(self):
        return super().monotonic() + self.pause


def test_a_daemon_that_catches_up_is_not_ready_yet(run_fleet):
    """A fresh daemon reads a long log page by page.

    Ready after the first page, it would answer callers from services of
    long ago.
    """

    async def scenario(fleet):
        for _ in range(1200):
            offset = fleet.publish()
        daemon = await fleet.start('a-0', zone='a', seeds=())
        while not daemon.mesh.ready:
            await trio.sleep(0.001)
        assert daemon.offset == offset

    run_fleet(scenario)


def test_a_daemon_left_behind_by_the_log_says_so(run_fleet):
    """The log forgets what a daemon had not read, while it was cut off."""

    async def scenario(fleet):
        view = LogConnection(fleet.log)
        alone = await fleet.start('a-0', zone='a', seeds=(), log=view)
        await wait_until(lambda: alone.mesh.ready)
        view.is_down = True
        await trio.sleep(10)
        for _ in range(30):
            fleet.publish()
        view.is_down = False
        await wait_until(lambda: not alone.mesh.ready)
        assert alone.offset == -1

    run_fleet(scenario, log=MemoryLog(max_records=10))


def test_islands_find_each_other(run_fleet):
    """A zone is cut in two, and one half is replaced with stale seeds.

    The fresh daemons know each other and nobody else, and nobody knows
    them, so no probe would ever join the two.
    """

    async def scenario(fleet):
        await start_zone(fleet, 'a', 3, seeds=('a-0',))
        await wait_until(lambda: fleet.all_know(3))
        fleet.network.is_lost = lambda source, target: (
            source.startswith('new') != target.startswith('new')
        )
        for place in range(3):
            await fleet.start(f'new-{place}', zone='a', seeds=('gone', 'new-0'))
        await wait_until(lambda: fleet.all_know(3))
        fleet.network.is_lost = lambda *_: False
        await wait_until(lambda: fleet.all_know(6), within=timedelta(minutes=2))

    run_fleet(scenario)


def test_stale_seeds_do_not_keep_a_daemon_out(run_fleet):
    """Every daemon that the seeds name was replaced.

    A fresh daemon would stay alone. It looks up addresses that the mesh
    keeps on the log.
    """

    async def scenario(fleet):
        await start_zone(fleet, 'a', 4, seeds=('a-0',))
        await trio.sleep(20)
        await fleet.start('late', zone='a', seeds=('gone-1', 'gone-2'))
        await wait_until(lambda: fleet.all_know(5))

    run_fleet(scenario)


def test_a_lone_daemon_without_the_log_is_not_ready(run_fleet):
    async def scenario(fleet):
        fleet.log.is_down = True
        alone = await fleet.start('a-0', zone='a', seeds=('a-1',))
        await trio.sleep(60)
        assert not alone.mesh.ready
        fleet.log.is_down = False
        await wait_until(lambda: alone.mesh.ready)

    run_fleet(scenario)


def test_all_daemons_are_replaced_after_records_expired(run_fleet):
    """All VMs are replaced, and the log has lost its oldest records.

    Without a checkpoint the new ones would have to start from a later
    record and run a state that lacks services.
    """

    async def scenario(fleet):
        await start_two_zones(fleet)
        for _ in range(100):
            offset = fleet.publish()
            await trio.sleep(0.5)
        await wait_until(lambda: fleet.all_at(offset))
        before = fleet.daemons['a-0'].configuration.head()
        for name in tuple(fleet.daemons):
            fleet.kill(name)
        fresh = await fleet.start('new', zone='a', seeds=('a-0',))
        await wait_until(lambda: fresh.mesh.ready)
        assert fresh.configuration.head() == before

    run_fleet(scenario, log=MemoryLog(max_records=40))


def test_checkpoints_stay_fresh_while_nothing_changes(run_fleet):
    """No ticket comes for long, and the only checkpoint expires as well.

    A fresh daemon would then find neither records nor a checkpoint.
    """

    async def scenario(fleet):
        await start_two_zones(fleet, size=2)
        fleet.publish()
        await trio.sleep(300)
        written = fleet.log.records(CHECKPOINTS_STREAM)
        age = TrioClock(EPOCH).now() - written[-1].at
        assert age < timedelta(minutes=2)
        assert len(written) < 8, (
            'one writer in total, not one per daemon or zone'
        )

    run_fleet(scenario)


def test_expired_records_are_never_skipped(run_fleet):
    """The oldest records have expired and there is no checkpoint.

    Reading from the oldest remaining record would give a state that no other
    daemon has. The daemon stays at its offset and is not ready.
    """

    async def scenario(fleet):
        for _ in range(20):
            fleet.publish()
        alone = await fleet.start('a-0', zone='a', seeds=())
        await trio.sleep(60)
        assert alone.offset == -1
        assert not alone.mesh.ready

    run_fleet(scenario, log=MemoryLog(max_records=10))


def test_a_paused_writer_leaves_an_old_checkpoint(run_fleet):
    """A writer wakes from a pause and appends what it had prepared.

    Its checkpoint comes last on the stream but is of an older state; a
    fresh daemon that took the last one would ask for expired records.
    """

    async def scenario(fleet):
        writer = await fleet.start('a-0', zone='a', seeds=())
        fleet.publish()
        await wait_until(lambda: writer.offset == 0)
        old = msgspec_record(writer.configuration)
        for _ in range(40):
            offset = fleet.publish()
            await trio.sleep(1)
        await trio.sleep(90)
        fleet.kill('a-0')
        fleet.log.put(CHECKPOINTS_STREAM, old)
        fresh = await fleet.start('a-1', zone='a', seeds=())
        await wait_until(lambda: fresh.mesh.ready)
        assert fresh.offset == offset

    run_fleet(scenario, log=MemoryLog(max_records=20))


def msgspec_record(configuration):
    return msgspec.msgpack.encode(
        CheckpointRecord(
            offset=configuration.state.offset, body=configuration.checkpoint()
        )
    )


class HolesLog(MemoryLog):
    """A log that leaves out a record."""

    hole = 3

    async def read(self, stream, start, **options):
        page = await super().read(stream, start, **options)
        if stream != CONFIG_STREAM or isinstance(page, Failure):
            return page
        whole = page.unwrap()
        entries = tuple(e for e in whole.entries if e.offset != self.hole)
        return Success(
            LogPage(entries=entries, oldest=whole.oldest, end=whole.end)
        )


def test_a_record_that_the_log_left_out_is_not_skipped(run_fleet):
    async def scenario(fleet):
        daemon = await fleet.start('a-0', zone='a', seeds=())
        for _ in range(6):
            fleet.publish()
        await trio.sleep(20)
        assert daemon.offset == 2
        assert daemon.mesh.stats().gaps > 0
        fleet.log.hole = None
        await wait_until(lambda: daemon.offset == 5)

    run_fleet(scenario, log=HolesLog())


def test_half_a_zone_returns_at_once(run_fleet):
    """Half of a zone dies and comes back with nothing, all at one moment.

    Each fetches the state and the table from someone. The survivors serve
    a bounded number each second and send the others on, so none of them
    carries the herd alone.
    """

    async def scenario(fleet):
        await start_zone(fleet, 'a', 24, seeds=('a-0', 'a-1'))
        await wait_until(lambda: fleet.all_know(24))
        for _ in range(30):
            fleet.publish()
            await trio.sleep(0.1)
        for place in range(12, 24):
            fleet.kill(f'a-{place}')
        await wait_until(lambda: fleet.all_know(12))
        offset = fleet.publish()
        served = transfers_of(fleet)
        for place in range(12, 24):
            await fleet.start(f'a-{place}', zone='a', seeds=('a-0', 'a-1'))
        await wait_until(lambda: fleet.all_at(offset), within=WITHIN_10_S)
        await wait_until(lambda: fleet.all_know(24))
        grown = [
            count - served.get(name, 0)
            for name, count in transfers_of(fleet).items()
        ]
        assert max(grown) <= 12, grown
        assert sum(d.mesh.stats().transfers_refused for d in daemons_of(fleet))

    run_fleet(scenario, settings=MeshSettings(transfers_per_second=2))


def test_a_busy_daemon_sends_others_on(run_fleet):
    """Thirty daemons ask one for its records in the same moment.

    It serves a few, and tells the rest at once whom to ask in its stead.
    """

    async def scenario(fleet):
        await start_zone(fleet, 'a', 3, seeds=('a-0',))
        await wait_until(lambda: fleet.all_know(3))
        offset = fleet.publish()
        await wait_until(lambda: fleet.all_at(offset))
        link = fleet.network.transport('x').dial('a-0')
        body = encode(Envelope('x', 'a', Pull(-1)))
        replies = [
            decode_reply((await link.request(body)).unwrap()) for _ in range(30)
        ]
        refused = [reply for reply in replies if isinstance(reply, BusyReply)]
        assert 20 <= len(refused) < 30
        assert {reply.address for reply in refused} == {'a-1', 'a-2'}

    run_fleet(scenario, settings=MeshSettings(transfers_per_second=5))


def transfers_of(fleet):
    return {
        name: daemon.mesh.stats().transfers
        for name, daemon in fleet.daemons.items()
    }


def test_a_configuration_takes_nothing_older():
    """Entries that come twice, late or with a gap between them."""
    configuration = Configuration()
    entries = tuple(
        Entry(offset=place, at=EPOCH, body=b'broken') for place in range(4)
    )
    assert not configuration.apply_records(entries[1:])
    assert configuration.state.offset == -1
    assert configuration.apply_records(entries[:2])
    old = configuration.checkpoint()
    assert configuration.apply_records(entries[::-1])
    assert configuration.apply_records(entries[:1])
    assert configuration.restore(old).unwrap().offset == 3
    assert configuration.state.offset == 3
    assert configuration.records_after(1, 10) == entries[2:]
    assert isinstance(configuration.restore(old[:-5]), Failure)
    fresh = Configuration()
    fresh.restore(configuration.checkpoint())
    assert fresh.head() == configuration.head()
    assert fresh.records_after(1, 10) is None
