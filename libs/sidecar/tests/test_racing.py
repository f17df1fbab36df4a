"""Concurrent attempts of one request, without a network."""

import pytest
import trio
import trio.testing

from verbenamill_http.client import ClientResponse
from verbenamill_policy.members import MemberRecord
from verbenamill_sidecar.routing.call import (
    ExecutionStatus,
    Outcome,
    not_run,
    unknown,
)
from verbenamill_sidecar.membership.peers import Peer
from verbenamill_sidecar.routing.racing import Race

#: Number of runs, as trio runs tasks that are ready together in random order.
ROUNDS = 20


def make_peer(vm):
    return Peer(
        MemberRecord(
            vm=vm,
            incarnation=1,
            sequence=0,
            availability_zone='z',
            calls='127.0.0.1:1',
            gossip='127.0.0.1:1',
        ),
    )


def answered(status):
    answer = ClientResponse(status=status, headers=[], body=b'')
    return Outcome(
        execution=ExecutionStatus.ANSWERED, answer=answer, reached=True
    )


@pytest.mark.parametrize(
    'other',
    [not_run('no slot in time'), unknown('it broke'), answered(500)],
)
def test_a_failure_does_not_hide_an_answer_that_came_with_it(other):
    # A lookup's owner is suspected, and another one is asked as well. A delayed
    # link delivers both replies in the same step. If the ingress stopped at
    # the refusal, the caller would get it instead of the answer.
    async def attempt(outcome, _):
        return outcome

    async def main():
        async with trio.open_nursery() as nursery:
            race = Race(nursery)
            for vm, outcome in (('vm1', other), ('vm2', answered(200))):
                race.start(
                    make_peer(vm),
                    lambda on_suspect, outcome=outcome: attempt(
                        outcome, on_suspect
                    ),
                )
            _, first = await race.wait()
            assert first.answer.status == 200
            assert race.in_progress == 1
            assert not race.all_suspected

    for _ in range(ROUNDS):
        trio.run(main)


def test_a_suspicion_ends_the_wait_and_the_response_still_counts():
    async def main():
        callbacks = []
        may_respond = trio.Event()

        async def attempt(on_suspect):
            callbacks.append(on_suspect)
            await may_respond.wait()
            return answered(200)

        async with trio.open_nursery() as nursery:
            race = Race(nursery)
            race.start(make_peer('vm1'), attempt)
            await trio.testing.wait_all_tasks_blocked()
            assert not race.all_suspected
            async with trio.open_nursery() as waiting:
                waiting.start_soon(_expect_wait_result, race, None)
                await trio.testing.wait_all_tasks_blocked()
                callbacks[0](trio.current_time())
            assert race.all_suspected
            may_respond.set()
            _, outcome = await race.wait()
            assert outcome.answer.status == 200
            assert race.in_progress == 0

    trio.run(main)


def test_another_task_gets_the_outcome_once_the_owner_is_suspected():
    # Guards against an outcome that is lost or counted twice when a request
    # goes on in another task than the one that runs its first attempt.
    async def main():
        found = []

        async def attempt(on_suspect):
            on_suspect(trio.current_time())
            on_suspect(trio.current_time())
            await trio.testing.wait_all_tasks_blocked()
            return answered(200)

        async def go_on():
            assert race.in_progress == 1
            while (ended := await race.wait()) is None:
                assert race.all_suspected
            found.append(ended[1].answer.status)

        async with trio.open_nursery() as nursery:
            race = Race(nursery)
            assert await race.run_here(make_peer('vm1'), attempt, go_on) is None
        assert found == [200]
        assert race.in_progress == 0

    for _ in range(ROUNDS):
        trio.run(main)


async def _expect_wait_result(race, expected):
    assert await race.wait() is expected
