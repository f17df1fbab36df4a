"""HTTP client of the log service.

Only this module depends on the protocol of the service:

* ``POST /streams/S/records`` with the record as the body returns 201 and
  ``{"offset": N}``; 429 and 503 mean that nothing was appended.
* ``GET /streams/S/records?from=N&limit=L&wait=SECONDS`` returns 200 and
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

#: Time allowed for a response, in addition to the wait of a long poll.
ANSWER_TIMEOUT = timedelta(seconds=5)


class _AppendResponse(Struct):
    offset: Offset


class _StoredRecord(Struct):
    offset: Offset
    at: datetime
    body: bytes


class _PageResponse(Struct):
    oldest: Offset
    end: Offset
    records: list[_StoredRecord]


class _ExpiredResponse(Struct):
    oldest: Offset


class HttpLog:
    """A :class:`~verbenamill_runtime.log.Log` over HTTP.

    :param url: base URL of the service.
    :param timeout: time allowed for a response, without any long poll.
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
        """Append a record and return its offset."""
        try:
            response = await self._client.post(
                f'/streams/{stream}/records',
                content=body,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as connect_error:
            return _make_failure(LogFault.NOT_APPENDED, repr(connect_error))
        except httpx.HTTPError as transport_error:
            # The service may have received the request and appended the
            # record.
            return _make_failure(LogFault.UNKNOWN, repr(transport_error))
        return _parse_append_response(response)

    async def read(
        self,
        stream: str,
        start: Offset,
        *,
        limit: int = 500,
        wait: timedelta = timedelta(0),
    ) -> Result[LogPage, LogError]:
        """Read records from an offset; wait for one if there is none yet."""
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
            return _make_failure(LogFault.UNAVAILABLE, repr(error))
        return _parse_page_response(response)

    async def aclose(self) -> None:
        """Close the connections to the service."""
        await self._client.aclose()


def _make_failure(fault: LogFault, detail: str) -> Failure[LogError]:
    return Failure(LogError(fault=fault, detail=detail))


def _parse_append_response(
    response: httpx.Response,
) -> Result[Offset, LogError]:
    if response.status_code == httpx.codes.TOO_MANY_REQUESTS:
        return _make_failure(LogFault.THROTTLED, response.text)
    if response.status_code == httpx.codes.SERVICE_UNAVAILABLE:
        return _make_failure(LogFault.NOT_APPENDED, response.text)
    if response.status_code != httpx.codes.CREATED:
        return _make_failure(
            LogFault.UNKNOWN,
            f'status {response.status_code}: {response.text}',
        )
    try:
        appended = msgspec.json.decode(response.content, type=_AppendResponse)
    except msgspec.MsgspecError as error:
        return _make_failure(LogFault.UNKNOWN, str(error))
    return Success(appended.offset)


def _parse_page_response(response: httpx.Response) -> Result[LogPage, LogError]:
    try:
        return _decode_page_response(response)
    except msgspec.MsgspecError as error:
        return _make_failure(
            LogFault.UNAVAILABLE,
            f'unreadable response: {error}',
        )


def _decode_page_response(
    response: httpx.Response,
) -> Result[LogPage, LogError]:
    if response.status_code == httpx.codes.GONE:
        expired = msgspec.json.decode(response.content, type=_ExpiredResponse)
        return Failure(
            LogError(
                fault=LogFault.EXPIRED,
                detail=f'the oldest offset is {expired.oldest}',
                oldest=expired.oldest,
            ),
        )
    if response.status_code != httpx.codes.OK:
        return _make_failure(
            LogFault.UNAVAILABLE,
            f'status {response.status_code}: {response.text}',
        )
    page = msgspec.json.decode(response.content, type=_PageResponse)
    entries = tuple(
        Entry(
            offset=stored_record.offset,
            at=stored_record.at,
            body=stored_record.body,
        )
        for stored_record in page.records
    )
    return Success(LogPage(entries=entries, oldest=page.oldest, end=page.end))
