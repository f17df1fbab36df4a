"""Requests around a stop, at sites with different grace times."""

import pytest
import trio
from trio.testing import MockClock

#: Statuses that promise that a request has not run.
NOT_RUN = 503
#: Deadline of requests, beyond all grace times.
DEADLINE_MS = 30_000
#: Times of requests after the signal, in seconds.
SEND_TIMES = (0.2, 1, 1.8, 2.25, 2.5, 2.8, 3.5, 4.2, 5.2, 7, 8.5, 9.4)
LONG_WORK = 3.4
#: Time after which a request may be at work when the process ends: the last
#: sixth of the grace time, for requests that were sent early.
EXCUSED_SHARE = 5 / 6
EXCUSED_UNTIL = 3.0


def long_document(factories):
    """Make a configuration whose deadlines are beyond all grace times."""
    long = {'timeout': DEADLINE_MS, 'objective': 5000}
    rows = [
        factories.row('lookup', '/lookup/', **long),
        factories.row('fee', '/fee/', kind='non_idempotent', **long),
        factories.row(
            'photo', '/photo/', kind='upload', service='catalog', **long
        ),
    ]
    return factories.document(2, rows)


async def add_vms(site, factories):
    """Start a VM that will stop, and others that serve its requests."""
    site.store.write_as_operator('config', long_document(factories))
    stopping = await site.add_vm('vm1', service='catalog', slots=40)
    owner = await site.add_vm('vm2', slots=40)
    catalog = await site.add_vm('vm3', service='catalog', slots=40)
    await site.wait_until_converged()
    await site.wait_until_configured(2)
    return stopping, owner, catalog


class Caller:
    """Sends one request, on a fresh connection or on one that is kept."""

    def __init__(self, vm, id):
        self.id = id
        self.status = None
        self.sent_at = None
        self.ended_at = None
        self._vm = vm
        self._connection = None

    async def open(self):
        self._connection = await self._vm.connect()

    async def call(self, request):
        self.sent_at = trio.current_time()
        try:
            if self._connection is None:
                await self.open()
            await self._connection.send(request)
            self.status = (await self._connection.answer()).status
        except (OSError, trio.BrokenResourceError):
            # The connection had ended before the request was read.
            self.status = None
        self.ended_at = trio.current_time()

    def is_excused(self, stopped_at, grace):
        """Whether the process may have ended while this request ran."""
        return (
            self.sent_at <= stopped_at + EXCUSED_UNTIL
            and self.ended_at >= stopped_at + grace * EXCUSED_SHARE
        )


@pytest.mark.parametrize('grace', [1.5, 4, 6, 10])
@pytest.mark.parametrize('is_kept', [False, True])
@pytest.mark.parametrize(
    ('method', 'path'), [('POST', '/fee/1'), ('GET', '/lookup/1')]
)
def test_no_request_is_begun_that_cannot_end_before_the_process(
    run_scenario, factories, grace, is_kept, method, path
):
    """Guards against requests that the end of the grace time cuts."""

    async def scenario(site):
        site.grace = f'{grace}s'
        vm, owner, _ = await add_vms(site, factories)
        owner.upstream.service_time = LONG_WORK
        callers = [
            Caller(vm, f'r{number}') for number in range(len(SEND_TIMES))
        ]
        if is_kept:
            for caller in callers:
                await caller.open()
        async with trio.open_nursery() as nursery:
            stopped_at = trio.current_time()
            vm.stopping.set()
            for caller, at in zip(callers, SEND_TIMES, strict=True):
                await trio.sleep_until(stopped_at + at)
                request = factories.encode(
                    path, method=method, id=caller.id, deadline=DEADLINE_MS
                )
                nursery.start_soon(caller.call, request)
        await vm.ended.wait()
        assert vm.ended_at <= stopped_at + grace
        check_outcomes(callers, [owner.upstream], stopped_at, grace)

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def check_outcomes(callers, upstreams, stopped_at, grace):
    """Check that what was begun is answered, and nothing else has run."""
    begun = {run.id for one in upstreams for run in one.executions}
    for caller in callers:
        assert caller.ended_at < stopped_at + max(grace, SEND_TIMES[-1] + 1)
        if caller.id not in begun:
            assert caller.status in {None, NOT_RUN}, caller.id
        elif not caller.is_excused(stopped_at, grace):
            assert caller.status == 200, (
                caller.id,
                caller.status,
                caller.sent_at - stopped_at,
            )


@pytest.mark.parametrize('grace', [4, 6, 10])
def test_no_nested_call_is_begun_that_cannot_end_before_the_process(
    run_scenario, factories, grace
):
    """Guards against nested calls that a stop cuts while they run."""

    async def scenario(site):
        site.grace = f'{grace}s'
        first, vm, second = await add_vms(site, factories)
        vm.upstream.service_time = 60
        catalogs = [first.upstream, second.upstream]
        for upstream in catalogs:
            upstream.service_time = LONG_WORK
        parent = Caller(vm, 'p')
        callers = [
            Caller(vm, f'p.{number}') for number in range(len(SEND_TIMES))
        ]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                parent.call,
                factories.encode(
                    '/fee/1', method='POST', id='p', deadline=DEADLINE_MS
                ),
            )

            async def is_running():
                return bool(vm.upstream.running)

            await site.wait_until(is_running)
            stopped_at = trio.current_time()
            vm.stopping.set()
            for caller, at in zip(callers, SEND_TIMES, strict=True):
                await trio.sleep_until(stopped_at + at)
                request = factories.encode(
                    '/photo/1',
                    method='POST',
                    id=caller.id,
                    deadline=DEADLINE_MS,
                )
                nursery.start_soon(caller.call, request)
        await vm.ended.wait()
        assert vm.ended_at <= stopped_at + grace
        check_outcomes(callers, catalogs, stopped_at, grace)
        assert parent.status == 502
        # The parent is waited for until the process has to end.
        assert parent.ended_at >= stopped_at + grace * EXCUSED_SHARE

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize('grace', [4, 6, 10])
def test_short_requests_are_served_until_callers_know_of_a_stop(
    run_scenario, factories, grace
):
    """Guards against refusals of all requests whose deadlines are long."""

    async def scenario(site):
        site.grace = f'{grace}s'
        vm, owner, _ = await add_vms(site, factories)
        owner.upstream.service_time = 0.02
        for number in range(30):
            await vm.call('/lookup/1', id=f'w{number}', deadline=DEADLINE_MS)
        vm.stopping.set()
        for number in range(20):
            answer = await vm.call(
                '/lookup/1', id=f's{number}', deadline=DEADLINE_MS
            )
            assert answer.status == 200
            await trio.sleep(0.1)

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


@pytest.mark.parametrize('grace', [4, 10])
def test_requests_at_other_daemons_are_answered_at_the_end_of_a_stop(
    run_scenario, factories, grace
):
    """Guards against connections that end without an answer."""

    async def scenario(site):
        site.grace = f'{grace}s'
        vm, owner, _ = await add_vms(site, factories)
        owner.upstream.service_time = 60
        answers = []

        async def call(method, path, id):
            answers.append(
                await vm.call(path, method=method, id=id, deadline=DEADLINE_MS)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call, 'POST', '/fee/1', 'f')
            nursery.start_soon(call, 'GET', '/lookup/1', 'l')

            async def are_running():
                return owner.upstream.running == 2

            await site.wait_until(are_running)
            stopped_at = trio.current_time()
            vm.stopping.set()
        await vm.ended.wait()
        assert vm.ended_at <= stopped_at + grace
        # Whether the requests have run is unknown.
        assert [answer.status for answer in answers] == [502, 502]

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))
