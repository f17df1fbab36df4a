"""A back end that answers uploads early, as a process of its own.

Arguments: its port, its id, its slots, and the size of an answer. It answers
before it has read the body, without a length, and ends each answer with its
connection. Half of an answer leaves at once, the rest a second later; then it
reads what is left of the body. What it does goes to standard output.
"""

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'support2'))

from standins import LOOPBACK, encode_answer, header, read_head

PORT, ID, SLOTS, SIZE = sys.argv[1:]
PAUSE_S = 1.0
WINDOW_BYTES = 8 * 1024
SEGMENT_BYTES = 1460
running = set()


async def serve(reader, writer):
    head = await read_head(reader)
    if head is None:
        writer.close()
        return
    id = header(head[1], 'x-attempt-id')
    refusal = None
    if head[0].startswith('GET /health '):
        refusal = encode_answer(200, [('X-Instance-Id', ID)])
    elif id is None:
        refusal = encode_answer(400, [('X-Not-Executed', '1')])
    elif header(head[1], 'x-expect-instance') not in (None, ID):
        refusal = encode_answer(421, [('X-Instance-Id', ID), ('X-Attempt-Id', id)])
    elif len(running) >= int(SLOTS):
        refusal = encode_answer(503, [('X-Not-Executed', '1'), ('X-Attempt-Id', id)])
    if refusal is not None:
        writer.write(refusal)
        await writer.drain()
        writer.close()
        return
    running.add(id)
    print('runs', id, flush=True)
    body = id.encode().ljust(int(SIZE), b'.')
    half = len(body) // 2
    try:
        writer.write(
            b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
            + f'X-Attempt-Id: {id}\r\nX-Response-Seal: {id}.{SIZE}\r\n\r\n'.encode()
            + body[:half]
        )
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        writer.write(body[half:])
        await writer.drain()
        print('has sent the whole answer to', id, flush=True)
        writer.write_eof()
        while await reader.read(1 << 20):
            pass
    except ConnectionError:
        print('loses the connection of', id, flush=True)
    finally:
        running.discard(id)
        writer.close()


async def main():
    # The loopback interface has segments of 64 KB and large buffers. With the
    # segments of Ethernet and a small window, a peer that does not read blocks
    # the writer, as DEPLOY.md says of the links.
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.bind((LOOPBACK, int(PORT)))
    server = await asyncio.start_server(
        serve, sock=sock, limit=WINDOW_BYTES
    )
    print('listens', flush=True)
    await server.serve_forever()


asyncio.run(main())
