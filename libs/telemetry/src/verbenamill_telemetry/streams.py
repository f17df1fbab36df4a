"""Standard output that never stops the daemon."""

import os
from select import POLLOUT, poll

#: A pipe that is writable takes this much without blocking (POSIX).
PIPE_BUF = 4096


class NonBlockingStream:
    """Writes lines to a descriptor, and drops those it would wait for.

    A reader of the logs that stops would otherwise stop the daemon with the
    next line, and all calls with it.

    :param descriptor: an open one, such as 1.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = poll()
        self._poll.register(descriptor, POLLOUT)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines that were not written."""
        return self._dropped

    def write(self, text: str) -> int:
        """Write at once or not at all."""
        data = text.encode('utf-8', 'replace')
        if len(data) > PIPE_BUF:
            data = b'%b\n' % data[: PIPE_BUF - 1]
        try:
            if self._poll.poll(0):
                os.write(self._descriptor, data)
                return len(text)
        except OSError:
            # Nobody reads any more; there is nowhere to say so.
            self._dropped += 1
            return len(text)
        self._dropped += 1
        return len(text)
