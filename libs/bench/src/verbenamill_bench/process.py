"""One child process of a bench: started, watched, ended by its id."""

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import BinaryIO

import trio
from msgspec import Struct

_POLL = 0.02
#: Where this environment has its commands.
BIN = Path(sys.executable).parent
_CLOCK_TICKS = os.sysconf('SC_CLK_TCK')
_PAGE = os.sysconf('SC_PAGE_SIZE')


class Usage(Struct, frozen=True, kw_only=True):
    """What a process has used.

    :param cpu: seconds of processor time since its start.
    :param rss: resident bytes now.
    """

    cpu: float
    rss: int


class Process:
    """A child process whose output goes to a file.

    :param command: first a command of this environment.
    :param log: file that its output is added to.
    """

    def __init__(self, name: str, command: list[str], log: Path) -> None:
        self.name = name
        self.log = log
        self._command = [str(BIN / command[0]), *command[1:]]
        self._child = self._spawn()

    @property
    def pid(self) -> int:
        """Id of the child process."""
        return self._child.pid

    @property
    def alive(self) -> bool:
        """Whether it runs, also when it is paused."""
        return self._child.poll() is None

    @property
    def exit_code(self) -> int | None:
        """How it ended; ``None`` while it runs."""
        return self._child.poll()

    def usage(self) -> Usage:
        """Processor time and memory; the process must be alive."""
        stat = Path(f'/proc/{self.pid}/stat').read_text()
        # The second field is the command's name, which may hold spaces.
        fields = stat.rsplit(')', 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        return Usage(cpu=ticks / _CLOCK_TICKS, rss=int(fields[21]) * _PAGE)

    def terminate(self) -> None:
        """Ask it to stop."""
        self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """End it at once, as a crash would."""
        self._signal(signal.SIGKILL)

    def pause(self) -> None:
        """Stop it from running until :meth:`resume`."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it run again."""
        self._signal(signal.SIGCONT)

    def restart(self) -> None:
        """Start it again with the same command, once it has ended."""
        assert not self.alive, f'{self.name} still runs'
        self._child = self._spawn()

    async def wait(self, seconds: float) -> int | None:
        """Wait for its end; its exit code, or ``None`` if it still runs."""
        with trio.move_on_after(seconds):
            while self.alive:
                await trio.sleep(_POLL)
        return self.exit_code

    def tail(self, lines: int = 8) -> str:
        """Last lines of its output."""
        return '\n'.join(
            self.log.read_text(errors='replace').splitlines()[-lines:]
        )

    def _signal(self, number: signal.Signals) -> None:
        if self.alive:
            self._child.send_signal(number)

    def _spawn(self) -> subprocess.Popen[bytes]:
        output: BinaryIO
        with self.log.open('ab') as output:
            return subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
