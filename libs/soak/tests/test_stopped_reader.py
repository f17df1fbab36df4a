"""A log reader that stops reading must not block calls."""

import fcntl
import os
import signal
from random import Random

import trio

from verbenamill_soak.callers import Caller
from verbenamill_soak.cluster import START_TIMEOUT_S, Cluster
from verbenamill_soak.timeline import Timeline

#: More refused requests than log lines fit into the pipe.
REQUESTS = 400
PIPE_SIZE = 4096


def test_calls_go_on_when_nobody_reads_the_log(tmp_path):
    # The log collector hangs, and the pipe to it fills up after some lines. A
    # daemon that waited for the pipe would answer no requests; instead it has
    # to answer requests and drop log lines.
    async def main():
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, Timeline(), Random(1))
            await cluster.open(1, tmp_path)
            (node,) = cluster.nodes
            read_end, write_end = os.pipe()
            fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, PIPE_SIZE)
            try:
                node.signal_daemon(signal.SIGTERM)
                await node.wait_for_exit(START_TIMEOUT_S)
                await node.start(output=write_end)
                assert await cluster.wait_until(node.is_ready, START_TIMEOUT_S)
                caller = Caller(node, 0, Random(1))
                answers = [
                    (await caller.call('/nowhere/', is_fee=False)).status
                    for _ in range(REQUESTS)
                ]
                assert set(answers) == {404}
                record = await caller.call('/lookup/', is_fee=False)
                assert record.status == 200
                os.set_blocking(read_end, False)
                written = os.read(read_end, 1 << 20)
                assert 0 < len(written) <= PIPE_SIZE
                assert written.count(b'\n') < REQUESTS
            finally:
                await node.kill()
                os.close(read_end)
                os.close(write_end)
                nursery.cancel_scope.cancel()

    trio.run(main)
