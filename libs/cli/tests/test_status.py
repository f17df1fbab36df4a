"""``status``: which daemons lag, and why."""

from dataclasses import replace

import httpx
import msgspec
import pytest

from verbenamill_cli.errors import ExitCode
from verbenamill_model import (
    Service,
    State,
    Ticket,
    TicketRecord,
    accept,
    encode_record,
)
from verbenamill_model.traffic import Member
from verbenamill_model.typing import VmId


class Fleet:
    """Fake daemons that a mock HTTP transport serves.

    ``visible_members`` holds the ids in the answer of a daemon's
    ``/members``. A daemon without an entry knows all members.
    """

    def __init__(self):
        self.members = {}
        self.statuses = {}
        self.visible_members = {}
        self.unresponsive = set()

    def add(self, number, zone, *, offset, digest, members=4, ready=True):
        admin = f'10.0.0.{number}:7003'
        name = VmId(f'vm-{number}')
        self.members[admin] = Member(
            id=name,
            availability_zone=zone,
            region='tx',
            control=f'10.0.0.{number}:7002',
            calls=f'10.0.0.{number}:7001',
            incarnation=1,
            admin=admin,
        )
        self.statuses[admin] = {
            'id': name,
            'availability_zone': zone,
            'offset': offset,
            'version': offset,
            'digest': digest,
            'ready': ready,
            'members': members,
            'moves': 0,
        }

    def answer(self, request):
        admin = request.url.netloc.decode()
        if admin in self.unresponsive:
            raise httpx.ReadTimeout('silent')
        if request.url.path == '/status':
            return httpx.Response(200, json=self.statuses[admin])
        visible = [
            member
            for member in self.members.values()
            if admin not in self.visible_members
            or member.id in self.visible_members[admin]
        ]
        return httpx.Response(200, content=msgspec.json.encode(visible))


@pytest.fixture
def digests(log):
    """Digest of the state at each offset of a log with three records."""
    state = State()
    digest_by_offset = {}
    for number in range(1, 4):
        service = Service(name=f's{number}', version='v1')
        ticket = Ticket(number=number, author='ann', services=(service,))
        log.put('config', encode_record(TicketRecord(ticket=ticket)))
        entry = log.streams['config'][-1]
        state, _ = accept(state, entry)
        digest_by_offset[entry.offset] = state.digest
    return digest_by_offset


@pytest.fixture
def fleet(digests):
    fleet = Fleet()
    for number, zone in enumerate(('a', 'a', 'b', 'b'), start=1):
        fleet.add(number, zone, offset=2, digest=digests[2])
    return fleet


@pytest.fixture
def environment(environment, fleet):
    transport = httpx.MockTransport(lambda request: fleet.answer(request))
    return replace(
        environment,
        open_client=lambda: httpx.AsyncClient(transport=transport),
    )


@pytest.fixture
def status(run_json):
    """Run ``status --json`` and return the reason of each daemon."""

    def read_reasons(*, code):
        report = run_json(
            'status',
            '--daemon',
            'http://10.0.0.1:7003',
            '--timeout',
            0.1,
            code=code,
        )
        return {daemon['id']: daemon['reason'] for daemon in report['daemons']}

    return read_reasons


def test_all_up_to_date(status):
    assert set(status(code=ExitCode.OK).values()) == {''}


def test_reasons_of_lag(status, fleet, digests):
    """One daemon does not answer, one lags alone, one has another state."""
    fleet.unresponsive = {'10.0.0.2:7003'}
    fleet.add(3, 'b', offset=1, digest=digests[1])
    fleet.add(4, 'b', offset=2, digest='ffff')
    reasons = status(code=ExitCode.LAGGING)
    assert reasons['vm-1'] == ''
    assert reasons['vm-2'] == 'does not answer in time'
    assert reasons['vm-3'].startswith('1 record behind')
    assert 'differs from the others' in reasons['vm-4']


def test_zone_that_is_behind_as_a_whole(status, fleet, digests):
    """A network partition between zone b and the log makes all of b lag.

    Guards against reporting this as many unrelated slow daemons.
    """
    fleet.add(3, 'b', offset=1, digest=digests[1])
    fleet.add(4, 'b', offset=0, digest=digests[0])
    reasons = status(code=ExitCode.LAGGING)
    assert 'as all of b' in reasons['vm-3']
    assert 'as all of b' in reasons['vm-4']


def test_daemon_without_other_members_is_cut_off(status, fleet, digests):
    fleet.add(4, 'b', offset=0, digest=digests[0], members=1)
    assert 'cut off' in status(code=ExitCode.LAGGING)['vm-4']


def test_members_of_other_zones_are_found_through_their_own(status, fleet):
    """A daemon knows all members of its own zone but only some of the others.

    The first daemon of zone b that is asked does not answer; the second one
    knows the remaining members.
    """
    fleet.add(5, 'b', offset=2, digest='', members=4)
    fleet.statuses['10.0.0.5:7003']['digest'] = fleet.statuses['10.0.0.1:7003'][
        'digest'
    ]
    fleet.visible_members['10.0.0.1:7003'] = {'vm-1', 'vm-2', 'vm-3', 'vm-4'}
    fleet.unresponsive = {'10.0.0.3:7003'}
    assert set(status(code=ExitCode.LAGGING)) == {
        'vm-1',
        'vm-2',
        'vm-3',
        'vm-4',
        'vm-5',
    }


def test_log_outage_does_not_hide_the_daemons(status, log, fleet, digests):
    """While the log is down, daemons are compared with the newest of them."""
    log.down = True
    fleet.add(4, 'b', offset=1, digest=digests[1])
    reasons = status(code=ExitCode.LAGGING)
    assert [name for name, reason in reasons.items() if reason] == ['vm-4']


def test_large_fleet_is_summarised_by_zone(run, fleet, digests):
    """Of thousands of daemons only the lagging ones are listed."""
    for number in range(5, 105):
        fleet.add(number, 'c', offset=2, digest=digests[2])
    fleet.add(104, 'c', offset=1, digest=digests[1])
    command = ('status', '--daemon', 'http://10.0.0.1:7003')
    output = run(*command).stdout
    assert 'c     100      1' in output
    assert 'vm-104' in output
    assert 'vm-50' not in output
    assert 'vm-50' in run(*command, '--all').stdout


def test_running_move_is_described_by_a_daemon(run, log, fleet):
    """The shares of each version are known to the daemon but not on the log."""
    service = Service(
        name='s1',
        version='v2',
        deadline='2026-12-03T00:00:00Z',
    )
    ticket = Ticket(number=9, author='ann', services=(service,))
    log.put('config', encode_record(TicketRecord(ticket=ticket)))
    moves = [
        {
            'move': {
                'id': 3,
                'ticket': 9,
                'service': 's1',
                'old': 'v1',
                'new': 'v2',
                'accepted_at': '2026-12-02T00:00:00Z',
                'deadline': '2026-12-03T00:00:00Z',
                'profile': 'on-time',
            },
            'state': {'stages': {'a': 2}, 'veto': True, 'reason': 'slow'},
            'shares': {'v1': 0.75, 'v2': 0.25},
        },
    ]
    fleet.answer = lambda request: httpx.Response(200, json=moves)
    output = run('move', 'show', 3, '--daemon', 'http://10.0.0.1:7003').stdout
    assert 'v1 75%, v2 25%' in output
    assert 'no traffic: slow' in output
    assert 'a 2' in output
