"""Open-loop load: calls are sent when they are due, never later on purpose.

Latency counts from the time a call was due. A bench that waited for slow
answers before it sent the next call would hide the very stalls it is to
measure (coordinated omission).
"""

from collections.abc import Sequence
from random import Random

import trio

from verbenamill_bench.calls_made import CallMade, CallPlan, judge
from verbenamill_standins import REQUEST_ID, Caller


class Load:
    """Calls at a given rate, each to the next of some targets.

    :param name: first part of each call's id.
    :param rate: calls a second in all.
    """

    def __init__(
        self,
        name: str,
        targets: Sequence[str],
        plans: Sequence[CallPlan],
        *,
        rate: float,
        random: Random,
    ) -> None:
        self.calls: list[CallMade] = []
        self._name = name
        self._targets = targets
        self._plans = plans
        self._rate = rate
        self._random = random
        self._caller = Caller()
        self._stopping = False

    def stop(self) -> None:
        """Send no more calls; those on their way are finished."""
        self._stopping = True

    async def run(self, seconds: float) -> list[CallMade]:
        """Send calls for some time and wait until all have ended."""
        due = trio.current_time()
        end = due + seconds
        sent = 0
        async with trio.open_nursery() as nursery:
            while due < end and not self._stopping:
                await trio.sleep_until(due)
                nursery.start_soon(self._call, sent, due)
                sent += 1
                due += self._random.expovariate(self._rate)
        await self._caller.aclose()
        return self.calls

    async def _call(self, number: int, due: float) -> None:
        target = self._targets[number % len(self._targets)]
        plan = self._random.choice(self._plans)
        call_id = f'{self._name}-{number}'
        reply = await self._caller.call(
            target,
            plan.method,
            plan.path,
            headers={REQUEST_ID: call_id},
            body=plan.body,
            timeout=plan.timeout,
        )
        message = reply.message
        self.calls.append(
            CallMade(
                id=call_id,
                target=target,
                once=plan.once,
                intended=due,
                latency=trio.current_time() - due,
                ending=judge(call_id, plan, reply),
                status=0 if message is None else message.status,
                version=''
                if message is None
                else message.headers.get('x-version', ''),
            ),
        )
