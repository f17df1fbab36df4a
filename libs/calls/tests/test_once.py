"""Calls that may not be repeated run at most once, whatever the links do."""

from functools import partial

import trio


def runs(daemons):
    return sum(len(daemon.upstream.targets) for daemon in daemons)


async def warm(ingress):
    """Have the ingress hold open connections to the owners."""
    answer = await ingress.call('GET', '/entries/warm')
    assert answer.status == 200


def test_swallowed_answer_is_fetched_over_a_new_link(fleet, link):
    """The caller pays a fee; the owner runs it and answers.

    Something between the daemons has lost track of the connection, so the
    answer never arrives. The ingress asks over a new connection and brings
    the first and only run's answer.
    """

    async def check(daemons, nursery):
        ingress, owner = daemons
        ingress.stand_aside()
        relay = await link(owner, nursery)
        await trio.sleep(1)
        await warm(ingress)
        relay.silence(deaf=False)
        answer = await ingress.call('POST', '/entries/fee', b'100')
        assert (answer.status, answer.body) == (200, b'/entries/fee')
        assert owner.upstream.targets.count(b'/entries/fee') == 1
        assert ingress.server.stats().recovered == 1

    fleet(check, 2)


def test_running_call_is_waited_for_over_a_new_link(fleet, link):
    """As above, but the call still runs when the ingress asks."""

    async def check(daemons, nursery):
        ingress, owner = daemons
        ingress.stand_aside()
        relay = await link(owner, nursery)
        await trio.sleep(1)
        await warm(ingress)
        owner.upstream.answer = partial(owner.upstream.slow, 4)
        relay.silence(deaf=False)
        answer = await ingress.call('POST', '/entries/fee', b'100')
        assert answer.status == 200
        assert owner.upstream.targets.count(b'/entries/fee') == 1

    fleet(check, 2)


def test_late_copy_of_a_call_told_not_run_never_runs(fleet, link):
    """The caller pays a fee; the request is held up between the daemons.

    The ingress asks, the owner has never seen it and refuses it for good,
    so the caller learns "not run". Then the held request arrives after all.
    """

    async def check(daemons, nursery):
        ingress, owner = daemons
        ingress.stand_aside()
        relay = await link(owner, nursery)
        await trio.sleep(1)
        await warm(ingress)
        relay.silence()
        answer = await ingress.call('POST', '/entries/fee', b'100')
        assert answer.status == 503
        assert answer.outcome == b'not-run'
        await relay.deliver_late()
        await trio.sleep(5)
        assert b'/entries/fee' not in owner.upstream.targets
        assert owner.server.stats().hops == 2

    fleet(check, 2)


def test_proven_not_run_goes_to_another_owner(fleet, link):
    """As above with a second owner: there the call may run, once."""

    async def check(daemons, nursery):
        ingress, held, other = daemons
        ingress.stand_aside()
        other.stand_aside()
        relay = await link(held, nursery)
        await trio.sleep(1)
        await warm(ingress)
        relay.silence()
        other.service = 'entries'
        other.slots = 1
        other.announce()
        held.slots = 100
        held.announce()
        for _ in range(6):
            answer = await ingress.call('POST', '/entries/fee', b'100')
            assert answer.status == 200
        await relay.deliver_late()
        await trio.sleep(5)
        assert ingress.server.stats().asked
        assert runs([held, other]) == 7

    fleet(check, 3)


def test_owner_without_memory_cannot_say_not_run(fleet, link):
    """The owner runs a fee, and its process is replaced meanwhile.

    The new process has never seen the call, as it has seen none. Were that
    told as "not run", the caller would pay twice.
    """

    async def check(daemons, nursery):
        ingress, owner = daemons
        ingress.stand_aside()
        relay = await link(owner, nursery)
        await trio.sleep(1)
        await warm(ingress)
        owner.upstream.answer = partial(owner.upstream.slow, 8)
        relay.silence(deaf=False)
        async with trio.open_nursery() as calls:

            async def restart():
                await trio.sleep(0.5)
                await owner.restart(nursery)

            calls.start_soon(restart)
            answer = await ingress.call('POST', '/entries/fee', b'100')
        assert answer.status == 502
        assert answer.outcome == b'unknown'
        assert owner.upstream.targets.count(b'/entries/fee') == 1

    fleet(check, 2)


def test_dead_owner_leaves_the_outcome_unknown(fleet):
    """The owner dies while a fee runs; the call goes nowhere else."""

    async def check(daemons, nursery):
        ingress, owner, other = daemons
        ingress.stand_aside()
        other.stand_aside()
        await trio.sleep(1)
        owner.upstream.answer = partial(owner.upstream.slow, 8)

        async def die():
            await trio.sleep(0.5)
            other.service = 'entries'
            other.announce()
            owner.server_scope.cancel()

        nursery.start_soon(die)
        answer = await ingress.call('POST', '/entries/fee', b'100')
        assert answer.outcome == b'unknown'
        assert runs(daemons) == 1

    fleet(check, 3)


def test_key_gets_the_first_answer_through_any_daemon(fleet):
    """A family presses "pay" twice; the calls enter at two daemons."""

    async def check(daemons, nursery):
        for daemon in daemons:
            daemon.upstream.answer = partial(daemon.upstream.slow, 1)
        answers = []

        async def pay(daemon):
            answer = await daemon.call(
                'POST',
                '/entries/fee',
                b'100',
                idempotency_key='k1',
            )
            answers.append((answer.status, answer.body))

        async with trio.open_nursery() as calls:
            for daemon in daemons:
                calls.start_soon(pay, daemon)
        await pay(daemons[0])
        assert answers == [(200, b'/entries/fee')] * 4
        assert runs(daemons) == 1
        answer = await daemons[1].call(
            'POST',
            '/entries/fee',
            b'200',
            idempotency_key='k1',
        )
        assert answer.status == 422
        assert runs(daemons) == 1

    fleet(check, 3)


def test_lost_upstream_connection_is_unknown_and_stays_so(fleet):
    """The upstream drops the connection in the midst of a fee.

    It may have run, so neither the owner nor a second call with the same
    key may run it again.
    """

    async def check(daemons, nursery):
        async def drop(stream, target):
            await stream.aclose()

        for daemon in daemons:
            daemon.upstream.answer = drop
        for daemon in (daemons[0], daemons[1], daemons[0]):
            answer = await daemon.call(
                'POST',
                '/entries/fee',
                b'100',
                idempotency_key='k2',
            )
            assert answer.outcome == b'unknown'
        assert runs(daemons) == 1

    fleet(check, 2)


def test_lost_second_call_of_a_key_is_not_told_as_not_run(fleet, link):
    """A fee runs; its caller sends it once more with the same key.

    The link swallows the second one. It did not run, but the fee did, so
    "not run" would have the family pay by other means.
    """

    async def check(daemons, nursery):
        ingress, owner = daemons
        ingress.stand_aside()
        relay = await link(owner, nursery)
        await trio.sleep(1)
        pay = partial(
            ingress.call,
            'POST',
            '/entries/fee',
            b'100',
            idempotency_key='k',
        )
        assert (await pay()).status == 200
        relay.silence()
        assert (await pay()).outcome == b'unknown'
        assert (await pay()).status == 200
        relay.silence(deaf=False)
        assert (await pay()).status == 200
        assert ingress.server.stats().recovered == 1
        assert owner.upstream.targets.count(b'/entries/fee') == 1

    fleet(check, 2)


def test_key_does_not_move_on_from_an_owner_out_of_reach(fleet):
    """A fee ran; its owner dies, and the family presses "pay" again.

    The other owner would run it once more, and "not run" would be taken for
    the fee and not for this call.
    """

    async def check(daemons, nursery):
        ingress = daemons[0]
        ingress.stand_aside()
        await trio.sleep(1)
        pay = partial(
            ingress.call,
            'POST',
            '/entries/fee',
            b'100',
            idempotency_key='k',
        )
        assert (await pay()).status == 200
        ran = [one for one in daemons if one.upstream.targets]
        ran[0].server_scope.cancel()
        assert (await pay()).outcome == b'unknown'
        assert runs(daemons) == 1

    fleet(check, 3)
