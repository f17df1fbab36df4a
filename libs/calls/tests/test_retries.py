"""Retries, hedges, ejection and cancellation."""

from datetime import timedelta
from functools import partial

import trio

from verbenamill_calls import CallSettings

QUICK = CallSettings(ramp=timedelta(0))


def fail_with(upstream, status):
    async def answer(stream, target):
        await upstream.reply(stream, b'no', status)

    upstream.answer = answer


def test_dead_owner_costs_its_callers_nothing(fleet):
    """One of two owners dies without a word, and is then left alone."""

    async def check(daemons, nursery):
        ingress, dead, _ = daemons
        ingress.stand_aside()
        await trio.sleep(1)
        dead.server_scope.cancel()
        for method in ('GET', 'POST') * 20:
            answer = await ingress.call(method, '/entries/7')
            assert answer.status == 200
        assert ingress.server.stats().retries <= 4

    fleet(check, 3)


def test_failing_upstream_gets_no_retry_storm(fleet):
    """Every upstream fails; the load on them stays near that of the calls."""

    async def check(daemons, nursery):
        for daemon in daemons:
            fail_with(daemon.upstream, 502)
        for _ in range(100):
            answer = await daemons[0].call('GET', '/entries/7')
            assert answer.status == 502
        seen = sum(len(daemon.upstream.targets) for daemon in daemons)
        assert 100 < seen <= 100 + 10 + 100 * 0.1 + 1

    fleet(check, 3)


def test_call_that_may_not_be_repeated_is_not_retried(fleet):
    async def check(daemons, nursery):
        for daemon in daemons:
            fail_with(daemon.upstream, 503)
        for _ in range(5):
            answer = await daemons[0].call('POST', '/entries/fee', b'1')
            assert answer.status == 503
        assert sum(len(one.upstream.targets) for one in daemons) == 5

    fleet(check, 2)


def test_stalled_upstream_is_hedged_and_its_slot_freed(fleet):
    """One upstream stalls; a second one answers and the first is cancelled."""

    async def check(daemons, nursery):
        ingress, stalled, well = daemons
        ingress.stand_aside()
        await trio.sleep(1)
        stalled.upstream.answer = partial(stalled.upstream.slow, 50)
        began_at = trio.current_time()
        for _ in range(5):
            answer = await ingress.call('GET', '/entries/7')
            assert answer.status == 200
        assert trio.current_time() - began_at < 2
        await trio.sleep(2)
        assert stalled.upstream.targets
        assert stalled.upstream.running == 0
        assert stalled.local.admission.running == 0
        assert set(stalled.outcomes) == {'cancelled'}

    fleet(check, 3, QUICK)


def test_silent_link_is_told_from_a_slow_upstream(fleet, link):
    """All open connections to the only owner have gone silent.

    The ingress asks over a new one, learns that the owner knows nothing of
    the call, and repeats it there, long before its deadline.
    """

    async def check(daemons, nursery):
        ingress, owner = daemons
        ingress.stand_aside()
        relay = await link(owner, nursery)
        await trio.sleep(1)
        for _ in range(2):
            await ingress.call('GET', '/entries/warm')
        relay.silence()
        began_at = trio.current_time()
        answer = await ingress.call('GET', '/entries/7')
        assert answer.status == 200
        assert trio.current_time() - began_at < 3
        owner.upstream.answer = partial(owner.upstream.slow, 5)
        answer = await ingress.call('GET', '/entries/slow')
        assert answer.status == 200
        assert owner.upstream.targets.count(b'/entries/slow') == 1

    fleet(check, 2)


def test_silent_upstream_connection_is_replaced(fleet):
    """The upstream's side of an open connection is lost; a new one works."""

    async def check(daemons, nursery):
        upstream = daemons[0].upstream
        await daemons[0].call('GET', '/entries/warm')
        seen = len(upstream.targets)

        async def lost(stream, target):
            upstream.answer = upstream.echo
            await trio.sleep_forever()

        upstream.answer = lost
        answer = await daemons[0].call('GET', '/entries/7')
        assert answer.status == 200
        assert len(upstream.targets) == seen + 2

    fleet(check, 1)


def test_caller_that_hangs_up_frees_the_slot(fleet, http):
    """The caller closes; over one hop the upstream's work is cancelled."""

    async def check(daemons, nursery):
        ingress, owner = daemons
        ingress.stand_aside()
        await trio.sleep(1)
        owner.upstream.answer = partial(owner.upstream.slow, 8)
        async with await ingress.connect() as stream:
            await stream.send_all(http.encode('GET', '/entries/7'))
            await trio.sleep(0.3)
            assert owner.local.admission.running == 1
        await trio.sleep(2)
        assert owner.upstream.cancelled == 1
        assert owner.local.admission.running == 0
        assert owner.outcomes == ['cancelled']

    fleet(check, 2)


def test_deadline_reaches_the_upstream(fleet):
    async def check(daemons, nursery):
        ingress, owner = daemons
        ingress.stand_aside()
        await ingress.call('GET', '/entries', x_request_timeout_ms='700')
        told = int(owner.upstream.heads[0][b'x-request-timeout-ms'])
        assert 0 < told <= 700
        owner.upstream.answer = partial(owner.upstream.slow, 8)
        answer = await ingress.call(
            'GET',
            '/entries',
            x_request_timeout_ms='700',
        )
        assert answer.status == 504
        await trio.sleep(2)
        assert 'failed' not in owner.outcomes

    fleet(check, 2)


def test_ejected_owner_is_probed_back(fleet):
    async def check(daemons, nursery):
        ingress, sick, well = daemons
        ingress.stand_aside()
        fail_with(sick.upstream, 500)
        for _ in range(40):
            await ingress.call('GET', '/entries/7')
        while_sick = len(sick.upstream.targets)
        assert while_sick <= 8
        sick.upstream.answer = sick.upstream.echo
        await trio.sleep(3)
        for _ in range(20):
            answer = await ingress.call('GET', '/entries/7')
            assert answer.status == 200
        assert len(sick.upstream.targets) > while_sick + 2

    fleet(check, 3)


def test_own_zone_first_and_others_when_it_is_short(fleet):
    """One owner in the own zone, one in another; 24 calls at once."""

    async def check(daemons, nursery):
        ingress = daemons[0]
        ingress.stand_aside()
        await ingress.fleet.start(nursery, 1, zone='tx-2')
        near, far = daemons[1:]
        await trio.sleep(1)
        for _ in range(10):
            await ingress.call('GET', '/entries/7')
        assert not far.upstream.targets
        for daemon in (near, far):
            daemon.upstream.answer = partial(daemon.upstream.slow, 0.1)

        async def call():
            answer = await ingress.call('GET', '/entries/7')
            assert answer.status == 200

        async with trio.open_nursery() as calls:
            for _ in range(8):
                calls.start_soon(call)
        assert far.upstream.targets

    fleet(check, 2, QUICK)


def test_call_without_time_left_is_not_sent(fleet):
    async def check(daemons, nursery):
        answer = await daemons[0].call(
            'POST',
            '/entries',
            b'1',
            x_request_timeout_ms='0',
        )
        assert (answer.status, answer.outcome) == (504, b'not-run')
        assert not daemons[0].upstream.targets
        assert daemons[0].local.admission.running == 0

    fleet(check, 1)
