"""A VM of a run: a daemon process, its upstream and their relays."""

import os
import signal
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import h11
import trio

from verbenamill_platform_standins.callers import READINESS_PATH
from verbenamill_platform_standins.ports import find_ports
from verbenamill_soak.relays import LinkControl, TcpRelay, UdpRelay
from verbenamill_soak.timeline import Timeline
from verbenamill_soak.upstreams import DRAIN_TIME_S, SERVICE_TIME_S, Upstream

_LOOPBACK = '127.0.0.1'
#: Time to wait for a killed process to exit.
_KILL_TIMEOUT_S = 5.0
#: Time between two heartbeats of an upstream.
HEARTBEAT_PERIOD_S = 0.5
#: Maximum time to wait for an acknowledgement.
_ACK_TIMEOUT_S = 1.0
#: Time for which an upstream listens after draining, to record late requests.
_EXTRA_LISTEN_S = 0.5
#: Time that a daemon has for a planned stop, in seconds, unless a run draws it.
USUAL_GRACE_S = 6
#: Signals that a process cannot handle.
_DISRUPTIVE_SIGNALS = (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT)
#: Signals that terminate the daemon.
_TERMINATING_SIGNALS = (signal.SIGKILL, signal.SIGTERM)
SETTINGS = """
[vm]
id = "{vm}"
availability_zone = "{zone}"
service = "entries"
[listen]
callers = "127.0.0.1:{0}"
daemons = "127.0.0.1:{1}"
gossip = "127.0.0.1:{2}"
announcements = "127.0.0.1:{3}"
health = "127.0.0.1:{4}"
[advertise]
daemons = "{calls}"
gossip = "{datagrams}"
[upstream]
address = "{upstream}"
[store]
address = "{store}"
[stop]
grace = "{grace}s"
"""


class Node:
    """A VM with its daemon, upstreams and relays.

    :ivar grace: time that the daemon has for a planned stop, in seconds.
    :ivar upstreams: all upstreams that the VM has had, the newest last.
    :ivar daemon_starts: number of starts of the daemon.
    :ivar lifecycle_lock: held by the task that stops and restarts the daemon.
    :ivar active_holds: number of faults that hold the peer link.
    :ivar last_disrupted_at: when the daemon was last killed, paused or resumed.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        *,
        folder: Path,
        nursery: trio.Nursery,
        timeline: Timeline,
        grace: int = USUAL_GRACE_S,
    ) -> None:
        self.name = name
        self.grace = grace
        self.zone = zone
        self.ports = find_ports(5)
        self.upstreams: list[Upstream] = []
        self.daemon_starts = 0
        self.is_paused = False
        self.last_disrupted_at = float('-inf')
        self.lifecycle_lock = trio.Lock()
        self._active_faults = 0
        self._last_caller_index = 1000
        self.active_holds = 0
        self._is_termination_requested = False
        self._last_fault_ended_at = float('-inf')
        self.log = folder / f'{name}.log'
        self._settings = folder / f'{name}.toml'
        self._nursery = nursery
        self._timeline = timeline
        self._process: trio.Process | None = None
        self._upstream_scopes: dict[str, trio.CancelScope] = {}
        self.peer_link = LinkControl()
        self.store_link = LinkControl()
        self.upstream_link = LinkControl()
        self._call_relay = TcpRelay(
            self.peer_link, f'{_LOOPBACK}:{self.ports[1]}'
        )
        self._gossip_relay = UdpRelay(
            self.peer_link, f'{_LOOPBACK}:{self.ports[2]}'
        )
        self._store_relay = TcpRelay(self.store_link)
        self._upstream_relay = TcpRelay(self.upstream_link)

    @property
    def upstream(self) -> Upstream:
        """The upstream that was started last."""
        return self.upstreams[-1]

    @property
    def is_up(self) -> bool:
        """Whether the daemon runs and is not paused."""
        return (
            self._process is not None
            and self._process.returncode is None
            and not self.is_paused
        )

    @property
    def has_ended(self) -> bool:
        """Whether the daemon's process has ended."""
        return self._process is not None and (
            self._process.returncode is not None
        )

    @property
    def is_expected_to_end(self) -> bool:
        """Whether a signal that terminates the daemon was sent."""
        return self._is_termination_requested

    def next_caller_index(self) -> int:
        """Return a new caller number, so that request IDs are unique."""
        self._last_caller_index += 1
        return self._last_caller_index

    def is_serving(self, upstream: Upstream) -> bool:
        """Return whether an upstream runs and has not begun to leave."""
        return not upstream.is_leaving

    def is_fault_free(self, since: float) -> bool:
        """Return whether the VM has had no fault since a time."""
        return not self._active_faults and self._last_fault_ended_at <= since

    @contextmanager
    def fault_active(self) -> Iterator[None]:
        """Mark a fault as active within the context."""
        self._active_faults += 1
        try:
            yield
        finally:
            self._active_faults -= 1
            self._last_fault_ended_at = trio.current_time()

    async def open(self, store: str) -> None:
        """Start the relays, the first upstream and the daemon."""
        self._store_relay.target = store
        self._gossip_relay.bind()
        self._nursery.start_soon(self._gossip_relay.serve)
        for relay in (
            self._call_relay,
            self._store_relay,
            self._upstream_relay,
        ):
            await self._nursery.start(relay.serve)
        self._settings.write_text(
            SETTINGS.format(
                *self.ports,
                vm=self.name,
                zone=self.zone,
                calls=self._call_relay.address,
                datagrams=self._gossip_relay.address,
                upstream=self._upstream_relay.address,
                store=self._store_relay.address,
                grace=self.grace,
            ),
        )
        await self.add_upstream('v1')
        await self.start()

    async def add_upstream(
        self, version: str, *, fails_requests: bool = False
    ) -> None:
        """Start an upstream behind the upstream address of the VM."""
        upstream = Upstream(
            instance=f'i-{self.name}-{len(self.upstreams)}',
            zone=self.zone,
            version=version,
            born=1000 * (1 + len(self.upstreams)),
            service_time=SERVICE_TIME_S,
        )
        upstream.fails_requests = fails_requests
        upstream.script = upstream.script_response
        upstream.crashes_on = upstream.crashes_on_request
        scope = await self._nursery.start(self._serve_upstream, upstream)
        self._upstream_scopes[upstream.name] = scope
        self._upstream_relay.target = upstream.address
        # The daemon connects to the upstream through the relay.
        upstream.address = self._upstream_relay.address
        self.upstreams.append(upstream)
        self._nursery.start_soon(self._send_heartbeats, upstream)
        self._timeline.add_event(
            f'{self.name}: {upstream.instance} {version} starts'
        )

    def end_upstream(self, upstream: Upstream) -> None:
        """Terminate an upstream immediately."""
        upstream.is_leaving = True
        if upstream.leave_acknowledged_at is None:
            upstream.terminated_at = trio.current_time()
        self._upstream_scopes.pop(upstream.name).cancel()

    async def remove_upstream(
        self, upstream: Upstream, *, announces_drain: bool
    ) -> bool:
        """Let an upstream leave; return whether the leave was acknowledged.

        :param announces_drain: whether it first announces that it drains.
        """
        upstream.is_leaving = True
        message = (
            upstream.heartbeat('draining')
            if announces_drain
            else upstream.leave()
        )
        for _ in range(6):
            if await self._send_announcement(message):
                upstream.leave_acknowledged_at = trio.current_time()
                self._timeline.add_event(
                    f'{self.name}: {upstream.instance} leaves, acknowledged',
                )
                break
            await trio.sleep(HEARTBEAT_PERIOD_S)
        await trio.sleep(DRAIN_TIME_S + _EXTRA_LISTEN_S)
        if announces_drain:
            await self._send_announcement(upstream.leave())
        self.end_upstream(upstream)
        return upstream.leave_acknowledged_at is not None

    async def start(
        self,
        *,
        clock_lag: float = 0,
        output: int | None = None,
    ) -> None:
        """Start the daemon.

        :param clock_lag: seconds by which its clock is set back.
        :param output: file descriptor for its log, instead of the log file.
        """
        self.daemon_starts += 1
        command = [
            sys.executable,
            '-m',
            'verbenamill_soak.launch',
            str(clock_lag),
            str(self._settings),
        ]
        with self.log.open('ab') as log:
            self._process = await trio.lowlevel.open_process(
                command,
                stdout=log if output is None else output,
                stderr=log,
                stdin=None,
                env=os.environ | {'PYTHONWARNINGS': 'ignore'},
            )
        self._is_termination_requested = False

    def signal_daemon(self, signal_number: signal.Signals) -> None:
        """Send a signal to the daemon if it runs."""
        if signal_number in _TERMINATING_SIGNALS:
            self._is_termination_requested = True
        if signal_number in _DISRUPTIVE_SIGNALS:
            self.last_disrupted_at = trio.current_time()
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(signal_number)

    async def wait_for_exit(self, timeout: float) -> int | None:
        """Wait for the daemon to exit; return its exit code or ``None``."""
        process = self._process
        if process is None:
            return None
        with trio.move_on_after(timeout):
            await process.wait()
        return process.returncode

    async def kill(self) -> None:
        """Kill the daemon in any state."""
        self.signal_daemon(signal.SIGKILL)
        await self.wait_for_exit(_KILL_TIMEOUT_S)

    async def is_ready(self) -> bool:
        """Return whether the daemon reports that it is ready for callers."""
        status = await request_status(self.ports[4], 'GET', READINESS_PATH, b'')
        return status == 200

    async def _serve_upstream(
        self,
        upstream: Upstream,
        task_status: trio.TaskStatus[trio.CancelScope],
    ) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(upstream.serve_with_restarts)
                task_status.started(scope)

    async def _send_heartbeats(self, upstream: Upstream) -> None:
        while self.is_serving(upstream):
            if not upstream.is_down:
                await self._send_announcement(upstream.heartbeat())
            await trio.sleep(HEARTBEAT_PERIOD_S)

    async def _send_announcement(self, message: tuple[str, bytes]) -> bool:
        target, body = message
        with trio.move_on_after(_ACK_TIMEOUT_S):
            return (
                await request_status(self.ports[3], 'POST', target, body) == 200
            )
        return False


async def request_status(
    port: int, method: str, target: str, body: bytes
) -> int:
    """Send a request on a new connection and return the status, or 0."""
    try:
        stream = await trio.open_tcp_stream(_LOOPBACK, port)
    except OSError:
        return 0
    connection = h11.Connection(h11.CLIENT)
    headers = [
        ('Host', _LOOPBACK),
        ('Content-Length', str(len(body))),
        ('Connection', 'close'),
    ]
    head = h11.Request(method=method, target=target, headers=headers)
    async with stream:
        try:
            await stream.send_all(
                (connection.send(head) or b'')
                + (connection.send(h11.Data(data=body)) or b''),
            )
            connection.send(h11.EndOfMessage())
            while True:
                event = connection.next_event()
                if isinstance(event, h11.Response):
                    return event.status_code
                if event is not h11.NEED_DATA:
                    return 0
                connection.receive_data(await stream.receive_some(65_536))
        except (OSError, trio.BrokenResourceError, h11.ProtocolError):
            return 0
