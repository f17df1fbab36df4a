"""Open-loop load: calls are sent when they are due, never later on purpose.

Latency counts from the time a call was due. A bench that waited for slow
answers before it sent the next call would hide the very stalls it is to
measure (coordinated omission).
"""

from random import Random
from time import time

import trio
from msgspec import Struct

from verbenamill_bench.calls_made import CallMade, CallPlan, judge
from verbenamill_standins import REQUEST_ID_HEADER, UPSTREAM_HEADER, Caller


class LoadSpec(Struct, frozen=True, kw_only=True):
    """What one load generator sends.

    :param name: first part of each call's id.
    :param rate: calls a second in all; 0 for a closed loop.
    :param concurrency: calls at a time in a closed loop.
    """

    name: str
    targets: tuple[str, ...]
    plans: tuple[CallPlan, ...]
    seconds: float
    rate: float = 0
    concurrency: int = 1
    seed: int = 0


class Load:
    """Calls, each to the next of some targets."""

    def __init__(self, spec: LoadSpec) -> None:
        self.calls: list[CallMade] = []
        self._spec = spec
        self._random = Random(spec.seed)
        self._caller = Caller()
        self._stopping = False
        self._sent = 0

    def stop(self) -> None:
        """Send no more calls; those on their way are finished."""
        self._stopping = True

    async def run(self) -> list[CallMade]:
        """Send calls for some time and wait until all have ended."""
        if self._spec.rate:
            await self._run_open()
        else:
            await self._run_closed()
        await self._caller.aclose()
        return self.calls

    async def _run_open(self) -> None:
        due = trio.current_time()
        end = due + self._spec.seconds
        async with trio.open_nursery() as nursery:
            while due < end and not self._stopping:
                await trio.sleep_until(due)
                nursery.start_soon(self._call, due)
                due += self._random.expovariate(self._spec.rate)

    async def _run_closed(self) -> None:
        end = trio.current_time() + self._spec.seconds
        async with trio.open_nursery() as nursery:
            for _ in range(self._spec.concurrency):
                nursery.start_soon(self._call_until, end)

    async def _call_until(self, end: float) -> None:
        while trio.current_time() < end and not self._stopping:
            await self._call(trio.current_time())

    async def _call(self, due: float) -> None:
        spec = self._spec
        number = self._sent
        self._sent += 1
        target = spec.targets[number % len(spec.targets)]
        plan = self._random.choice(spec.plans)
        call_id = f'{spec.name}-{number}'
        reply = await self._caller.call(
            target,
            plan.method,
            plan.path,
            headers={REQUEST_ID_HEADER: call_id},
            body=plan.body,
            timeout=plan.timeout,
        )
        headers = {} if reply.message is None else reply.message.headers
        self.calls.append(
            CallMade(
                id=call_id,
                target=target,
                once=plan.once,
                intended=due,
                at=time() - trio.current_time() + due,
                latency=trio.current_time() - due,
                ending=judge(call_id, plan, reply),
                status=0 if reply.message is None else reply.message.status,
                version=headers.get('x-version', ''),
                upstream=headers.get(UPSTREAM_HEADER, ''),
            ),
        )
