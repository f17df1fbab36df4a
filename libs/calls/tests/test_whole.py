"""A caller gets the whole answer, or sees that it is not whole."""

from datetime import timedelta
from random import Random

import trio

PHOTO = Random(1).randbytes(3_000_000)


def cut_answer(upstream, body, length):
    async def answer(stream, target):
        head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % length
        await stream.send_all(head + body)
        await stream.aclose()

    upstream.answer = answer


def test_cut_small_answer_is_got_elsewhere(fleet):
    """One upstream closes in the midst of each answer; another is well."""

    async def check(daemons, nursery):
        ingress, bad, _ = daemons
        ingress.stand_aside()
        cut_answer(bad.upstream, b'/entr', 10)
        for _ in range(10):
            answer = await ingress.call('GET', '/entries/7')
            assert answer.is_whole
            assert answer.body == b'/entries/7'
        assert bad.upstream.targets
        assert set(bad.outcomes) == {'failed'}

    fleet(check, 3)


def test_cut_large_answer_is_seen_as_cut(fleet):
    """Half a photo must not look like a whole one."""

    async def check(daemons, nursery):
        ingress, owner = daemons
        ingress.stand_aside()
        cut_answer(owner.upstream, PHOTO[:2_000_000], len(PHOTO))
        answer = await ingress.call('GET', '/entries/photo')
        assert answer.status == 200
        assert not answer.is_whole
        await trio.sleep(3)
        assert owner.outcomes == ['failed']
        assert owner.local.admission.running == 0

    fleet(check, 2)


def test_answer_without_length_is_refused(fleet):
    """Its end could not be told from a cut."""

    async def check(daemons, nursery):
        async def answer(stream, target):
            await stream.send_all(b'HTTP/1.1 200 OK\r\n\r\nhalf')
            await stream.aclose()

        daemons[0].upstream.answer = answer
        answer = await daemons[0].call('POST', '/entries', b'1')
        assert (answer.status, answer.outcome) == (502, b'unknown')

    fleet(check, 1)


def test_photo_goes_up_and_down_whole(fleet):
    async def check(daemons, nursery):
        ingress, owner = daemons
        ingress.stand_aside()
        upstream = owner.upstream

        async def send_photo(stream, target):
            await upstream.reply(stream, PHOTO)

        upstream.answer = send_photo
        for method in ('PUT', 'POST'):
            answer = await ingress.call(method, '/entries/photo', PHOTO)
            assert answer.status == 200
            assert answer.body == PHOTO
        assert upstream.bodies == [PHOTO, PHOTO]

    fleet(check, 2)


def test_head_is_answered_without_body(fleet):
    async def check(daemons, nursery):
        upstream = daemons[1].upstream
        daemons[0].stand_aside()

        async def answer_head(stream, target):
            await stream.send_all(
                b'HTTP/1.1 200 OK\r\ncontent-length: 77\r\n\r\n',
            )

        upstream.answer = answer_head
        stream = await daemons[0].connect()
        async with stream:
            for _ in range(2):
                await stream.send_all(
                    b'HEAD /entries HTTP/1.1\r\nhost: a\r\n\r\n',
                )
                seen = b''
                while b'\r\n\r\n' not in seen:
                    seen += await stream.receive_some()
                assert b'content-length: 77' in seen
                assert seen.endswith(b'\r\n\r\n')

    fleet(check, 2)


def test_slow_reader_holds_back_the_upstream(fleet, http):
    """A caller that reads nothing must not fill the memory of two daemons.

    What was sent ahead fits into the buffers of the sockets.
    """

    async def check(daemons, nursery):
        ingress, owner = daemons
        ingress.stand_aside()
        sent = 0

        async def pour(stream, target):
            nonlocal sent
            head = b'HTTP/1.1 200 OK\r\ncontent-length: 1000000000\r\n\r\n'
            await stream.send_all(head)
            while True:
                await stream.send_all(bytes(100_000))
                sent += 100_000

        owner.upstream.answer = pour
        async with await ingress.connect() as stream:
            await stream.send_all(http.encode('GET', '/entries/photo'))
            await trio.sleep(4)
            assert 100_000 < sent < 40_000_000
        await trio.sleep(3)
        assert owner.local.admission.running == 0
        assert owner.outcomes == ['cancelled']

    fleet(check, 2, timeout=timedelta(seconds=60))


def test_second_answer_to_one_request_reaches_nobody(fleet):
    """An upstream answers twice; the next caller must not get the second."""

    async def check(daemons, nursery):
        upstream = daemons[0].upstream

        async def answer_twice(stream, target):
            await upstream.reply(stream, target)
            await upstream.reply(stream, b'crossed')

        upstream.answer = answer_twice
        for number in range(10):
            answer = await daemons[0].call('GET', f'/entries/{number}')
            assert answer.body == b'/entries/%d' % number

    fleet(check, 1)
