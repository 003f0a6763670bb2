"""Stand-in of the platform's store: partitions, keys, epochs and groups."""

import asyncio
from base64 import b64encode
from collections.abc import Callable
from dataclasses import dataclass, field
from struct import Struct as Layout

from msgspec.json import decode, encode
from tornado.web import Application

from cardamomdyke_standins.faults import FaultControl, FaultsHandler, FaultyHandler

LENGTH = Layout(">I")
BOUNDS = Layout(">QQ")
PARTITIONS = 12
NEWEST_PAGE = 500


def split_record(content: bytes) -> tuple[str, bytes]:
    """Return key and value of a keyed record."""
    size = content[0]
    return content[1 : 1 + size].decode(), content[1 + size :]


@dataclass
class Partition:
    """Records of one partition.

    Attributes
    ----------
    records : list of bytes
        Retained records, without their length.
    first : int
        Offset of the first retained record.
    newest : dict of str to (int, bytes)
        Offset and value of the newest record of each key.
    epochs : dict of str to (int, int)
        Epoch and next sequence number of each producer.
    """

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    epochs: dict[str, tuple[int, int]] = field(default_factory=dict)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Offset that the next record gets."""
        return self.first + len(self.records)

    def append(self, contents: list[bytes]) -> None:
        """Append records, and wake the readers that wait for them."""
        for content in contents:
            key, value = split_record(content)
            if value:
                self.newest[key] = (self.end, value)
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        self.grown.set()
        self.grown = asyncio.Event()

    def trim(self, before: int) -> None:
        """Forget records before an offset."""
        dropped = max(0, min(before, self.end) - self.first)
        del self.records[:dropped]
        self.first += dropped


@dataclass
class Group:
    """Members that share a topic's partitions.

    Attributes
    ----------
    generation : int
        Rises with each change.
    seen : dict of str to float
        When each member is taken to be gone.
    told : dict of str to int
        Newest generation that each member has named.
    owners : dict of int to str
        Member of each partition.
    """

    generation: int = 0
    seen: dict[str, float] = field(default_factory=dict)
    told: dict[str, int] = field(default_factory=dict)
    owners: dict[int, str] = field(default_factory=dict)

    def join(self, member: str, until: float, generation: int, now: float) -> None:
        """Add or keep a member, and drop those whose time is over."""
        self.drop_silent(now, member)
        if member not in self.seen:
            self.generation += 1
        self.seen[member] = until
        self.told[member] = generation
        self.deal()

    def drop_silent(self, now: float, kept: str = "") -> None:
        """Drop members whose time is over, but for one."""
        gone = [name for name, at in self.seen.items() if at < now and name != kept]
        for name in gone:
            self.leave(name)

    def leave(self, member: str) -> None:
        """Drop a member at once."""
        if self.seen.pop(member, None) is not None:
            self.generation += 1
            self.deal()

    def deal(self) -> None:
        """Deal the partitions evenly; one moves once its owner has been told."""
        members = sorted(self.seen)
        for part in range(PARTITIONS):
            wanted = members[part % len(members)] if members else ""
            owner = self.owners.get(part, "")
            told = owner not in self.seen or self.told[owner] >= self.generation
            if owner != wanted and told:
                self.owners[part] = wanted


@dataclass
class Store:
    """Everything that the store keeps."""

    clock: Callable[[], float]
    topics: dict[tuple[str, int], Partition] = field(default_factory=dict)
    groups: dict[str, Group] = field(default_factory=dict)

    def find(self, topic: str, part: int = 0) -> Partition:
        """Return a partition, made on first use."""
        return self.topics.setdefault((topic, part), Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append one keyed record."""
        name = key.encode()
        self.find(topic).append([bytes((len(name),)) + name + value])


class AppendHandler(FaultyHandler):
    """``POST /log-append``."""

    store: Store

    def post(self) -> None:
        """Append the records of the body, fenced by the producer's epoch."""
        argument = self.get_query_argument
        partition = self.store.find(argument("topic"), int(argument("part")))
        producer = argument("producer", "")
        contents = split_body(self.request.body)
        if producer:
            refusal = check_producer(
                partition,
                producer,
                int(argument("epoch")),
                int(argument("sequence")),
                bool(contents),
            )
            if refusal is not None:
                code, body = refusal
                self.set_status(code)
                self.finish(encode(body))
                return
        offset = partition.end
        partition.append(contents)
        answer = {"offset": offset, "end_offset": partition.end}
        self.finish_change(encode(answer))


def split_body(body: bytes) -> list[bytes]:
    """Return the records of an append."""
    contents = []
    position = 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        contents.append(body[position : position + length])
        position += length
    return contents


def check_producer(
    partition: Partition, producer: str, epoch: int, sequence: int, adds: bool
) -> tuple[int, dict[str, object]] | None:
    """Return the answer to an append that must not be done, or None."""
    known, expected = partition.epochs.get(producer, (0, -1))
    if epoch < known:
        return 409, {"reason": "fenced"}
    if epoch == known and sequence == expected - 1:
        return 200, {"offset": partition.end, "end_offset": partition.end}
    if epoch == known and expected >= 0 and sequence != expected:
        return 409, {"reason": "seq", "sequence": expected}
    partition.epochs[producer] = (epoch, sequence + 1)
    return None


class ReadHandler(FaultyHandler):
    """``GET /log-read``."""

    store: Store

    async def get(self) -> None:
        """Answer the records from an offset on, as soon as there is one."""
        argument = self.get_query_argument
        partition = self.store.find(argument("topic"), int(argument("part")))
        start = int(argument("from"))
        wait = int(argument("wait_ms", "0")) / 1000.0
        if start >= partition.end and wait:
            try:
                await asyncio.wait_for(partition.grown.wait(), wait)
            except TimeoutError:
                pass
        if start < partition.first:
            self.set_status(410)
            self.finish(encode({"first_offset": partition.first}))
            return
        records = partition.records[start - partition.first :]
        framed = [LENGTH.pack(len(item)) + item for item in records]
        self.finish(BOUNDS.pack(partition.end, partition.first) + b"".join(framed))


class NewestHandler(FaultyHandler):
    """``GET /log-newest``."""

    store: Store

    def get(self) -> None:
        """Answer the newest record of each key, a page at a time."""
        argument = self.get_query_argument
        partition = self.store.find(argument("topic"), int(argument("part")))
        after = argument("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        items = []
        for key in keys[:NEWEST_PAGE]:
            offset, value = partition.newest[key]
            text = b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        answer = {
            "items": items,
            "has_more": len(keys) > NEWEST_PAGE,
            "end_offset": partition.end,
        }
        self.finish(encode(answer))


class JoinHandler(FaultyHandler):
    """``POST /log-join``."""

    store: Store

    def post(self) -> None:
        """Join a group or stay in it."""
        body = decode(self.request.body)
        group = self.store.groups.setdefault(body["group"], Group())
        now = self.store.clock()
        until = now + body["ttl_ms"] / 1000.0
        group.join(body["member"], until, body["generation"], now)
        parts = [
            [body["topics"][0], part, 0]
            for part, owner in group.owners.items()
            if owner == body["member"]
        ]
        answer = {"generation": group.generation, "parts": parts}
        self.finish_change(encode(answer))


class LeaveHandler(FaultyHandler):
    """``POST /log-leave``."""

    store: Store

    def post(self) -> None:
        """Leave a group."""
        body = decode(self.request.body)
        group = self.store.groups.setdefault(body["group"], Group())
        group.leave(body["member"])
        self.finish_change(b"{}")


class TrimHandler(FaultyHandler):
    """``POST /log-trim``."""

    store: Store

    def post(self) -> None:
        """Forget the records of a partition before an offset."""
        argument = self.get_query_argument
        partition = self.store.find(argument("topic"), int(argument("part")))
        partition.trim(int(argument("before")))
        self.finish(b"{}")


def make_store_application(store: Store, control: FaultControl) -> Application:
    """Build the web application of the store."""
    arguments = {"control": control, "store": store}
    return Application(
        [
            (r"/log-append", AppendHandler, arguments),
            (r"/log-read", ReadHandler, arguments),
            (r"/log-newest", NewestHandler, arguments),
            (r"/log-join", JoinHandler, arguments),
            (r"/log-leave", LeaveHandler, arguments),
            (r"/log-trim", TrimHandler, arguments),
            (r"/faults", FaultsHandler, {"control": control}),
        ],
        log_function=lambda handler: None,
    )
