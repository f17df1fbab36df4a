"""Reading the log for an availability zone.

Two daemons of the zone read. The primary reader pushes what it reads at once.
The second pushes only what it has not received within a short delay, so a
primary that is paused or cut off costs no more than that delay.
"""

from collections.abc import Callable
from datetime import timedelta
from random import Random

import trio
from returns.result import Failure, Success

from verbenamill_mesh.checkpoints import Checkpoints
from verbenamill_mesh.configuration import Configuration
from verbenamill_mesh.peers import Peers
from verbenamill_mesh.settings import MeshSettings
from verbenamill_mesh.stats import MeshStats
from verbenamill_model import Entry
from verbenamill_model.typing import Offset
from verbenamill_runtime import Log, LogError, LogFault, LogPage, full_jitter
from verbenamill_runtime.streams import CONFIG_STREAM
from verbenamill_telemetry.events import Event
from verbenamill_telemetry.logs import log

#: Bounds of the waits between attempts while the log fails.
FIRST_RETRY_WAIT = timedelta(milliseconds=200)
LONGEST_RETRY_WAIT = timedelta(seconds=5)
#: Interval at which a daemon checks whether it is a reader.
ROLE_CHECK_INTERVAL = timedelta(milliseconds=500)


class LogReader:
    """Reads the stream ``config`` while this daemon is a reader.

    :param on_entries: called with records that were new to this daemon.
    """

    def __init__(
        self,
        *,
        platform_log: Log,
        configuration: Configuration,
        checkpoints: Checkpoints,
        peers: Peers,
        on_entries: Callable[[tuple[Entry, ...]], None],
        settings: MeshSettings,
        random: Random,
        stats: MeshStats,
    ) -> None:
        self._log = platform_log
        self._configuration = configuration
        self._checkpoints = checkpoints
        self._peers = peers
        self._on_entries = on_entries
        self._settings = settings
        self._random = random
        self._stats = stats
        self._is_down = False

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if self._peers.is_reader:
                log(
                    Event.READER_CHOSEN,
                    availability_zone=self._peers.own_member.availability_zone,
                )
                await self._read_while_reader()
            await trio.sleep(ROLE_CHECK_INTERVAL.total_seconds())

    async def _read_while_reader(self) -> None:
        """Read while this daemon is a reader, with waits after failures."""
        waits = full_jitter(
            self._random,
            first=FIRST_RETRY_WAIT,
            longest=LONGEST_RETRY_WAIT,
        )
        while self._peers.is_reader:
            if await self._read_page():
                waits = full_jitter(
                    self._random,
                    first=FIRST_RETRY_WAIT,
                    longest=LONGEST_RETRY_WAIT,
                )
            else:
                await trio.sleep(next(waits).total_seconds())

    async def _read_page(self) -> bool:
        """Read one page.

        :returns: whether the read succeeded.
        """
        self._stats.count_log_request(CONFIG_STREAM)
        # Reads do not wait before the daemon is ready: a log without new
        # records would delay readiness by a whole long poll, although the
        # daemon has caught up.
        is_ready = self._stats.ready
        outcome = await self._log.read(
            CONFIG_STREAM,
            Offset(self._configuration.state.offset + 1),
            wait=self._settings.long_poll_wait if is_ready else timedelta(0),
        )
        match outcome:
            case Success(LogPage() as page):
                return await self._apply_page(page)
            case Failure(LogError() as error):
                return await self._handle_fault(error)
        return False

    def _log_outage(self, error: LogError) -> None:
        if not self._is_down:
            log(Event.LOG_UNAVAILABLE, detail=error.detail)
        self._is_down = True

    def _log_recovery(self) -> None:
        if self._is_down:
            log(Event.LOG_RECOVERED)
        self._is_down = False

    async def _apply_page(self, page: LogPage) -> bool:
        self._log_recovery()
        self._checkpoints.set_oldest_record(page.oldest)
        if page.entries and not self._peers.is_primary:
            await trio.sleep(self._settings.second_reader_delay.total_seconds())
        offset = self._configuration.state.offset
        new_entries = tuple(
            entry for entry in page.entries if entry.offset > offset
        )
        if not self._configuration.apply_records(new_entries):
            # Records are missing, and none may be skipped: the proxy would use
            # a state that no other reader of the log reaches.
            self._stats.gaps += 1
            log(Event.LOG_GAP, offset=offset)
            return False
        if new_entries:
            self._on_entries(new_entries)
        return self._check_log_end(page)

    def _check_log_end(self, page: LogPage) -> bool:
        offset = self._configuration.state.offset
        if page.end <= offset and not page.entries:
            log(Event.LOG_TRUNCATED, end=page.end, offset=offset)
            return False
        if offset + 1 >= page.end:
            self._stats.ready = True
        return True

    async def _handle_fault(self, error: LogError) -> bool:
        if error.fault is not LogFault.EXPIRED:
            self._log_outage(error)
            return False
        if await self._checkpoints.restore():
            return True
        # Neither a checkpoint nor the records are left on the log, but a peer
        # may still have them. Until one is found, this daemon serves the state
        # that it has and is not ready.
        self._stats.ready = False
        log(
            Event.LOG_EXPIRED,
            offset=self._configuration.state.offset,
            detail=error.detail,
        )
        return False
