"""Stand-in for the append-only log service of the platform."""

import asyncio
from base64 import b64encode
from collections import defaultdict

from fire import Fire
from msgspec.json import encode
from tornado.web import Application

from cardamomdyke_standins.faults import FaultControl, FaultsHandler, FaultyHandler


class Streams:
    """Retained records of each stream, with the first offset."""

    def __init__(self, retained_records: int) -> None:
        self.retained_records = retained_records
        self.records: dict[str, list[bytes]] = defaultdict(list)
        self.first: dict[str, int] = defaultdict(int)

    def append_record(self, stream: str, data: bytes) -> int:
        """Append a record, drop the oldest above the limit, return the offset."""
        records = self.records[stream]
        records.append(data)
        if len(records) > self.retained_records:
            del records[0]
            self.first[stream] += 1
        return self.first[stream] + len(records) - 1


class RecordsHandler(FaultyHandler):
    """Appends and reads the records of one stream."""

    streams: Streams

    def post(self, stream: str) -> None:
        """Append the body as one record."""
        offset = self.streams.append_record(stream, self.request.body)
        self.finish_change(encode({"offset": offset}))

    def get(self, stream: str) -> None:
        """Send the retained records from an offset on."""
        start = int(self.get_query_argument("from", "0"))
        limit = int(self.get_query_argument("limit", "500"))
        first = self.streams.first[stream]
        records = self.streams.records[stream]
        start = max(start, first)
        chosen = records[start - first : start - first + limit]
        self.finish(
            encode(
                {
                    "first": first,
                    "end": first + len(records),
                    "records": [
                        {"offset": start + i, "data": b64encode(data).decode()}
                        for i, data in enumerate(chosen)
                    ],
                }
            )
        )


class TrimHandler(FaultyHandler):
    """Removes old records, as the retention of the service does."""

    streams: Streams

    def post(self, stream: str) -> None:
        """Remove all records before ``?before=OFFSET``."""
        before = int(self.get_query_argument("before"))
        first = self.streams.first[stream]
        dropped = max(0, min(before - first, len(self.streams.records[stream])))
        del self.streams.records[stream][:dropped]
        self.streams.first[stream] += dropped
        self.finish(b"{}")


def make_log_application(retained_records: int = 100_000) -> Application:
    """Create the web application."""
    control = FaultControl()
    streams = Streams(retained_records)
    arguments = {"control": control, "streams": streams}
    return Application(
        [
            (r"/v1/streams/([a-z-]+)/records", RecordsHandler, arguments),
            (r"/v1/streams/([a-z-]+)/trim", TrimHandler, arguments),
            (r"/faults", FaultsHandler, {"control": control}),
        ],
        log_function=lambda handler: None,
    )


async def serve_log(host: str, port: int, retained_records: int) -> None:
    """Serve until the process ends."""
    make_log_application(retained_records).listen(port, host)
    await asyncio.Event().wait()


def main(
    host: str = "127.0.0.1", port: int = 7000, retained_records: int = 100_000
) -> None:
    """Run the log, with ``retained_records`` per stream."""
    asyncio.run(serve_log(host, port, retained_records))


if __name__ == "__main__":
    Fire(main)
