"""A machine is stopped while servers are at work on uploads."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'support2'))

from standins import Upstream, run_case

BOUNDS = {
    'stableWindowMs': 4000,
    'ackMs': 5000,
    'drainMs': 3000,
    'graceS': 10,
    'lossSlackMs': 200,
    'configApplyMs': 3000,
}
#: Deadline and time-out of the uploads, in milliseconds.
DEADLINE_MS = 8277
#: Work of each upload, in milliseconds: the mean of the site, and for two of
#: them less than its maximum of 6,400.
WORKS_MS = (900, 900, 6000, 900, 900, 900, 6000, 900)


async def scenario(record, with_trouble, make_site):
    site = make_site(zones=['z1', 'z2'], bounds=BOUNDS)
    upstreams = []
    for number, zone in enumerate(('z1', 'z2', 'z1')):
        upstream = Upstream(record, service='catalog', zone=zone, slots=8)
        machine = site.add(
            f'm{number}', zone=zone, service='catalog', upstream_port=upstream.port
        )
        upstream.control = machine.control
        upstream.outbound = machine.outbound
        upstreams.append(upstream)
    site.configure(
        1, [('photo', 'upload', DEADLINE_MS, 3299, 'catalog')], ['catalog']
    )
    for machine in site.machines:
        await machine.start()
    for machine in site.machines:
        await machine.wait_ready()
    for upstream in upstreams:
        await upstream.start()
    # The site is left alone for longer than stableWindowMs.
    await asyncio.sleep(6)
    target = site.machines[0]
    for number in range(3):
        answer = await target.call(
            'POST', '/photo/w?ms=100', f'warm{number}', deadline_ms=DEADLINE_MS
        )
        if answer.status != 200:
            record.add('not served before the disruption')
    await asyncio.sleep(1)
    calls = {}
    for number, work_ms in enumerate(WORKS_MS):
        id = f'upload{number}'
        calls[id] = asyncio.create_task(
            target.call(
                'POST',
                f'/photo/{number}?ms={work_ms}',
                id,
                deadline_ms=DEADLINE_MS,
                body=b'x' * 60_000,
            )
        )
    await asyncio.sleep(0.3)
    if with_trouble:
        target.signal(signal.SIGTERM)
    broken = []
    for id, task in calls.items():
        answer = await task
        ran = any(run['id'] == id for one in upstreams for run in one.runs)
        if ran and is_no_server_answer(answer):
            broken.append(
                f'{id} was passed on to a server, which was at work on it, and '
                f'ended with {answer}'
            )
    await asyncio.sleep(1)
    return broken


def is_no_server_answer(answer):
    """Whether a client got no answer of the server."""
    return not any(name == 'x-response-seal' for name, _ in answer.headers)


run_case(Path(__file__).parent, scenario)
