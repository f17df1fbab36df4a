"""Callers that always have a request in hand, at a daemon that stops."""

import signal
from itertools import pairwise
from random import Random

import trio

from verbenamill_soak.callers import Ending
from verbenamill_soak.nodes import GRACE
from verbenamill_soak.pipelining import PipeliningCaller
from verbenamill_soak.cluster import Site
from verbenamill_soak.timeline import Timeline

#: Share of the answers of upstreams before which the next request was sent.
#: Refusals come faster than a caller sends, and a busy machine wakes it late.
PIPELINED = 0.5
#: A stop takes 2.6 s at least, for what others still send; at 5.5 s all that
#: is left is cut.
SOON = 4.0


def test_a_stop_ends_connections_that_are_never_idle(tmp_path):
    # The caller sends its next request before the answer to the last one has
    # come, so a daemon that stops finds no moment at which the connection is
    # idle. It says that it closes behind one of its answers, ends soon, and
    # what the caller has sent behind that answer was not begun.
    async def main():
        async with trio.open_nursery() as nursery:
            site = Site(nursery, Timeline(), Random(1))
            await site.open(2, tmp_path)
            stopped = site.nodes[0]
            caller = PipeliningCaller(stopped, 0, Random(1))
            site.callers.append(caller)
            nursery.start_soon(caller.run, site.get_versions)
            try:
                await trio.sleep(2)
                stopped.send(signal.SIGTERM)
                began = trio.current_time()
                assert await stopped.wait(GRACE / 1000) == 0
                took = trio.current_time() - began
            finally:
                for node in site.nodes:
                    await node.end()
                nursery.cancel_scope.cancel()
            return caller.asked, took, site

    asked, took, site = trio.run(main)
    in_hand = [
        one.ended_at > two.sent_at
        for one, two in pairwise(asked)
        if one.status == 200
    ]
    assert sum(in_hand) > PIPELINED * len(in_hand) > 0
    endings = {one.ending for one in asked}
    assert endings <= {Ending.ANSWERED, Ending.UNSENT}, endings
    ran = {ran.id for node in site.nodes for ran in node.upstream.executions}
    unsent = {one.id for one in asked if one.ending is Ending.UNSENT}
    assert not ran & unsent
    assert took < SOON
