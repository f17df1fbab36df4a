"""Output streams that never block the daemon."""

import os
from select import POLLOUT, poll

#: Bytes that a writable pipe accepts without blocking (POSIX ``PIPE_BUF``).
PIPE_BUF_BYTES = 4096


class NonBlockingStream:
    """Writes lines to a descriptor and drops lines that would block.

    Otherwise a process that stops reading the log would block the daemon at
    the next line, and with it all calls.

    :param descriptor: an open file descriptor, such as 1.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._poll = poll()
        self._poll.register(descriptor, POLLOUT)
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of lines that were not written."""
        return self._dropped

    def write(self, text: str) -> int:
        """Write the text without blocking, or drop it."""
        data = text.encode('utf-8', 'replace')
        if len(data) > PIPE_BUF_BYTES:
            data = b'%b\n' % data[: PIPE_BUF_BYTES - 1]
        try:
            if self._poll.poll(0):
                os.write(self._descriptor, data)
                return len(text)
        except OSError:
            # The reader has closed the stream, so the error cannot be
            # reported.
            self._dropped += 1
            return len(text)
        self._dropped += 1
        return len(text)
