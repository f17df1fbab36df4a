"""Tries of one request side by side, without a network."""

import pytest
import trio
import trio.testing

from verbenamill_http.client import ClientResponse
from verbenamill_policy.members import MemberRecord
from verbenamill_sidecar.call import ExecutionStatus, Outcome, not_run, unknown
from verbenamill_sidecar.peers import Peer
from verbenamill_sidecar.racing import Race

#: Tasks that are ready together run in an order that is drawn each time.
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
    # The owner of a lookup seems to be lost, and another one is asked too. A
    # link that was held up lets both replies through in one step. If the
    # refusal is taken for the end, the caller gets it in place of the answer.
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
            assert race.under_way == 1
            assert not race.is_in_doubt

    for _ in range(ROUNDS):
        trio.run(main)


def test_a_doubt_wakes_who_waits_and_the_answer_still_counts():
    async def main():
        doubts = []
        goes_on = trio.Event()

        async def attempt(on_suspect):
            doubts.append(on_suspect)
            await goes_on.wait()
            return answered(200)

        async with trio.open_nursery() as nursery:
            race = Race(nursery)
            race.start(make_peer('vm1'), attempt)
            await trio.testing.wait_all_tasks_blocked()
            assert not race.is_in_doubt
            async with trio.open_nursery() as waiting:
                waiting.start_soon(_expect, race, None)
                await trio.testing.wait_all_tasks_blocked()
                doubts[0](trio.current_time())
            assert race.is_in_doubt
            goes_on.set()
            _, outcome = await race.wait()
            assert outcome.answer.status == 200
            assert race.under_way == 0

    trio.run(main)


async def _expect(race, wanted):
    assert await race.wait() is wanted
