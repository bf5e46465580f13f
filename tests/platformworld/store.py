"""Stand-in of the platform's store: partitions with offsets, conditional and fenced appends, newest records by key."""

from __future__ import annotations

import asyncio
import base64
import json

from platformworld.httpd import Answer, Request, Reset, Silence


class Partition:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.first = 0
        self.epochs: dict[str, int] = {}
        self.sequences: dict[str, int] = {}
        self.answers: dict[tuple[str, int, int], dict] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def split_records(body: bytes) -> list[bytes]:
    records = []
    while body:
        size = int.from_bytes(body[:4], "big")
        records.append(body[4:4 + size])
        body = body[4 + size:]
    return records


class Store:
    """`mode` is up, busy, silent or reset; `lose_answers` appends are done and not answered."""

    def __init__(self) -> None:
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.mode = "up"
        self.lose_answers = 0
        self.calls = 0

    def partition(self, topic: str, number: int = 0) -> Partition:
        return self.partitions.setdefault((topic, number), Partition())

    def put(self, topic: str, key: str, value: dict | None) -> None:
        """What operators, trainers and servers write."""
        data = b"" if value is None else json.dumps(value).encode()
        partition = self.partition(topic)
        partition.records.append(bytes([len(key)]) + key.encode() + data)
        partition.wake()

    async def handle(self, request: Request) -> Answer:
        self.calls += 1
        if self.mode == "silent":
            raise Silence
        if self.mode == "reset":
            raise Reset
        if self.mode == "busy":
            return Answer(503)
        topic, number = request.query.get("topic", ""), int(request.query.get("part", "0"))
        partition = self.partition(topic, number)
        if request.path == "/v1/log-append":
            return self.append(partition, request)
        if request.path == "/v1/log-read":
            return await self.read(partition, request)
        if request.path == "/v1/log-newest":
            return self.newest(partition)
        return Answer(404)

    def append(self, partition: Partition, request: Request) -> Answer:
        query = request.query
        if "at" in query and int(query["at"]) != partition.end:
            return self.json(412, {"end": partition.end})
        records = split_records(request.body)
        producer, epoch, sequence = query.get("producer"), int(query.get("epoch", 0)), int(query.get("sequence", 0))
        if producer is not None:
            if epoch < partition.epochs.get(producer, 0):
                return self.json(409, {"why": "fenced"})
            known = partition.answers.get((producer, epoch, sequence))
            if known is not None and records:
                return self.json(200, known)
            newer = epoch > partition.epochs.get(producer, -1)
            expected = partition.sequences.get(producer, 0) + 1
            if records and not newer and sequence != expected and partition.sequences.get(producer) is not None:
                return self.json(409, {"why": "seq", "sequence": expected})
            partition.epochs[producer] = epoch
            if newer:
                partition.sequences.pop(producer, None)
            if records:
                partition.sequences[producer] = sequence
        answer = {"offset": partition.end, "end": partition.end + len(records)}
        partition.records += records
        if producer is not None and records:
            partition.answers[(producer, epoch, sequence)] = answer
        partition.wake()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise Silence
        return self.json(200, answer)

    async def read(self, partition: Partition, request: Request) -> Answer:
        start = int(request.query["from"])
        if start < partition.first:
            return self.json(410, {"first": partition.first})
        wait = int(request.query.get("wait_ms", "0")) / 1000
        if start >= partition.end and wait > 0:
            try:
                await asyncio.wait_for(partition.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if self.mode != "up":
            raise Silence
        body = partition.end.to_bytes(8, "big") + partition.first.to_bytes(8, "big")
        limit = int(request.query.get("max_kb", "1024")) * 1024
        for record in partition.records[start - partition.first:]:
            if len(body) + len(record) > limit:
                break
            body += len(record).to_bytes(4, "big") + record
        return Answer(200, {}, body)

    def newest(self, partition: Partition) -> Answer:
        newest: dict[str, dict] = {}
        for index, record in enumerate(partition.records):
            key = record[1:1 + record[0]].decode()
            value = record[1 + record[0]:]
            newest.pop(key, None)
            if value:
                newest[key] = {"key": key, "value": base64.b64encode(value).decode(),
                               "offset": partition.first + index}
        return self.json(200, {"items": list(newest.values()), "has_more": False, "end": partition.end})

    @staticmethod
    def json(status: int, body: dict) -> Answer:
        return Answer(status, {"Content-Type": "application/json"}, json.dumps(body).encode())
