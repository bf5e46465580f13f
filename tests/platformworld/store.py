"""Stand-in of the platform's store: partitions with offsets, conditional and fenced appends, newest records by key,
groups of readers. One event loop runs it, so that its answers are linearizable."""

from __future__ import annotations

import asyncio
import base64
import collections
import json
import time

from platformworld.groups import Groups
from platformworld.httpd import Answer, Request, Reset, Silence

#: Records of keyed topics that one page holds.
PAGE_RECORDS = 500
#: Repeats of this many last appends of a producer get their first answer again.
REMEMBERED_APPENDS = 5
KEYED_PREFIX = "keyed."
#: A call with a larger record is refused whole; of the platform's settings.
RECORD_BYTES = 262144
#: Topics that only operators and servers write; here through `put`.
FOREIGN_TOPICS = ("keyed.op", "keyed.servers")


class Partition:
    def __init__(self, keyed: bool) -> None:
        self.records: list[bytes] = []
        self.first = 0
        self.keyed = keyed
        self.newest: dict[str, tuple[bytes, int]] = {}
        self.epochs: dict[str, int] = {}
        self.sequences: dict[str, int] = {}
        self.answers: dict[str, list[tuple[int, int, dict]]] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def add(self, records: list[bytes]) -> None:
        for record in records:
            if self.keyed:
                key, value = record[1:1 + record[0]].decode(), record[1 + record[0]:]
                self.newest.pop(key, None)
                if value:
                    self.newest[key] = (value, self.end)
            self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    def trim(self, before: int) -> None:
        """Deletes the records before an offset; the newest record of a key stays."""
        kept = max(0, min(before, self.end) - self.first)
        self.records = self.records[kept:]
        self.first += kept


def split_records(body: bytes) -> list[bytes]:
    records = []
    while body:
        size = int.from_bytes(body[:4], "big")
        records.append(body[4:4 + size])
        body = body[4 + size:]
    return records


def json_answer(status: int, body: dict) -> Answer:
    return Answer(status, {"Content-Type": "application/json"}, json.dumps(body).encode())


class Rate:
    """Calls a second; a tenth of a second may be saved up."""

    def __init__(self, per_second: float | None) -> None:
        self.per_second, self.left, self.at = per_second, 0.0, time.monotonic()

    def take(self, price: float = 1.0) -> bool:
        if self.per_second is None:
            return True
        now = time.monotonic()
        most = max(1.0, self.per_second / 10)
        self.left, self.at = min(most, self.left + (now - self.at) * self.per_second), now
        if self.left < price:
            return False
        self.left -= price
        return True


class Store:
    """`mode` is up, busy, silent or reset; `lose_answers` appends are done and not answered; `late_appends` are done
    `late_by` seconds later, if their condition still holds, and not answered; `slow` delays each answer."""

    def __init__(self, writes_per_s: float | None = None, reads_per_s: float | None = None) -> None:
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.groups = Groups(self.partition_numbers)
        self.mode = "up"
        #: Partitions (topic, number) that say nothing while the others answer.
        self.silent_partitions: set[tuple[str, int]] = set()
        #: Topics whose reads hear of nothing; those reads are cut once the topic is no longer in the set.
        self.muted_topics: set[str] = set()
        self.lose_answers = self.late_appends = 0
        self.late_by = 1.0
        self.slow = 0.0
        self.calls = self.refused = 0
        #: Reads of partitions (topic, number) that do not wait for news.
        self.short_reads: collections.Counter = collections.Counter()
        self.oversized = 0  #: Appends with a record above RECORD_BYTES.
        self.writes, self.reads = Rate(writes_per_s), Rate(reads_per_s)

    def partition(self, topic: str, number: int = 0) -> Partition:
        return self.partitions.setdefault((topic, number), Partition(topic.startswith(KEYED_PREFIX)))

    def partition_numbers(self, topic: str) -> list[int]:
        return sorted(number for name, number in self.partitions if name == topic) or [0]

    def put(self, topic: str, key: str, value: dict | None) -> None:
        """What operators, trainers and servers write."""
        data = b"" if value is None else json.dumps(value).encode()
        self.partition(topic).add([bytes([len(key)]) + key.encode() + data])

    def forget_history(self, topic: str, number: int = 0) -> None:
        partition = self.partition(topic, number)
        partition.trim(partition.end)

    async def handle(self, request: Request) -> Answer:
        self.calls += 1
        if self.mode == "silent":
            raise Silence
        if self.mode == "reset":
            raise Reset
        if self.mode == "busy":
            return Answer(503)
        if self.slow > 0:
            await asyncio.sleep(self.slow)
        group_call = request.path in ("/v1/log-join", "/v1/log-commit", "/v1/log-leave", "/v1/log-owners")
        rate = self.writes if request.method == "POST" else self.reads
        if not rate.take(0.1 if group_call else 1.0):
            self.refused += 1
            return Answer(429)
        if group_call:
            status, body = self.groups.handle(request, time.monotonic())
            return json_answer(status, body)
        topic, number = request.query.get("topic", ""), int(request.query.get("part", "0"))
        if (topic, number) in self.silent_partitions:
            raise Silence
        partition = self.partition(topic, number)
        if request.path == "/v1/log-append":
            return Answer(403) if topic in FOREIGN_TOPICS else self.append(partition, request)
        if request.path == "/v1/log-read":
            self.short_reads[topic, number] += "wait_ms" not in request.query
            answer = await self.read(partition, request)
            if topic in self.muted_topics:
                while topic in self.muted_topics:
                    await asyncio.sleep(0.01)
                raise Reset
            return answer
        if request.path == "/v1/log-newest":
            return self.newest(partition, request.query.get("after", ""))
        if request.path == "/v1/log-trim":
            partition.trim(int(request.query["before"]))
            return json_answer(200, {})
        return Answer(404)

    def append(self, partition: Partition, request: Request) -> Answer:
        if self.late_appends > 0:
            self.late_appends -= 1
            asyncio.get_running_loop().call_later(self.late_by, self.perform, partition, request)
            raise Silence
        answer = self.perform(partition, request)
        if answer.status == 200 and self.lose_answers > 0:
            self.lose_answers -= 1
            raise Silence
        return answer

    def perform(self, partition: Partition, request: Request) -> Answer:
        query = request.query
        records = split_records(request.body)
        if any(len(record) > RECORD_BYTES for record in records):
            self.oversized += 1
            return Answer(400)
        producer, epoch, sequence = query.get("producer"), int(query.get("epoch", 0)), int(query.get("sequence", 0))
        known = [answer for at_epoch, at_sequence, answer in partition.answers.get(producer, [])
                 if (at_epoch, at_sequence) == (epoch, sequence)]
        if producer is not None and epoch < partition.epochs.get(producer, 0):
            return json_answer(409, {"why": "fenced"})
        if known and records:
            return json_answer(200, known[0])
        if "at" in query and int(query["at"]) != partition.end:
            return json_answer(412, {"end": partition.end})
        if producer is not None:
            newer = epoch > partition.epochs.get(producer, -1)
            expected = partition.sequences.get(producer, 0) + 1
            if records and not newer and producer in partition.sequences and sequence != expected:
                return json_answer(409, {"why": "seq", "sequence": expected})
            partition.epochs[producer] = epoch
            if newer:
                partition.sequences.pop(producer, None)
            if records:
                partition.sequences[producer] = sequence
        answer = {"offset": partition.end, "end": partition.end + len(records)}
        partition.add(records)
        if producer is not None and records:
            remembered = partition.answers.setdefault(producer, [])
            remembered.append((epoch, sequence, answer))
            del remembered[:-REMEMBERED_APPENDS]
        return json_answer(200, answer)

    async def read(self, partition: Partition, request: Request) -> Answer:
        start = int(request.query["from"])
        if start < partition.first:
            return json_answer(410, {"first": partition.first})
        wait = int(request.query.get("wait_ms", "0")) / 1000
        if start >= partition.end and wait > 0:
            try:
                await asyncio.wait_for(partition.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if self.mode != "up":
            raise Silence
        if start < partition.first:
            return json_answer(410, {"first": partition.first})
        body = partition.end.to_bytes(8, "big") + partition.first.to_bytes(8, "big")
        limit = int(request.query.get("max_kb", "1024")) * 1024
        for record in partition.records[start - partition.first:]:
            if len(body) + len(record) > limit:
                break
            body += len(record).to_bytes(4, "big") + record
        return Answer(200, {}, body)

    def newest(self, partition: Partition, after: str) -> Answer:
        keys = sorted(key for key in partition.newest if key > after)
        page = keys[:PAGE_RECORDS]
        items = [{"key": key, "value": base64.b64encode(partition.newest[key][0]).decode(),
                  "offset": partition.newest[key][1]} for key in page]
        return json_answer(200, {"items": items, "has_more": len(keys) > len(page), "end": partition.end})
