"""What becomes of requests at a daemon that only seems to be lost."""

import pytest
import trio
from trio.testing import MockClock

from verbenamill_http.addresses import parse_address
from verbenamill_http.client import ClientResponse
from verbenamill_platform_standins.http_server import HttpResponse
from verbenamill_policy.placement import INITIAL_BACKOFF
from verbenamill_sidecar import ingress as ingress_module
from verbenamill_sidecar.call import Fate, Outcome, not_run, unknown
from verbenamill_sidecar.liveness import PROBE_PERIOD
from verbenamill_sidecar.passing_on import pass_on
from verbenamill_sidecar.peers import LOST_AFTER


def mute(vm):
    """Lose all datagrams that a daemon sends; its connections work."""
    vm.daemon._gossip._send_to = lambda *_, **__: None


async def open_pair(site):
    """A VM that only takes requests, and the only owner of their service."""
    ingress = await site.add('vm1', service='catalog')
    owner = await site.add('vm2')
    await site.settled()
    await site.in_force(1)
    return ingress, owner


async def is_running(vm):
    return bool(vm.upstream.running)


async def call_one(vm, answers, path, method='GET'):
    answers.append(await vm.call(path, method=method))


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_work_at_a_daemon_that_seems_lost_is_answered(play, method):
    # Callers get 502 for requests that an upstream is running. The daemon
    # that took a request hears nothing from the owner for a while, as its
    # signs of life wait in a full link, and breaks the run off; there is no
    # other owner. Both daemons stop meanwhile, which must finish what they
    # hold. The trace shows answers of 200 at the owner, and 502 before them.
    async def scene(site):
        ingress, owner = await open_pair(site)
        owner.upstream.service_time = 2 * SUSPECT_AFTER
        path = '/lookup/1' if method == 'GET' else '/fee/1'
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_one, ingress, answers, path, method)
            await site.until(lambda: is_running(owner))
            mute(owner)
            owner.stopping.set()
            ingress.stopping.set()
        assert [answer.status for answer in answers] == [200]
        assert len(owner.upstream.executions) == 1

    play(scene)


def test_one_connection_that_fails_breaks_nothing_off(play):
    # Callers get 502 for requests that an upstream is running, at the moment
    # at which the next request needs a further connection to the same daemon
    # and gets none: a lost packet, or a queue of connections that is full.
    # That is no proof that the daemon is gone; connections that are open
    # still work, and their answers come.
    async def scene(site):
        ingress, owner = await open_pair(site)
        owner.upstream.service_time = 0.5
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_one, ingress, answers, '/lookup/1')
            await site.until(lambda: is_running(owner))
            pool = ingress.daemon._peers.get('vm2').pool
            pool.address = parse_address('127.0.0.1:1')
            refused = await ingress.call('/lookup/2', id='r2')
            assert refused.status == 503
        assert [answer.status for answer in answers] == [200]
        assert len(owner.upstream.executions) == 1

    play(scene)


def test_a_lookup_at_a_lost_daemon_is_answered_by_another_one(play):
    # A zone is cut off while a lookup runs there. Nothing tells whether its
    # answer will come; waited for, the caller would get none. Another owner
    # answers it meanwhile, soon enough for objectives of 0.8 s and more.
    async def scene(site):
        ingress, lost = await open_pair(site)
        lost.upstream.service_time = 30
        other = await site.add('vm3', zone='z2')
        await site.settled()
        answers = []
        began = trio.current_time()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_one, ingress, answers, '/lookup/1')
            await site.until(lambda: is_running(lost))
            mute(lost)
        assert [answer.status for answer in answers] == [200]
        assert len(other.upstream.executions) == 1
        assert trio.current_time() - began <= 0.8

    play(scene, clock=MockClock(autojump_threshold=0))


def test_the_first_answer_counts_if_the_lost_daemon_is_not_lost(play):
    # A lookup's owner seems to be lost, and another one is asked as well. The
    # second one has no room; the caller still gets the first answer.
    async def scene(site):
        ingress, slow = await open_pair(site)
        slow.upstream.service_time = 2 * SUSPECT_AFTER
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_one, ingress, answers, '/lookup/1')
            await site.until(lambda: is_running(slow))
            mute(slow)
            full = await site.add('vm3', zone='z2')
            full.upstream.slots = 0
        assert [answer.body for answer in answers] == [b'answer to r1']
        assert not full.upstream.executions

    play(scene)


def test_a_fee_is_at_one_owner_only_whatever_seems_lost(play):
    # The owner of a fee seems to be lost while its upstream books it. Sent to
    # another owner as well, as a lookup is, it would be booked twice.
    async def scene(site):
        ingress, owner = await open_pair(site)
        owner.upstream.service_time = 2 * SUSPECT_AFTER
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_one, ingress, answers, '/fee/1', 'POST')
            await site.until(lambda: is_running(owner))
            mute(owner)
            other = await site.add('vm3', zone='z2')
        assert [answer.status for answer in answers] == [200]
        assert not other.upstream.executions

    play(scene)


def test_owners_that_refused_leave_room_for_one_in_place_of_the_lost(
    play,
    monkeypatch,
):
    # Two owners have no room for a lookup, and the third one falls silent.
    # The tries of a request are bounded, but one in doubt counts like one
    # that has ended: a fourth owner answers in time.
    asked = []

    async def scene(site):
        async def refuse_twice(call, peer, upstream, **more):
            asked.append(peer.record.vm)
            if len(asked) <= 2:
                return not_run('no slot in time')
            if len(asked) == 3:
                lost = next(vm for vm in vms if vm.name == asked[2])
                lost.upstream.service_time = 30
                mute(lost)
            return await forward_call(call, peer, upstream, **more)

        monkeypatch.setattr(ingress_module, 'forward_call', refuse_twice)
        vms = [await site.add(f'vm{place}') for place in range(2, 6)]
        caller = await site.add('vm1', service='catalog')
        await site.settled()
        await site.in_force(1)

        answers = []
        await call_one(caller, answers, '/lookup/1')
        assert [answer.status for answer in answers] == [200]
        assert len(asked) == 4

    play(scene)


def test_kept_connections_serve_while_new_ones_fail(play):
    # A full link makes each new connection to an owner fail. Requests that
    # find a kept one are answered; were these closed at the first failure,
    # every request would be refused until the link is free.
    async def scene(site):
        ingress, owner = await open_pair(site)
        assert (await ingress.call('/lookup/1')).status == 200
        peer = ingress.daemon._peers.get('vm2')
        peer.pool.address = parse_address('127.0.0.1:1')
        owner.upstream.service_time = 0.1
        answers = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(call_one, ingress, answers, '/lookup/2')
            await site.until(lambda: is_running(owner))
            assert (await ingress.call('/lookup/3')).status == 503
        await trio.sleep(INITIAL_BACKOFF)
        await call_one(ingress, answers, '/lookup/4')
        assert [answer.status for answer in answers] == [200, 200]

    play(scene)


def test_an_owner_that_is_heard_of_again_is_waited_for(play):
    # A lookup's owner seems to be lost, and another one is asked. The first
    # one is heard of again, then the second one fails. The doubt has passed,
    # so the caller gets the answer that is being made, not the failure.
    async def scene(site):
        ingress, slow = await open_pair(site)
        slow.upstream.service_time = 3 * SUSPECT_AFTER
        answers = []

        async def call():
            answers.append(await ingress.call('/lookup/1', deadline=2000))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            await site.until(lambda: is_running(slow))
            send = slow.daemon._gossip._send_to
            mute(slow)
            other = await site.add(
                'vm3', zone='z2', service_time=2 * PROBE_PERIOD
            )
            other.upstream.script = fail
            await site.until(lambda: is_running(other))
            slow.daemon._gossip._send_to = send
        assert len(other.upstream.executions) == 1
        assert [answer.body for answer in answers] == [b'answer to r1']

    play(scene)


def fail(asked):
    id = asked.headers['x-attempt-id']
    return HttpResponse(
        500, {'X-Attempt-Id': id, 'X-Response-Seal': 's'}, b'failed'
    )


@pytest.fixture
def call_scripted(play, monkeypatch):
    """Call with scripted owners; the status, and how many were asked."""

    def call(*script, vms=3):
        asked = []

        async def answer(call, peer, upstream, *, sender, on_suspect):
            asked.append(peer.record.vm)
            return await script[min(len(asked), len(script)) - 1](on_suspect)

        async def scene(site):
            monkeypatch.setattr(ingress_module, 'forward_call', answer)
            caller = await site.add('vm1', service='catalog')
            for place in range(vms):
                await site.add(f'owner{place}')
            await site.settled()
            await site.in_force(1)
            statuses.append((await caller.call('/lookup/1')).status)

        statuses = []
        play(scene)
        return statuses[0], len(asked)

    return call


#: A doubt that no sign of life ends; the daemons here go on giving such signs.
FOR_GOOD = float('inf')


async def doubted_then_good(on_suspect):
    on_suspect(FOR_GOOD)
    await trio.sleep(0.5)
    answer = ClientResponse(status=200, headers=[], body=b'ok')
    return Outcome(
        execution=ExecutionStatus.ANSWERED, answer=answer, reached=True
    )


async def doubted_then_broken(on_suspect):
    on_suspect(FOR_GOOD)
    await trio.sleep(0.5)
    return unknown('the connection to the owner broke')


async def doubted_for_long(on_suspect):
    while True:
        on_suspect(FOR_GOOD)
        await trio.sleep(0.1)


async def full_everywhere(_):
    await trio.sleep(0.05)
    outcome = not_run('a service that it calls has no room')
    outcome.everywhere = True
    return outcome


def test_a_refusal_for_all_owners_hides_no_run(call_scripted):
    # The second owner refuses for all, while the first one, in doubt, runs
    # the request. "Not run" would not be true.
    assert call_scripted(doubted_then_good, full_everywhere) == (200, 2)


def test_a_refusal_for_all_owners_ends_the_search(call_scripted):
    # The same, and the first one breaks off: that it may have run is told,
    # and no third owner is asked that would refuse as well.
    assert call_scripted(doubted_then_broken, full_everywhere) == (502, 2)


def test_owners_in_doubt_count_among_the_most_that_may_see_a_request(
    call_scripted,
):
    # Each owner in turn seems lost. Each may have run the request, so no more
    # than the route allows are asked.
    assert call_scripted(doubted_for_long, vms=4) == (504, 2)
