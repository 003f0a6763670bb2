"""Stand-in for the store; times are steady-clock seconds."""

import asyncio
from base64 import b64encode
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from struct import Struct as Layout

from msgspec.json import decode, encode
from tornado.web import Application

from cardamomdyke_standins.faults import FaultControl, FaultsHandler, FaultyHandler

RECORD_LENGTH = Layout(">I")
OFFSET_BOUNDS = Layout(">QQ")
PARTITIONS = 12
MAX_PAGE_ITEMS = 500
RECORD_BYTES = 262_144
APPEND_BYTES = 2_097_152


def split_record(content: bytes) -> tuple[str, bytes]:
    """Return the key and the value of a keyed record."""
    size = content[0]
    return content[1 : 1 + size].decode(), content[1 + size :]


@dataclass
class Partition:
    """Records of one partition.

    Attributes
    ----------
    records : list of bytes
        Retained records, without the length prefix.
    first : int
        Offset of the first retained record.
    newest : dict of str to (int, bytes)
        Offset and value of the newest record of each key.
    epochs : dict of str to (int, int)
        Epoch and next sequence number of each producer.
    answers : dict of str to dict
        Answer to the last append of each producer, for its repeat.
    appended : asyncio.Event
        Set, and replaced, at each append.
    """

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    epochs: dict[str, tuple[int, int]] = field(default_factory=dict)
    answers: dict[str, dict[str, int]] = field(default_factory=dict)
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, contents: list[bytes]) -> None:
        """Append records and wake the waiting readers."""
        for content in contents:
            key, value = split_record(content)
            if value:
                self.newest[key] = (self.end, value)
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        self.appended.set()
        self.appended = asyncio.Event()

    def trim(self, before: int) -> None:
        """Remove records before an offset."""
        dropped = max(0, min(before, self.end) - self.first)
        del self.records[:dropped]
        self.first += dropped


@dataclass
class Group:
    """Members that share the partitions of a topic.

    Attributes
    ----------
    generation : int
        Incremented with each change of the members.
    expiries : dict of str to float
        Time at which each membership expires.
    known_generations : dict of str to int
        Generation in the last join of each member.
    owners : dict of int to str
        Member that owns each partition.
    """

    generation: int = 0
    expiries: dict[str, float] = field(default_factory=dict)
    known_generations: dict[str, int] = field(default_factory=dict)
    owners: dict[int, str] = field(default_factory=dict)

    def join(self, member: str, until: float, generation: int, now: float) -> None:
        """Add or extend a member; remove expired ones."""
        self.drop_expired(now, member)
        if member not in self.expiries:
            self.generation += 1
        self.expiries[member] = until
        self.known_generations[member] = generation
        self.assign_partitions()

    def drop_expired(self, now: float, kept: str = "") -> None:
        """Remove expired members, except for one."""
        gone = [name for name, at in self.expiries.items() if at < now and name != kept]
        for name in gone:
            self.leave(name)

    def leave(self, member: str) -> None:
        """Remove a member."""
        if self.expiries.pop(member, None) is not None:
            self.generation += 1
            self.assign_partitions()

    def assign_partitions(self) -> None:
        """Distribute partitions; each moves once its owner knows the generation."""
        members = sorted(self.expiries)
        for part in range(PARTITIONS):
            wanted = members[part % len(members)] if members else ""
            owner = self.owners.get(part, "")
            owner_knows = (
                owner not in self.expiries
                or self.known_generations[owner] >= self.generation
            )
            if owner != wanted and owner_knows:
                self.owners[part] = wanted


@dataclass
class Store:
    """All partitions and groups.

    Attributes
    ----------
    record_bytes, append_bytes : int
        Largest record, and largest total of the records of one append; larger ones
        get 400.
    """

    clock: Callable[[], float]
    record_bytes: int = RECORD_BYTES
    append_bytes: int = APPEND_BYTES
    topics: dict[tuple[str, int], Partition] = field(default_factory=dict)
    groups: dict[str, Group] = field(default_factory=dict)

    def find_partition(self, topic: str, part: int = 0) -> Partition:
        """Return a partition, created on first use."""
        return self.topics.setdefault((topic, part), Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append one keyed record."""
        name = key.encode()
        self.find_partition(topic).append([bytes((len(name),)) + name + value])


class AppendHandler(FaultyHandler):
    """``POST /log-append``."""

    store: Store

    def post(self) -> None:
        """Append the records, fenced by the producer's epoch."""
        argument = self.get_query_argument
        partition = self.store.find_partition(argument("topic"), int(argument("part")))
        producer = argument("producer", "")
        contents = split_body(self.request.body)
        largest = max(map(len, contents), default=0)
        total = len(self.request.body)
        if largest > self.store.record_bytes or total > self.store.append_bytes:
            self.set_status(400)
            self.finish(b"{}")
            return
        if producer:
            refusal = check_producer(
                partition,
                producer,
                int(argument("epoch")),
                int(argument("sequence")),
            )
            if refusal is not None:
                code, body = refusal
                self.set_status(code)
                self.finish(encode(body))
                return
        offset = partition.end
        partition.append(contents)
        answer = {"offset": offset, "end_offset": partition.end}
        if producer:
            partition.answers[producer] = answer
        self.finish_change(encode(answer))


def split_body(body: bytes) -> list[bytes]:
    """Split a body into records."""
    contents = []
    position = 0
    while position < len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, position)
        position += RECORD_LENGTH.size
        contents.append(body[position : position + length])
        position += length
    return contents


def check_producer(
    partition: Partition, producer: str, epoch: int, sequence: int
) -> tuple[int, Mapping[str, object]] | None:
    """Return the answer to a repeated or refused append, else None."""
    known, expected = partition.epochs.get(producer, (0, -1))
    if epoch < known:
        return 409, {"reason": "fenced"}
    if epoch == known and sequence == expected - 1:
        return 200, partition.answers[producer]
    if epoch == known and expected >= 0 and sequence != expected:
        return 409, {"reason": "seq", "sequence": expected}
    partition.epochs[producer] = (epoch, sequence + 1)
    return None


class ReadHandler(FaultyHandler):
    """``GET /log-read``."""

    store: Store

    async def get(self) -> None:
        """Send records from an offset on; wait up to ``wait_ms`` for one."""
        argument = self.get_query_argument
        partition = self.store.find_partition(argument("topic"), int(argument("part")))
        start = int(argument("from"))
        wait = int(argument("wait_ms", "0")) / 1000.0
        if start >= partition.end and wait:
            try:
                await asyncio.wait_for(partition.appended.wait(), wait)
            except TimeoutError:
                pass
        if start < partition.first:
            self.set_status(410)
            self.finish(encode({"first_offset": partition.first}))
            return
        records = partition.records[start - partition.first :]
        framed = b"".join(RECORD_LENGTH.pack(len(item)) + item for item in records)
        limit = int(argument("max_kb", "1024")) * 1024
        bounds = OFFSET_BOUNDS.pack(partition.end, partition.first)
        self.finish(bounds + framed[:limit])


class NewestHandler(FaultyHandler):
    """``GET /log-newest``."""

    store: Store

    def get(self) -> None:
        """Send a page of each key's newest record."""
        argument = self.get_query_argument
        partition = self.store.find_partition(argument("topic"), int(argument("part")))
        after = argument("after", "")
        keys = sorted(key for key in partition.newest if key > after)
        items = []
        for key in keys[:MAX_PAGE_ITEMS]:
            offset, value = partition.newest[key]
            text = b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        answer = {
            "items": items,
            "has_more": len(keys) > MAX_PAGE_ITEMS,
            "end_offset": partition.end,
        }
        self.finish(encode(answer))


class JoinHandler(FaultyHandler):
    """``POST /log-join``."""

    store: Store

    def post(self) -> None:
        """Join a group or extend the membership."""
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
        """Remove the records of a partition before an offset."""
        argument = self.get_query_argument
        partition = self.store.find_partition(argument("topic"), int(argument("part")))
        partition.trim(int(argument("before")))
        self.finish(b"{}")


def make_store_application(store: Store, control: FaultControl) -> Application:
    """Create the web application."""
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
