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

THREE_SECONDS = timedelta(seconds=3)
TEN_SECONDS = timedelta(seconds=10)


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


def test_tickets_are_applied_after_both_readers_die(run_fleet):
    """An operator publishes just after both log readers of a zone died.

    Until the two count as dead, the others still take them for the readers,
    and nothing is read. Then the next two in rank read, and the ticket comes
    into force. Meanwhile callers of the zone are served from the old state.
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
        await wait_until(lambda: fleet.all_at(offset), within=THREE_SECONDS)
        await wait_until(
            lambda: all(
                d.mesh.members()['a-1'].upstream is not None
                for d in daemons_of(fleet)
            ),
            within=THREE_SECONDS,
        )
        await trio.sleep(20)
        assert fleet.all_know(8), 'no daemon counts as dead'

    run_fleet(scenario)


def test_draining_is_known_in_time_despite_lost_pushes(run_fleet):
    """Most pushes of the tree are lost while an upstream begins to drain.

    Daemons that do not learn of it would send it further requests. Probes
    carry a digest of all members, so that the rest is synchronised within a
    few periods.
    """

    async def scenario(fleet):
        await start_two_zones(fleet, size=8)
        unreachable = {'a-2', 'a-3', 'a-5', 'b-1', 'b-2', 'b-4', 'b-6'}
        fleet.network.is_lost = lambda _, target: target in unreachable
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


def test_a_leaving_daemon_is_removed_at_once(run_fleet):
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


def test_all_daemons_can_leave_at_once(run_fleet):
    """All daemons are stopped at the same moment, as in the demo.

    A leaving daemon contacts the other availability zone, whose last member
    may leave between the check of the table and the choice of a gateway. Each
    daemon must still be able to leave, and to identify itself while it
    finishes.
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


def test_a_zone_without_the_log_converges_through_another(run_fleet):
    """Zone b loses the log, but not the connection to zone a.

    Its readers fail, and its proxies would keep the old configuration
    throughout the outage. Gateways of zone a announce their offset, and those
    of zone b fetch and push what is missing.
    """

    async def scenario(fleet):
        logs = {'b': LogConnection(fleet.log)}
        await start_two_zones(fleet, logs=logs)
        logs['b'].is_down = True
        await trio.sleep(10)
        for _ in range(3):
            offset = fleet.publish()
            await wait_until(lambda: fleet.all_at(offset), within=THREE_SECONDS)

    run_fleet(scenario)


def test_a_gateway_pushes_fetched_records(run_fleet):
    """A zone without the log gets a ticket through one of its gateways.

    The others must not wait until each has fetched it separately.
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


def test_a_ticket_reaches_all_when_the_log_fails_after_one_read(run_fleet):
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
        await wait_until(lambda: fleet.all_at(offset), within=THREE_SECONDS)

    run_fleet(scenario)


def test_a_cut_zone_converges_after_the_partition(run_fleet):
    """Zone b is cut off from all other daemons and from the log.

    It keeps its state and its own members. After the partition it gets all
    tickets and all topics, although no push is repeated.
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
        await wait_until(lambda: fleet.all_at(offset), within=TEN_SECONDS)
        await wait_until(
            lambda: all(d.mesh.entries('moves') for d in daemons_of(fleet)),
            within=TEN_SECONDS,
        )

    run_fleet(scenario)


def test_halves_of_a_partitioned_zone_rejoin(run_fleet):
    """A zone is partitioned until each half counts the other as dead.

    Dead members are not probed in turn, so the halves would stay apart after
    the partition. Each daemon regularly tries a dead member, which then
    refutes its status under a higher incarnation.
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


def test_the_second_reader_covers_a_primary_without_the_log(run_fleet):
    """Only the primary reader of a zone cannot reach the log.

    It is alive, so no other daemon replaces it, and it waits for the log. The
    second reader pushes whatever has not arrived by the tree within its short
    delay.
    """

    async def scenario(fleet):
        log_connections = {
            f'a-{place}': LogConnection(fleet.log) for place in range(16)
        }
        for name, log_connection in log_connections.items():
            await fleet.start(
                name, zone='a', seeds=('a-0',), log=log_connection
            )
        await wait_until(lambda: fleet.all_know(16))
        await trio.sleep(10)
        first = rank(log_connections, 'reader')[0]
        log_connections[first].is_down = True
        await trio.sleep(10)
        offset = fleet.publish()
        await wait_until(
            lambda: fleet.all_at(offset), within=timedelta(seconds=0.4)
        )

    run_fleet(scenario)


def test_updates_reach_other_zones_at_once(run_fleet):
    """A veto or a drain in one zone reaches the others without the log.

    It must arrive long before the probes of the gateways would bring it.
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


def test_a_dead_child_in_the_tree_is_replaced(run_fleet):
    """Some daemons have just died, and no other daemon knows it yet.

    Daemons below them in the tree would miss the push. The parent gets no
    answer and gives the branch to the next delegate, so all daemons get the
    ticket and hardly any has to fetch it.
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


def test_one_broken_path_causes_no_suspicion(run_fleet, caplog):
    """Two daemons cannot reach each other, but all others can.

    Without indirect probes each would declare the other dead, and callers
    would lose a working upstream.
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


def test_a_paused_daemon_declares_nobody_dead(run_fleet, caplog):
    """A daemon is paused while it suspects another one.

    When it resumes, the suspicion timeout seems to have passed, although a
    refutation could not have arrived. The timeout starts again.
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


def test_a_daemon_is_not_ready_while_it_catches_up(run_fleet):
    """A new daemon reads a long log page by page.

    If it were ready after the first page, it would serve callers from an
    outdated list of services.
    """

    async def scenario(fleet):
        for _ in range(1200):
            offset = fleet.publish()
        daemon = await fleet.start('a-0', zone='a', seeds=())
        while not daemon.mesh.ready:
            await trio.sleep(0.001)
        assert daemon.offset == offset

    run_fleet(scenario)


def test_a_daemon_is_not_ready_after_unread_records_expired(run_fleet):
    """Records expire that a daemon, cut off from the log, had not read."""

    async def scenario(fleet):
        log_connection = LogConnection(fleet.log)
        alone = await fleet.start('a-0', zone='a', seeds=(), log=log_connection)
        await wait_until(lambda: alone.mesh.ready)
        log_connection.is_down = True
        await trio.sleep(10)
        for _ in range(30):
            fleet.publish()
        log_connection.is_down = False
        await wait_until(lambda: not alone.mesh.ready)
        assert alone.offset == -1

    run_fleet(scenario, log=MemoryLog(max_records=10))


def test_separate_groups_of_a_zone_join(run_fleet):
    """A zone is partitioned, and new daemons have only stale seeds.

    The new daemons know only each other, and no other daemon knows them, so
    that no probe would join the two groups.
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


def test_a_daemon_with_stale_seeds_joins(run_fleet):
    """Every daemon that the seeds name was replaced.

    A new daemon would stay alone. It reads addresses that the mesh keeps on
    the log.
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


def test_a_new_daemon_starts_from_a_checkpoint_after_records_expired(run_fleet):
    """All VMs are replaced after the oldest records on the log expired.

    Without a checkpoint the new daemons would start from a later record, with
    a state that lacks services.
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
        new_daemon = await fleet.start('new', zone='a', seeds=('a-0',))
        await wait_until(lambda: new_daemon.mesh.ready)
        assert new_daemon.configuration.head() == before

    run_fleet(scenario, log=MemoryLog(max_records=40))


def test_checkpoints_are_renewed_while_nothing_changes(run_fleet):
    """No ticket is published for long, and checkpoints expire too.

    Without a renewed checkpoint, a new daemon would find neither records nor a
    checkpoint.
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


def test_an_old_checkpoint_of_a_paused_writer_is_ignored(run_fleet):
    """A writer resumes after a pause and appends a prepared checkpoint.

    It is the last record on the stream, but has an older state. A new daemon
    that used it would request expired records.
    """

    async def scenario(fleet):
        writer = await fleet.start('a-0', zone='a', seeds=())
        fleet.publish()
        await wait_until(lambda: writer.offset == 0)
        old = encode_checkpoint(writer.configuration)
        for _ in range(40):
            offset = fleet.publish()
            await trio.sleep(1)
        await trio.sleep(90)
        fleet.kill('a-0')
        fleet.log.put(CHECKPOINTS_STREAM, old)
        new_daemon = await fleet.start('a-1', zone='a', seeds=())
        await wait_until(lambda: new_daemon.mesh.ready)
        assert new_daemon.offset == offset

    run_fleet(scenario, log=MemoryLog(max_records=20))


def encode_checkpoint(configuration):
    return msgspec.msgpack.encode(
        CheckpointRecord(
            offset=configuration.state.offset, body=configuration.checkpoint()
        )
    )


class LogWithMissingRecord(MemoryLog):
    """A log that leaves out a record."""

    missing_offset = 3

    async def read(self, stream, start, **options):
        page = await super().read(stream, start, **options)
        if stream != CONFIG_STREAM or isinstance(page, Failure):
            return page
        complete_page = page.unwrap()
        entries = tuple(
            e for e in complete_page.entries if e.offset != self.missing_offset
        )
        return Success(
            LogPage(
                entries=entries,
                oldest=complete_page.oldest,
                end=complete_page.end,
            )
        )


def test_a_missing_record_is_not_skipped(run_fleet):
    async def scenario(fleet):
        daemon = await fleet.start('a-0', zone='a', seeds=())
        for _ in range(6):
            fleet.publish()
        await trio.sleep(20)
        assert daemon.offset == 2
        assert daemon.mesh.stats().gaps > 0
        fleet.log.missing_offset = None
        await wait_until(lambda: daemon.offset == 5)

    run_fleet(scenario, log=LogWithMissingRecord())


def test_transfers_are_shared_when_half_a_zone_restarts(run_fleet):
    """Half of a zone fails and restarts without state, all at one moment.

    Each new daemon fetches the state and the table of members from a peer. The
    survivors serve a bounded number of transfers per second and refer the rest
    to other peers, so that none of them carries the whole load.
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
        served = count_transfers(fleet)
        for place in range(12, 24):
            await fleet.start(f'a-{place}', zone='a', seeds=('a-0', 'a-1'))
        await wait_until(lambda: fleet.all_at(offset), within=TEN_SECONDS)
        await wait_until(lambda: fleet.all_know(24))
        added_transfers = [
            count - served.get(name, 0)
            for name, count in count_transfers(fleet).items()
        ]
        assert max(added_transfers) <= 12, added_transfers
        assert sum(d.mesh.stats().transfers_refused for d in daemons_of(fleet))

    run_fleet(scenario, settings=MeshSettings(transfers_per_second=2))


def test_a_busy_daemon_refers_others_to_its_peers(run_fleet):
    """A daemon gets thirty requests for its records at the same moment.

    It serves a few, and refers the rest to its peers at once.
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


def count_transfers(fleet):
    return {
        name: daemon.mesh.stats().transfers
        for name, daemon in fleet.daemons.items()
    }


def test_a_configuration_ignores_older_records():
    """Records that arrive twice, late or with a gap between them."""
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
    new_daemon = Configuration()
    new_daemon.restore(configuration.checkpoint())
    assert new_daemon.head() == configuration.head()
    assert new_daemon.records_after(1, 10) is None
