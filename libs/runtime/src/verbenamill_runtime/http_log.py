"""Adapter for a log service that speaks HTTP.

This is the only module that knows the service's protocol.

* ``POST /streams/S/records`` with the record as the body answers 201 and
  ``{"offset": N}``; 429 and 503 mean that nothing was appended.
* ``GET /streams/S/records?from=N&limit=L&wait=SECONDS`` answers 200 and
  ``{"oldest": N, "end": N, "records": [{"offset", "at", "body"}]}`` with
  base64 bodies, or 410 with ``oldest`` when the offset has expired.
"""

from datetime import datetime, timedelta

import httpx
import msgspec
from msgspec import Struct
from returns.result import Failure, Result, Success

from verbenamill_model.entries import Entry
from verbenamill_model.typing import Offset
from verbenamill_runtime.log import LogError, LogFault, LogPage

#: Time allowed for an answer beyond any long poll.
ANSWER_TIMEOUT = timedelta(seconds=5)


class _Appended(Struct):
    offset: Offset


class _Stored(Struct):
    offset: Offset
    at: datetime
    body: bytes


class _Page(Struct):
    oldest: Offset
    end: Offset
    records: list[_Stored]


class _Expired(Struct):
    oldest: Offset


class HttpLog:
    """A :class:`~verbenamill_runtime.log.Log` over HTTP.

    :param url: base URL of the service.
    """

    def __init__(self, url: str, *, timeout: timedelta = ANSWER_TIMEOUT):
        self._timeout = timeout
        self._client = httpx.AsyncClient(
            base_url=url,
            timeout=timeout.total_seconds(),
            trust_env=False,
        )

    async def append(
        self,
        stream: str,
        body: bytes,
    ) -> Result[Offset, LogError]:
        """Append one record and learn its offset."""
        try:
            response = await self._client.post(
                f'/streams/{stream}/records',
                content=body,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as refused:
            return _fail(LogFault.NOT_APPENDED, repr(refused))
        except httpx.HTTPError as lost:
            # The request may have arrived, so the record may be there.
            return _fail(LogFault.UNKNOWN, repr(lost))
        return _read_append(response)

    async def read(
        self,
        stream: str,
        start: Offset,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> Result[LogPage, LogError]:
        """Read records from an offset; wait for one when there is none."""
        try:
            response = await self._client.get(
                f'/streams/{stream}/records',
                params={
                    'from': start,
                    'limit': limit,
                    'wait': wait.total_seconds(),
                },
                timeout=(wait + self._timeout).total_seconds(),
            )
        except httpx.HTTPError as error:
            return _fail(LogFault.UNAVAILABLE, repr(error))
        return _read_page(response)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()


def _fail(fault: LogFault, detail: str) -> Failure[LogError]:
    return Failure(LogError(fault=fault, detail=detail))


def _read_append(response: httpx.Response) -> Result[Offset, LogError]:
    if response.status_code == httpx.codes.TOO_MANY_REQUESTS:
        return _fail(LogFault.THROTTLED, response.text)
    if response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
        return _fail(LogFault.NOT_APPENDED, response.text)
    if response.status_code != httpx.codes.CREATED:
        return _fail(
            LogFault.UNKNOWN,
            f'status {response.status_code}: {response.text}',
        )
    try:
        appended = msgspec.json.decode(response.content, type=_Appended)
    except msgspec.MsgspecError as error:
        return _fail(LogFault.UNKNOWN, str(error))
    return Success(appended.offset)


def _read_page(response: httpx.Response) -> Result[LogPage, LogError]:
    try:
        return _decode_page(response)
    except msgspec.MsgspecError as error:
        return _fail(LogFault.UNAVAILABLE, f'unreadable answer: {error}')


def _decode_page(response: httpx.Response) -> Result[LogPage, LogError]:
    if response.status_code == httpx.codes.GONE:
        expired = msgspec.json.decode(response.content, type=_Expired)
        return Failure(
            LogError(
                fault=LogFault.EXPIRED,
                detail=f'the oldest offset is {expired.oldest}',
                oldest=expired.oldest,
            ),
        )
    if response.status_code != httpx.codes.OK:
        return _fail(
            LogFault.UNAVAILABLE,
            f'status {response.status_code}: {response.text}',
        )
    page = msgspec.json.decode(response.content, type=_Page)
    entries = tuple(
        Entry(offset=stored.offset, at=stored.at, body=stored.body)
        for stored in page.records
    )
    return Success(LogPage(entries=entries, oldest=page.oldest, end=page.end))
