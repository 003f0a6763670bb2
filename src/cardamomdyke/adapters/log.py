"""Client of the platform's append-only log service."""

from base64 import b64decode
from dataclasses import dataclass

from expression import Error, Ok, Result
from msgspec.json import Decoder
from tornado.curl_httpclient import CurlAsyncHTTPClient

from cardamomdyke.adapters.http import HttpCall, send_call
from cardamomdyke.model.errors import DECODE_ERRORS

MAX_PAGE_RECORDS = 500
# An append may have taken effect before a server error or a gateway's timeout.
UNCERTAIN_CODES = frozenset({500, 502, 504})


@dataclass(frozen=True, slots=True)
class LogFault:
    """A failed call to the log service.

    Attributes
    ----------
    may_have_taken_effect : bool
        True when the record may be in the log despite the failure.
    detail : str
        Text for the log line.
    """

    may_have_taken_effect: bool
    detail: str


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream.

    Attributes
    ----------
    offset : int
        Position in the stream, from 0.
    data : bytes
        The appended bytes.
    """

    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Records read in one call.

    Attributes
    ----------
    first : int
        Oldest offset that the service still stores.
    end : int
        Offset of the next append.
    records : tuple of LogRecord
        In offset order.
    """

    first: int
    end: int
    records: tuple[LogRecord, ...]


@dataclass(frozen=True, slots=True)
class _WireRecord:
    offset: int
    data: str


@dataclass(frozen=True, slots=True)
class _WirePage:
    first: int
    end: int
    records: tuple[_WireRecord, ...]


@dataclass(frozen=True, slots=True)
class _WireAppend:
    offset: int


_PAGE_DECODER = Decoder(_WirePage)
_APPEND_DECODER = Decoder(_WireAppend)


@dataclass(frozen=True)
class LogClient:
    """Client of the log service.

    Attributes
    ----------
    http : CurlAsyncHTTPClient
        The loop's HTTP client.
    url : str
        Base URL of the service.
    timeout_seconds : float
        Time limit of one call.
    """

    http: CurlAsyncHTTPClient
    url: str
    timeout_seconds: float = 2.0

    async def append_record(self, stream: str, data: bytes) -> Result[int, LogFault]:
        """Append one record and return its offset.

        Parameters
        ----------
        stream : str
            Name of the stream.
        data : bytes
            The record.

        Returns
        -------
        Result of int or LogFault
            The offset; the fault tells whether the record may be in the log.
        """
        call = HttpCall(
            "POST",
            f"{self.url}/v1/streams/{stream}/records",
            body=data,
            timeout_seconds=self.timeout_seconds,
            # A resend by libcurl would append the record twice.
            fresh_connection=True,
        )
        result = await send_call(self.http, call)
        if result.is_error():
            fault = result.error
            return Error(LogFault(fault.kind == "uncertain", fault.detail))
        response = result.ok
        if response.code != 200:
            uncertain = response.code in UNCERTAIN_CODES
            return Error(
                LogFault(uncertain, f"log service returned status {response.code}")
            )
        try:
            return Ok(_APPEND_DECODER.decode(response.body).offset)
        except DECODE_ERRORS as error:
            return Error(LogFault(True, f"malformed reply from log service: {error}"))

    async def read_records(
        self, stream: str, offset: int, limit: int = MAX_PAGE_RECORDS
    ) -> Result[LogPage, LogFault]:
        """Read records from an offset on.

        Parameters
        ----------
        stream : str
            Name of the stream.
        offset : int
            First offset to read; older records may be deleted.
        limit : int
            Maximum number of records.

        Returns
        -------
        Result of LogPage or LogFault
            The page, with the log's bounds at the time of the read.
        """
        call = HttpCall(
            "GET",
            f"{self.url}/v1/streams/{stream}/records?from={offset}&limit={limit}",
            timeout_seconds=self.timeout_seconds,
        )
        result = await send_call(self.http, call)
        if result.is_error():
            return Error(LogFault(False, result.error.detail))
        response = result.ok
        if response.code != 200:
            return Error(
                LogFault(False, f"log service returned status {response.code}")
            )
        try:
            page = _PAGE_DECODER.decode(response.body)
            records = tuple(
                LogRecord(record.offset, b64decode(record.data, validate=True))
                for record in page.records
            )
        except (*DECODE_ERRORS, ValueError) as error:
            return Error(LogFault(False, f"malformed reply from log service: {error}"))
        return Ok(LogPage(page.first, page.end, records))
