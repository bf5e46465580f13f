"""Stand-ins of backend servers: a plain service and a model engine, as the platform's protocol describes them."""

from __future__ import annotations

import asyncio
import collections
import json
import threading
import time

from platformworld.httpd import Answer, Loop, Request, Reset, Server, Silence
from platformworld.leaving import LeavingHistory
from platformworld.limits import LimitHistory
from platformworld.texts import EventData


async def bytes_without_end():
    while True:
        yield b"x" * 65536


class Backend:
    """What all backend servers have in common: an id, an incarnation, and their record in the store. `limit_to` makes
    one name a request limit in all its answers; what it then gets is in `limits`. One that is `leaving` says so in all
    its answers, whatever its record says."""

    def __init__(self, loop: Loop, store, service: str, name: str, zone: str) -> None:
        self.store, self.service, self.name, self.zone = store, service, name, zone
        self.label = name  #: Of the place; a new process there may have another id.
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.requests: list[dict] = []
        self.limits = LimitHistory()
        self.leaving = False
        self.leave_history = LeavingHistory()
        self.software = "1.0"  #: Its software version.
        self.up = True
        self.dark = False  #: Without power: it says nothing, and its connections stay open.
        self.loop = loop
        self.server = Server(loop, "127.0.0.1", 0, self.handle).start()
        #: Where others reach it, when something stands between.
        self.address = self.server.endpoint

    def record(self) -> dict:
        return {"service": self.service, "address": self.address, "zone": self.zone, "slots": 8,
                "state": self.state, "cold_remaining_ms": 0, "sequence": 1, "born": self.born,
                "version": self.software}

    def announce(self) -> None:
        self.store.put("keyed.servers", self.name, self.record())

    def leave(self) -> None:
        self.store.put("keyed.servers", self.name, None)

    def drain(self) -> None:
        self.state, self.leaving = "draining", True
        self.announce()

    def stop(self) -> None:
        self.up = False
        self.server.stop()

    def go_dark(self) -> None:
        """Loses power: nobody is told, and what it ran is lost."""
        self.dark = True
        self.born, self.leaving = int(time.time() * 1000), False

    def come_back(self) -> None:
        self.dark = False
        self.announce()

    def restart(self) -> None:
        """Comes back at the same address and knows nothing of before."""
        self.born, self.up = int(time.time() * 1000), True
        self.leaving, self.state = False, "ready"
        self.server = Server(self.loop, self.server.host, self.server.port, self.handle).start()
        self.announce()

    def stamp(self, request: Request) -> dict:
        return {"X-Request-Id": request.headers.get("x-request-id", ""), "X-Server-Stamp": f"{self.name}.1"}

    def limit_to(self, per_second: float | None) -> None:
        self.limits.change(per_second, time.monotonic())

    async def handle(self, request: Request) -> Answer:
        if self.dark:
            raise Silence
        answer = await self.answer(request)
        if self.leaving:
            answer.headers["Server-Leaving"] = "1"
            self.leave_history.said[request.headers.get("x-request-id", "")] = (self.name, self.born)
        return answer

    async def answer(self, request: Request) -> Answer:
        expected = request.headers.get("x-expect-instance")
        if expected is not None and expected != self.name:
            return Answer(421, {"X-Not-Executed": "1"})
        request_id = request.headers.get("x-request-id", "")
        self.limits.note_arrival(time.monotonic(), request_id)
        self.leave_history.arrivals.append((time.monotonic(), request_id, (self.name, self.born)))
        answer = await self.serve(request)
        if self.limits.current is not None:
            answer.headers["Server-Limit"] = str(self.limits.current)
        return answer


class PlainBackend(Backend):
    """Answers after `work` seconds; `crash_on` names a body that ends the connection, `die_on` one that ends the process
    for `DOWN_SECONDS`, `swell_on` one whose answer has `SWOLLEN_BYTES`."""

    DOWN_SECONDS = 1.5
    SWOLLEN_BYTES = 5 * 1024 * 1024
    work = 0.01
    crash_on: bytes | None = None
    die_on: bytes | None = None
    swell_on: bytes | None = None
    late_copy: float | None = None
    endless = False  #: Its answers have no end.
    answer_bytes: int | None = None  #: Its answers are so large,
    answer_chunked = False  #: and tell no length before;
    break_after: int | None = None  #: so many bytes of them are sent.
    echoes = True  #: Its answers hold the request's body.

    async def serve(self, request: Request) -> Answer:
        self.requests.append({"id": request.headers.get("x-request-id"), "headers": request.headers,
                              "path": request.path})
        await asyncio.sleep(self.work)
        if self.crash_on is not None and request.body == self.crash_on:
            raise Reset
        if self.die_on is not None and request.body == self.die_on:
            await self.die()
        if self.swell_on is not None and request.body == self.swell_on:
            return Answer(200, self.stamp(request), b"x" * self.SWOLLEN_BYTES)
        if self.endless:
            return Answer(200, self.stamp(request), chunks=bytes_without_end())
        if self.answer_bytes is not None:
            return Answer(200, self.stamp(request), chunks=self.large_answer(),
                          length=None if self.answer_chunked else self.answer_bytes)
        return Answer(200, self.stamp(request), b"done:" + (request.body if self.echoes else b""),
                      late_copy=self.late_copy)

    async def large_answer(self):
        wanted = self.answer_bytes if self.break_after is None else self.break_after
        for start in range(0, wanted, 65536):
            yield b"x" * min(65536, wanted - start)
        if self.break_after is not None:
            raise Reset

    async def die(self) -> None:
        """Ends the process, with all requests at work, and starts the next one later."""
        self.up = False
        threading.Timer(self.DOWN_SECONDS, self.restart).start()
        await self.server._stop()
        raise Reset


class ScorerBackend(Backend):
    """Rates texts. Each call gets a stamp of its own; `work` is in seconds. `fail_for` names bodies that always get
    500, `lose_next` counts calls that run and lose their answer, `late_copy` is as of an Answer."""

    endless = False  #: Its answers have no end.

    def __init__(self, loop: Loop, store, service: str, name: str, zone: str) -> None:
        self.work, self.lose_next, self.late_copy = 0.02, 0, None
        self.fail_for: set[bytes] = set()
        self.running = self.most_running = 0
        super().__init__(loop, store, service, name, zone)

    def record(self) -> dict:
        return {**super().record(), "slots": 6}

    async def serve(self, request: Request) -> Answer:
        stamp = f"{self.name}.{len(self.requests)}"
        run = {"id": request.headers.get("x-request-id"), "headers": request.headers, "path": request.path,
               "body": request.body, "at": time.monotonic(), "stamp": stamp, "status": None}
        self.requests.append(run)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            # Like a backend server: work ends at the caller's time limit.
            time_limit = int(request.headers["x-deadline-ms"]) / 1000
            await asyncio.sleep(min(self.work, time_limit))
            if self.work > time_limit:
                return Answer(504, {"X-Request-Id": run["id"], "X-Server-Stamp": stamp})
        finally:
            self.running -= 1
        if self.lose_next > 0:
            self.lose_next -= 1
            raise Reset
        run["status"] = 500 if request.body in self.fail_for else 200
        headers = {"X-Request-Id": run["id"], "X-Server-Stamp": stamp}
        if self.endless:
            return Answer(200, headers, chunks=bytes_without_end())
        return Answer(run["status"], headers, b"rated", late_copy=self.late_copy)


class EngineBackend(Backend):
    """Streams `events` events an item; each names the weight version of the moment."""

    def __init__(self, loop: Loop, store, service: str, name: str, zone: str, model: str) -> None:
        self.model, self.version = model, 1
        self.events, self.pace = 6, 0.02
        self.orders: list[dict] = []
        self.past_orders: list[list[dict]] = []  #: Of earlier incarnations.
        self.fence, self.loading, self.load_time = 0, False, 0.2
        self.fail_next, self.running = 0, 0
        self.crash_next = 0  #: So many runs end with a reset before their next event.
        self.lose_next = 0  #: So many requests get a reset in place of a response.
        self.padding: dict[str, int] = {}  #: Bytes that each event of an item has beside what it says.
        self.endless_item: str | None = None  #: Its answers go on after their last event, without an end.
        self.filler, self.filler_pause = b"x" * 65536, 0.005
        self.garble_next = 0  #: The data of so many events of items is not UTF-8.
        self.last_event_at: dict[str, float] = {}  #: By item.
        self.failures: collections.Counter = collections.Counter()  #: By request.
        self.checks_fences = True
        #: When, under which fencing number and by whom an order came, refused ones too.
        self.holders: list[tuple[float, int, str]] = []
        super().__init__(loop, store, service, name, zone)

    def become(self, name: str, software: str) -> None:
        """Another process takes the place of this one, which has ended."""
        self.name, self.software, self.state = name, software, "ready"
        self.restart()

    def restart(self) -> None:
        self.past_orders.append(self.orders)
        self.orders, self.fence, self.loading = [], 0, False
        super().restart()

    def record(self) -> dict:
        return {**super().record(), "models": [{"name": self.model, "version": self.version, "adapters": []}]}

    async def serve(self, request: Request) -> Answer:
        if request.path == "/v1/report":
            return Answer(200, {}, json.dumps({
                "models": [{"name": self.model, "version": self.version}], "busy": self.loading,
                "sequence": len(self.orders)}).encode())
        if request.path == "/v1/order":
            return await self.order(json.loads(request.body))
        if self.loading:
            return Answer(503, {"X-Not-Executed": "1"})
        if self.fail_next > 0:
            self.fail_next -= 1
            self.failures[request.headers["x-request-id"]] += 1
            return Answer(500, self.stamp(request))
        if self.lose_next > 0:
            self.lose_next -= 1
            raise Reset
        start = int(request.headers.get("last-event-id", "0"))
        self.requests.append({"id": request.headers["x-request-id"], "from": start, "headers": request.headers,
                              "at": time.monotonic()})
        headers = {**self.stamp(request), "Content-Type": "text/event-stream",
                   "X-Weight-Versions": str(self.version)}
        events = self.stream(request.headers["x-request-id"], start)
        is_item = request.path.startswith("/steps/")
        return Answer(200, headers, chunks=self.garbled(events) if is_item else events)

    async def garbled(self, events):
        first = True
        async for event in events:
            if self.garble_next > 0 and not first:
                self.garble_next -= 1
                head, _ = event.split(b"data: ")
                event = head + b"data: " + bytes(range(0x80, 0x98)) + b"\n\n"
            first = False
            yield event

    async def stream(self, item: str, start: int):
        version, incarnation = self.version, self.born
        self.running += 1
        try:
            for number in range(start + 1, self.events + 1):
                await asyncio.sleep(self.pace)
                if self.crash_next > 0:
                    self.crash_next -= 1
                    raise Reset
                while incarnation != self.born:
                    await asyncio.sleep(3600)
                change = f"x-weight-versions: {self.version}\n" if self.version != version else ""
                version = self.version
                self.last_event_at[item] = time.monotonic()
                data = EventData(item, number, self.software, version)
                padding = " " + "x" * self.padding[item] if item in self.padding else ""
                yield f"{change}id: {number}\ndata: {data}{padding}\n\n".encode()
            number = max(start, self.events)
            while item == self.endless_item:
                number += 1
                yield b"id: %d\ndata: %s\n\n" % (number, self.filler)
                await asyncio.sleep(self.filler_pause)
        finally:
            self.running -= 1

    async def order(self, body: dict) -> Answer:
        self.holders.append((time.monotonic(), body["fencing_token"], body["holder"]))
        if self.checks_fences and body["fencing_token"] < self.fence:
            return Answer(412)
        if self.loading or body.get("expected", len(self.orders)) != len(self.orders):
            return Answer(409)
        self.fence = body["fencing_token"]
        if self.version >= body["version"]:
            return Answer(200)
        self.orders.append({**body, "at": time.monotonic()})
        self.loading = True
        asyncio.get_running_loop().call_later(self.load_time, self.loaded, body["version"], self.born)
        return Answer(202)

    def loaded(self, version: int, incarnation: int) -> None:
        if incarnation != self.born:
            return
        self.version, self.loading = version, False
        self.announce()
