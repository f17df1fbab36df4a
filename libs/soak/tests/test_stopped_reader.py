"""A reader of the logs that stops must not stop calls."""

import fcntl
import os
import signal
from random import Random

import trio

from verbenamill_soak.callers import Caller
from verbenamill_soak.cluster import START_LIMIT, Site
from verbenamill_soak.timeline import Timeline

#: More refused requests than lines fit into the pipe.
REQUESTS = 400
PIPE_SIZE = 4096


def test_calls_go_on_when_nobody_reads_the_log(tmp_path):
    # Whatever collects the logs hangs, and the pipe to it fills up within
    # some lines. A daemon that waited for it would answer nobody; this one
    # answers on, and drops lines.
    async def main():
        async with trio.open_nursery() as nursery:
            site = Site(nursery, Timeline(), Random(1))
            await site.open(1, tmp_path)
            (node,) = site.nodes
            unread, output = os.pipe()
            fcntl.fcntl(output, fcntl.F_SETPIPE_SZ, PIPE_SIZE)
            try:
                node.send(signal.SIGTERM)
                await node.wait(START_LIMIT)
                await node.start(output=output)
                assert await site.until(node.is_ready, START_LIMIT)
                caller = Caller(node, 0, Random(1))
                answers = [
                    (await caller.call('/nowhere/', is_fee=False)).status
                    for _ in range(REQUESTS)
                ]
                assert set(answers) == {404}
                asked = await caller.call('/lookup/', is_fee=False)
                assert asked.status == 200
                os.set_blocking(unread, False)
                written = os.read(unread, 1 << 20)
                assert 0 < len(written) <= PIPE_SIZE
                assert written.count(b'\n') < REQUESTS
            finally:
                await node.end()
                os.close(unread)
                os.close(output)
                nursery.cancel_scope.cancel()

    trio.run(main)
