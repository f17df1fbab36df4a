"""Requests at a daemon that is suspected to be lost."""

import pytest
import trio
from trio.testing import MockClock

from verbenamill_http.addresses import parse_address
from verbenamill_http.client import ClientResponse
from verbenamill_platform_standins.http_server import HttpResponse
from verbenamill_policy.placement import INITIAL_BACKOFF
from verbenamill_sidecar.routing import ingress as ingress_module
from verbenamill_sidecar.routing.call import (
    ExecutionStatus,
    Outcome,
    not_run,
    unknown,
)
from verbenamill_sidecar.routing.forwarding import forward_call
from verbenamill_sidecar.membership.liveness import PROBE_PERIOD
from verbenamill_sidecar.membership.peers import SUSPECT_AFTER


def drop_datagrams_of(vm):
    """Drop all datagrams that a daemon sends; its connections keep working."""
    vm.daemon._gossip._send_to = lambda *_, **__: None


async def open_pair(site):
    """Start a VM that only receives requests, and their only owner."""
    ingress = await site.add_vm('vm1', service='catalog')
    owner = await site.add_vm('vm2')
    await site.wait_until_converged()
    await site.wait_until_configured(1)
    return ingress, owner


async def is_running(vm):
    return bool(vm.upstream.running)


async def call_one(vm, answers, path, method='GET'):
    answers.append(await vm.call(path, method=method))


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_a_request_at_a_suspected_daemon_is_answered(run_scenario, method):
    # Callers got 502 for requests that an upstream was still running. The
    # ingress daemon hears nothing from the owner for a while, because the
    # owner's heartbeats are queued in a saturated link, and gives the request
    # up; there is no other owner. Both daemons are stopping meanwhile, but must
    # complete their running requests. The owner answered with 200, but only
    # after the callers had got 502.
    async def scenario(site):
        ingress, owner = await open_pair(site)
        owner.upstream.service_time = 2 * SUSPECT_AFTER
        path = '/lookup/1' if method == 'GET' else '/fee/1'
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_one, ingress, answers, path, method)
            await site.wait_until(lambda: is_running(owner))
            drop_datagrams_of(owner)
            owner.stopping.set()
            ingress.stopping.set()
        assert [answer.status for answer in answers] == [200]
        assert len(owner.upstream.executions) == 1

    run_scenario(scenario)


def test_a_failed_connection_cancels_no_running_request(run_scenario):
    # Callers got 502 for requests that an upstream was still running, at the
    # moment when the next request needed another connection to the same daemon
    # and failed to open it, because of a lost packet or a full accept queue.
    # That does not prove that the daemon is gone: open connections still work,
    # and their responses arrive.
    async def scenario(site):
        ingress, owner = await open_pair(site)
        owner.upstream.service_time = 0.5
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_one, ingress, answers, '/lookup/1')
            await site.wait_until(lambda: is_running(owner))
            pool = ingress.daemon._peers.get('vm2').pool
            pool.address = parse_address('127.0.0.1:1')
            refused = await ingress.call('/lookup/2', id='r2')
            assert refused.status == 503
        assert [answer.status for answer in answers] == [200]
        assert len(owner.upstream.executions) == 1

    run_scenario(scenario)


def test_a_lookup_at_a_lost_daemon_is_answered_by_another_owner(run_scenario):
    # A zone is cut off while a lookup runs there. It is unknown whether its
    # response will arrive, and a caller that waits for it might get none.
    # Another owner answers the lookup meanwhile, in time for latency objectives
    # of 0.8 s and more.
    async def scenario(site):
        ingress, lost = await open_pair(site)
        lost.upstream.service_time = 30
        other = await site.add_vm('vm3', zone='z2')
        await site.wait_until_converged()
        answers = []
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_one, ingress, answers, '/lookup/1')
            await site.wait_until(lambda: is_running(lost))
            drop_datagrams_of(lost)
        assert [answer.status for answer in answers] == [200]
        assert len(other.upstream.executions) == 1
        assert trio.current_time() - began <= 0.8

    run_scenario(scenario, clock=MockClock(autojump_threshold=0))


def test_the_response_of_a_suspected_daemon_still_counts(run_scenario):
    # The owner of a lookup is suspected to be lost, and the lookup also goes to
    # a second owner, which has no free slot. The caller still gets the response
    # of the first owner.
    async def scenario(site):
        ingress, slow = await open_pair(site)
        slow.upstream.service_time = 2 * SUSPECT_AFTER
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_one, ingress, answers, '/lookup/1')
            await site.wait_until(lambda: is_running(slow))
            drop_datagrams_of(slow)
            full_vm = await site.add_vm('vm3', zone='z2')
            full_vm.upstream.slots = 0
        assert [answer.body for answer in answers] == [b'answer to r1']
        assert not full_vm.upstream.executions

    run_scenario(scenario)


def test_a_fee_stays_at_one_owner_even_if_that_is_suspected(run_scenario):
    # The owner of a fee is suspected to be lost while its upstream books the
    # fee. If the fee also went to another owner, as a lookup does, it would be
    # booked twice.
    async def scenario(site):
        ingress, owner = await open_pair(site)
        owner.upstream.service_time = 2 * SUSPECT_AFTER
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_one, ingress, answers, '/fee/1', 'POST')
            await site.wait_until(lambda: is_running(owner))
            drop_datagrams_of(owner)
            other = await site.add_vm('vm3', zone='z2')
        assert [answer.status for answer in answers] == [200]
        assert not other.upstream.executions

    run_scenario(scenario)


def test_a_suspected_owner_leaves_an_attempt_for_another_owner(
    run_scenario,
    monkeypatch,
):
    # Two owners have no free slot for a lookup, and the third one falls silent.
    # The attempts of a request are bounded, but an attempt at a suspected owner
    # counts as ended: a fourth owner answers in time.
    tried = []

    async def scenario(site):
        async def refuse_twice(call, peer, upstream, **more):
            tried.append(peer.record.vm)
            if len(tried) <= 2:
                return not_run('no slot in time')
            if len(tried) == 3:
                lost = next(vm for vm in vms if vm.name == tried[2])
                lost.upstream.service_time = 30
                drop_datagrams_of(lost)
            return await forward_call(call, peer, upstream, **more)

        monkeypatch.setattr(ingress_module, 'forward_call', refuse_twice)
        vms = [await site.add_vm(f'vm{place}') for place in range(2, 6)]
        caller = await site.add_vm('vm1', service='catalog')
        await site.wait_until_converged()
        await site.wait_until_configured(1)

        answers = []
        await call_one(caller, answers, '/lookup/1')
        assert [answer.status for answer in answers] == [200]
        assert len(tried) == 4

    run_scenario(scenario)


def test_open_connections_are_used_while_new_ones_fail(run_scenario):
    # A saturated link makes each new connection to an owner fail. Requests that
    # get a pooled connection are answered. If the pool were closed at the first
    # failure, every request would be rejected until the link recovers.
    async def scenario(site):
        ingress, owner = await open_pair(site)
        assert (await ingress.call('/lookup/1')).status == 200
        peer = ingress.daemon._peers.get('vm2')
        peer.pool.address = parse_address('127.0.0.1:1')
        owner.upstream.service_time = 0.1
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_one, ingress, answers, '/lookup/2')
            await site.wait_until(lambda: is_running(owner))
            assert (await ingress.call('/lookup/3')).status == 503
        await trio.sleep(INITIAL_BACKOFF)
        await call_one(ingress, answers, '/lookup/4')
        assert [answer.status for answer in answers] == [200, 200]

    run_scenario(scenario)


def test_an_owner_that_is_no_longer_suspected_is_waited_for(run_scenario):
    # The owner of a lookup is suspected to be lost, and the lookup also goes to
    # a second owner. The first owner is heard from again; then the second one
    # fails. The suspicion has ended, so the caller gets the response of the
    # first owner and not the failure.
    async def scenario(site):
        ingress, slow = await open_pair(site)
        slow.upstream.service_time = 3 * SUSPECT_AFTER
        answers = []

        async def call():
            answers.append(await ingress.call('/lookup/1', deadline=2000))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await site.wait_until(lambda: is_running(slow))
            send = slow.daemon._gossip._send_to
            drop_datagrams_of(slow)
            other = await site.add_vm(
                'vm3', zone='z2', service_time=2 * PROBE_PERIOD
            )
            other.upstream.script = fail
            await site.wait_until(lambda: is_running(other))
            slow.daemon._gossip._send_to = send
        assert len(other.upstream.executions) == 1
        assert [answer.body for answer in answers] == [b'answer to r1']

    run_scenario(scenario)


def fail(request):
    id = request.headers['x-attempt-id']
    return HttpResponse(
        500, {'X-Attempt-Id': id, 'X-Response-Seal': 's'}, b'failed'
    )


@pytest.fixture
def call_scripted(run_scenario, monkeypatch):
    """Call with scripted owners; return the status and number of attempts."""

    def call(*script, vms=3):
        tried = []

        async def answer(call, peer, upstream, *, on_suspect, **_):
            tried.append(peer.record.vm)
            return await script[min(len(tried), len(script)) - 1](on_suspect)

        async def scenario(site):
            monkeypatch.setattr(ingress_module, 'forward_call', answer)
            caller = await site.add_vm('vm1', service='catalog')
            for place in range(vms):
                await site.add_vm(f'owner{place}')
            await site.wait_until_converged()
            await site.wait_until_configured(1)
            statuses.append((await caller.call('/lookup/1')).status)

        statuses = []
        run_scenario(scenario)
        return statuses[0], len(tried)

    return call


#: Suspicion that no heartbeat ends; the daemons here keep sending heartbeats.
FOREVER = float('inf')


async def suspected_then_answered(on_suspect):
    on_suspect(FOREVER)
    await trio.sleep(0.5)
    answer = ClientResponse(status=200, headers=[], body=b'ok')
    return Outcome(
        execution=ExecutionStatus.ANSWERED, answer=answer, reached=True
    )


async def suspected_then_broken(on_suspect):
    on_suspect(FOREVER)
    await trio.sleep(0.5)
    return unknown('the connection to the owner broke')


async def suspected_forever(on_suspect):
    while True:
        on_suspect(FOREVER)
        await trio.sleep(0.1)


async def rejected_for_all_owners(_):
    await trio.sleep(0.05)
    outcome = not_run('a service that it calls has no room')
    outcome.everywhere = True
    return outcome


def test_a_rejection_for_all_owners_does_not_hide_a_run(call_scripted):
    # The second owner rejects the request on behalf of all owners, while the
    # first one, which is suspected, runs it. "Not run" would be untrue.
    assert call_scripted(suspected_then_answered, rejected_for_all_owners) == (
        200,
        2,
    )


def test_a_rejection_for_all_owners_ends_the_attempts(call_scripted):
    # As above, but the connection to the first owner breaks. The caller learns
    # that the request may have run, and no third owner is tried, as it would
    # reject the request as well.
    assert call_scripted(suspected_then_broken, rejected_for_all_owners) == (
        502,
        2,
    )


def test_suspected_owners_count_towards_the_maximum_attempts(
    call_scripted,
):
    # Each owner in turn is suspected. Each may have run the request, so no more
    # owners are tried than the maximum attempts of the route.
    assert call_scripted(suspected_forever, vms=4) == (504, 2)
