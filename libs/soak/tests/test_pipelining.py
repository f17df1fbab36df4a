"""Callers that always have a request pending at a daemon that stops."""

import signal
from itertools import pairwise
from random import Random

import trio

from verbenamill_soak.callers import Outcome
from verbenamill_soak.cluster import Cluster
from verbenamill_soak.pipelining import PipeliningCaller
from verbenamill_soak.timeline import Timeline

#: Minimum share of the responses before which the next request was sent.
#: Refusals come faster than a caller sends requests, and on a busy machine the
#: caller is scheduled late.
MIN_PIPELINED_SHARE = 0.5
#: A stop takes at least 2.6 s, because other daemons still send requests; after
#: 5.5 s the daemon closes all remaining connections.
STOP_TIME_LIMIT_S = 4.0


def test_a_stop_ends_connections_that_are_never_idle(tmp_path):
    # The caller sends its next request before the response to the last one, so
    # the connection is never idle while the daemon stops. The daemon has to
    # announce the close in a response, exit soon, and not start the requests
    # that the caller sent after that response.
    async def main():
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, Timeline(), Random(1))
            await cluster.open(2, tmp_path)
            stopped = cluster.nodes[0]
            caller = PipeliningCaller(stopped, 0, Random(1))
            cluster.callers.append(caller)
            nursery.start_soon(caller.run, cluster.get_versions)
            try:
                await trio.sleep(2)
                stopped.signal_daemon(signal.SIGTERM)
                stop_started_at = trio.current_time()
                assert await stopped.wait_for_exit(stopped.grace) == 0
                stop_time = trio.current_time() - stop_started_at
            finally:
                for node in cluster.nodes:
                    await node.kill()
                nursery.cancel_scope.cancel()
            return caller.records, stop_time, cluster

    records, stop_time, cluster = trio.run(main)
    was_pipelined = [
        one.ended_at > two.sent_at
        for one, two in pairwise(records)
        if one.status == 200
    ]
    assert sum(was_pipelined) > MIN_PIPELINED_SHARE * len(was_pipelined) > 0
    outcomes = {one.outcome for one in records}
    assert outcomes <= {Outcome.ANSWERED, Outcome.UNSENT}, outcomes
    executed = {
        execution.id
        for node in cluster.nodes
        for execution in node.upstream.executions
    }
    unsent = {one.id for one in records if one.outcome is Outcome.UNSENT}
    assert not executed & unsent
    assert stop_time < STOP_TIME_LIMIT_S
