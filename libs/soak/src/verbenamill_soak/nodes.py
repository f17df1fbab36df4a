"""One VM of a run: a real daemon, its upstream, and relays around them."""

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
from verbenamill_soak.relays import Switch, TcpRelay, UdpRelay
from verbenamill_soak.timeline import Timeline
from verbenamill_soak.upstreams import DRAIN_TIME, WORK, Upstream

_HOST = '127.0.0.1'
#: Time for a killed process to be gone, in seconds.
_END_LIMIT = 5.0
#: How often an upstream beats, in seconds.
BEAT_PERIOD = 0.5
#: Longest wait for an acknowledgement, in seconds.
_ACK_TIMEOUT = 1.0
#: How much longer it listens, so that late requests are seen, in seconds.
_STAYS_ON = 0.5
#: Time for a planned stop, in milliseconds.
GRACE = 6000
#: Signals that a process cannot answer.
_HARMFUL = (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT)
#: Signals that end it.
_FATAL = (signal.SIGKILL, signal.SIGTERM)
_SETTINGS = """
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
grace = {grace}
"""


class Node:
    """One VM.

    :ivar upstreams: all that have been, the newest last.
    :ivar lives: starts of the daemon.
    :ivar starting: held by whoever ends and starts the daemon.
    :ivar holds: troubles that hold what is new on its link.
    :ivar harmed_at: when its process was last killed or paused.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        *,
        folder: Path,
        nursery: trio.Nursery,
        timeline: Timeline,
    ) -> None:
        self.name = name
        self.zone = zone
        self.ports = find_ports(5)
        self.upstreams: list[Upstream] = []
        self.lives = 0
        self.is_paused = False
        self.harmed_at = float('-inf')
        self.starting = trio.Lock()
        self._troubles = 0
        self._places = 1000
        self.holds = 0
        self._is_told_to_end = False
        self._calm_at = float('-inf')
        self.log = folder / f'{name}.log'
        self._settings = folder / f'{name}.toml'
        self._nursery = nursery
        self._timeline = timeline
        self._process: trio.Process | None = None
        self._serving: dict[str, trio.CancelScope] = {}
        self.peers = Switch()
        self.to_store = Switch()
        self.to_upstream = Switch()
        self._calls = TcpRelay(self.peers, f'{_HOST}:{self.ports[1]}')
        self._datagrams = UdpRelay(self.peers, f'{_HOST}:{self.ports[2]}')
        self._store = TcpRelay(self.to_store)
        self._upstream = TcpRelay(self.to_upstream)

    @property
    def upstream(self) -> Upstream:
        """The newest upstream."""
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
        """Whether a signal was sent that ends the daemon."""
        return self._is_told_to_end

    def next_place(self) -> int:
        """Number for a further caller, so that its requests have own ids."""
        self._places += 1
        return self._places

    def is_serving(self, upstream: Upstream) -> bool:
        """Whether an upstream runs and has not begun to leave."""
        return not upstream.is_leaving

    def is_calm(self, since: float) -> bool:
        """Whether no trouble has touched it since a moment."""
        return not self._troubles and self._calm_at <= since

    @contextmanager
    def troubled(self) -> Iterator[None]:
        """A trouble touches it meanwhile."""
        self._troubles += 1
        try:
            yield
        finally:
            self._troubles -= 1
            self._calm_at = trio.current_time()

    async def open(self, store: str) -> None:
        """Start the relays, the first upstream and the daemon."""
        self._store.target = store
        self._datagrams.bind()
        self._nursery.start_soon(self._datagrams.serve)
        for relay in (self._calls, self._store, self._upstream):
            await self._nursery.start(relay.serve)
        self._settings.write_text(
            _SETTINGS.format(
                *self.ports,
                vm=self.name,
                zone=self.zone,
                calls=self._calls.address,
                datagrams=self._datagrams.address,
                upstream=self._upstream.address,
                store=self._store.address,
                grace=GRACE,
            ),
        )
        await self.add_upstream('v1')
        await self.start()

    async def add_upstream(self, version: str, *, fails: bool = False) -> None:
        """Start an upstream at the VM's one address."""
        made = Upstream(
            instance=f'i-{self.name}-{len(self.upstreams)}',
            zone=self.zone,
            version=version,
            born=1000 * (1 + len(self.upstreams)),
            service_time=WORK,
        )
        made.fails = fails
        made.script = made.judge
        made.crashes_on = made.dies_of
        scope = await self._nursery.start(self._serve, made)
        self._serving[made.name] = scope
        self._upstream.target = made.address
        # The daemon reaches it through the relay.
        made.address = self._upstream.address
        self.upstreams.append(made)
        self._nursery.start_soon(self._beat, made)
        self._timeline.tell(f'{self.name}: {made.instance} {version} starts')

    def end_upstream(self, upstream: Upstream) -> None:
        """End an upstream at once."""
        upstream.is_leaving = True
        if upstream.acked_at is None:
            upstream.died_at = trio.current_time()
        self._serving.pop(upstream.name).cancel()

    async def leave(self, upstream: Upstream, *, is_told: bool) -> bool:
        """Have an upstream leave; tells whether that was acknowledged.

        :param is_told: whether it says before that it drains.
        """
        upstream.is_leaving = True
        message = (
            upstream.heartbeat('draining') if is_told else upstream.leave()
        )
        for _ in range(6):
            if await self._announce(message):
                upstream.acked_at = trio.current_time()
                self._timeline.tell(
                    f'{self.name}: {upstream.instance} leaves, acknowledged',
                )
                break
            await trio.sleep(BEAT_PERIOD)
        await trio.sleep(DRAIN_TIME + _STAYS_ON)
        if is_told:
            await self._announce(upstream.leave())
        self.end_upstream(upstream)
        return upstream.acked_at is not None

    async def start(
        self,
        *,
        clock: float = 0,
        output: int | None = None,
    ) -> None:
        """Start the daemon.

        :param clock: seconds that its clock is set back.
        :param output: descriptor for its log in place of a file.
        """
        self.lives += 1
        command = [
            sys.executable,
            '-m',
            'verbenamill_soak.launch',
            str(clock),
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
        self._is_told_to_end = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the daemon, if it runs."""
        if number in _FATAL:
            self._is_told_to_end = True
        if number in _HARMFUL:
            self.harmed_at = trio.current_time()
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """Wait for the daemon's end; its exit code, or ``None``."""
        process = self._process
        if process is None:
            return None
        with trio.move_on_after(seconds):
            await process.wait()
        return process.returncode

    async def end(self) -> None:
        """End the daemon, whatever state it is in."""
        self.send(signal.SIGKILL)
        await self.wait(_END_LIMIT)

    async def is_ready(self) -> bool:
        """Whether the daemon says that callers may be sent here."""
        status = await ask(self.ports[4], 'GET', READINESS_PATH, b'')
        return status == 200

    async def _serve(
        self,
        upstream: Upstream,
        task_status: trio.TaskStatus[trio.CancelScope],
    ) -> None:
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(upstream.serve_with_restarts)
                task_status.started(scope)

    async def _beat(self, upstream: Upstream) -> None:
        while self.is_serving(upstream):
            if not upstream.is_down:
                await self._announce(upstream.heartbeat())
            await trio.sleep(BEAT_PERIOD)

    async def _announce(self, message: tuple[str, bytes]) -> bool:
        target, body = message
        with trio.move_on_after(_ACK_TIMEOUT):
            return await ask(self.ports[3], 'POST', target, body) == 200
        return False


async def ask(port: int, method: str, target: str, body: bytes) -> int:
    """Ask a daemon on a new connection; 0 if there is no answer."""
    try:
        stream = await trio.open_tcp_stream(_HOST, port)
    except OSError:
        return 0
    connection = h11.Connection(h11.CLIENT)
    headers = [
        ('Host', _HOST),
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
