"""Slots, the queue in front of them, and early refusals."""

from datetime import timedelta
from functools import partial
from random import Random

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from verbenamill_calls import CallSettings
from verbenamill_calls.admission import Admission, Entry
from verbenamill_model.typing import Priority
from verbenamill_runtime import SystemClock

QUICK = CallSettings(ramp=timedelta(0))
LATER = timedelta(seconds=60)


def make_admission(slots=2, **changes):
    return Admission(
        allowed=lambda: slots,
        clock=SystemClock(),
        settings=CallSettings(**changes),
    )


async def hold(admission, priority, caller, seconds, done, deadline=LATER):
    entry = await admission.enter(
        priority,
        caller,
        deadline=deadline,
        is_gone=lambda: False,
    )
    done.append((entry, caller, trio.current_time()))
    if entry is Entry.ADMITTED:
        await trio.sleep(seconds)
        admission.leave(priority, timedelta(seconds=seconds))


async def hold_slot(admission):
    entry = await admission.enter(
        Priority.NORMAL,
        'first',
        deadline=LATER,
        is_gone=lambda: False,
    )
    assert entry is Entry.ADMITTED


def run(main):
    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def start_all(nursery, admission, calls, seconds, done):
    for priority, caller in calls:
        nursery.start_soon(hold, admission, priority, caller, seconds, done)
        await trio.testing.wait_all_tasks_blocked()


def test_lookups_do_not_wait_behind_photos():
    """All slots are busy and photos wait; a lookup comes last."""

    async def main():
        done = []
        admission = make_admission(slots=1, queue_wait=timedelta(seconds=1))
        async with trio.open_nursery() as nursery:
            calls = [(Priority.NORMAL, 'busy')]
            calls += [(Priority.BULK, 'photo')] * 3
            calls += [(Priority.HIGH, 'lookup')]
            await start_all(nursery, admission, calls, 0.1, done)
        order = [caller for _, caller, _ in done]
        assert order == ['busy', 'lookup', 'photo', 'photo', 'photo']

    run(main)


def test_photos_leave_a_slot_to_lookups():
    async def main():
        done = []
        admission = make_admission(slots=4)
        async with trio.open_nursery() as nursery:
            calls = [(Priority.BULK, 'photo')] * 4
            calls += [(Priority.HIGH, 'lookup')]
            await start_all(nursery, admission, calls, 0.2, done)
        admitted = {caller: at for _, caller, at in reversed(done)}
        assert admitted['lookup'] == 0

    run(main)


def test_busy_caller_does_not_keep_others_waiting():
    """One caller sends ten calls at once, another sends one after them."""

    async def main():
        done = []
        admission = make_admission(queue_wait=timedelta(seconds=5))
        async with trio.open_nursery() as nursery:
            calls = [(Priority.NORMAL, 'greedy')] * 9
            calls += [(Priority.NORMAL, 'other')]
            await start_all(nursery, admission, calls, 0.1, done)
        order = [caller for entry, caller, _ in done]
        assert order.index('other') <= 4

    run(main)


def test_call_that_would_wait_too_long_is_refused_at_once():
    """Calls take 200 ms and four wait already; the fifth goes elsewhere."""

    async def main():
        done = []
        admission = make_admission(queue_wait=timedelta(milliseconds=250))
        async with trio.open_nursery() as nursery:
            calls = [(Priority.NORMAL, 'warm')] * 2
            for _ in range(60):
                await start_all(nursery, admission, calls, 0.2, done)
                await trio.sleep(0.2)
            done.clear()
            began_at = trio.current_time()
            calls = [(Priority.NORMAL, f'c{number}') for number in range(8)]
            await start_all(nursery, admission, calls, 0.2, done)
            shed = [at for entry, _, at in done if entry is Entry.SHED]
            assert len(shed) >= 4
            assert set(shed) == {began_at}
            assert admission.retry_after() > timedelta(milliseconds=100)

    run(main)


def test_lookup_takes_the_place_of_a_waiting_photo():
    async def main():
        done = []
        admission = make_admission(queue_factor=1)
        async with trio.open_nursery() as nursery:
            calls = [(Priority.NORMAL, 'busy')] * 2
            calls += [(Priority.BULK, 'photo')] * 3
            calls += [(Priority.HIGH, 'lookup')]
            await start_all(nursery, admission, calls, 0.1, done)
        entries = {}
        for entry, caller, _ in done:
            entries.setdefault(caller, []).append(entry)
        assert entries['lookup'] == [Entry.ADMITTED]
        assert entries['photo'].count(Entry.SHED) == 2

    run(main)


def test_slot_given_to_a_cancelled_call_is_not_lost():
    """A waiting call is cancelled and given a slot at the same moment."""

    async def main():
        done = []
        admission = make_admission(slots=1)
        await hold_slot(admission)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                hold,
                admission,
                Priority.NORMAL,
                'late',
                1,
                done,
            )
            await trio.testing.wait_all_tasks_blocked()
            nursery.cancel_scope.cancel()
            admission.leave(Priority.NORMAL, None)
        assert (admission.running, admission.queued) == (0, 0)

    run(main)


@given(seed=st.integers(0, 10**6), slots=st.integers(1, 5))
@settings(max_examples=30, derandomize=True, deadline=None)
def test_slots_are_never_exceeded_nor_lost(seed, slots):
    """Calls come, are cancelled, time out and hang up in any order."""

    async def main():
        random = Random(seed)
        admission = make_admission(slots)
        most = 0

        async def call(cancel_after):
            nonlocal most
            priority = random.choice(list(Priority))
            with trio.move_on_after(cancel_after):
                entry = await admission.enter(
                    priority,
                    random.choice('abc'),
                    deadline=timedelta(
                        seconds=trio.current_time() + random.random(),
                    ),
                    is_gone=lambda: random.random() < 0.1,
                )
                if entry is not Entry.ADMITTED:
                    return
                most = max(most, admission.running)
                try:
                    await trio.sleep(random.random() / 5)
                finally:
                    admission.leave(priority, timedelta(seconds=0.1))

        async with trio.open_nursery() as nursery:
            for _ in range(60):
                nursery.start_soon(call, random.random())
                await trio.sleep(random.random() / 30)
        assert most <= slots
        assert (admission.running, admission.queued) == (0, 0)

    run(main)


def test_herd_of_callers_stays_within_the_slots(fleet):
    """A hundred calls at once through three daemons to one upstream.

    Those refused are refused truly, so runs and answers are equal in number.
    """

    async def check(daemons, nursery):
        owner = daemons[0]
        for daemon in daemons[1:]:
            daemon.stand_aside()
        await trio.sleep(1)
        owner.upstream.answer = partial(owner.upstream.slow, 0.05)
        answers = []

        async def call(daemon):
            answers.append(await daemon.call('POST', '/entries', b'fee'))

        async with trio.open_nursery() as calls:
            for number in range(100):
                calls.start_soon(call, daemons[number % 3])
        assert owner.upstream.most_running <= owner.slots
        ran = [answer for answer in answers if answer.status == 200]
        refused = [answer for answer in answers if answer.status == 503]
        assert len(ran) + len(refused) == 100
        assert all(answer.outcome == b'not-run' for answer in refused)
        assert len(owner.upstream.targets) == len(ran)
        assert ran
        assert refused

    fleet(check, 3, QUICK)
