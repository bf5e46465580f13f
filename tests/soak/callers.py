"""Callers of the soak: they ask the directory, keep its answer for a while and connect themselves."""

from __future__ import annotations

import base64
import dataclasses
import http.client
import json
import random
import threading
import time

from platformworld.texts import parse_event
from platformworld.world import HOST, KEY, MODEL
from soak.soakworld import SoakWorld

ADDRESSES_KEPT = 2.0
ANSWER_SECONDS = 6.0
#: Planned work may end a connection without an answer only within this of the request's last byte.
LOST_SECONDS = 0.2
SETTLE_SECONDS = 1.0
STEP_SECONDS = 12.0
NOT_RUN = (408, 421, 429, 503)


class Cut(Exception):
    """The connection ended, or said nothing, before a whole answer."""

    def __init__(self, error: Exception, waited: float) -> None:
        super().__init__(repr(error))
        self.waited = waited


class Line:
    """One open connection to an address of the directory's choice, kept for as long as it works."""

    def __init__(self, world: SoakWorld, dice: random.Random) -> None:
        self.world, self.dice = world, dice
        self.addresses: list[str] = []
        self.asked_at = -100.0
        self.connection: http.client.HTTPConnection | None = None
        self.address = ""

    def resolve(self) -> None:
        if time.monotonic() - self.asked_at < ADDRESSES_KEPT:
            return
        for node in self.dice.sample(self.world.nodes, min(3, len(self.world.nodes))):
            try:
                status, body, _ = node.call("GET", f"/v1/resolve?name={HOST}&region=r&zone=a", key=None,
                                            port="directory", timeout=1)
            except (OSError, http.client.HTTPException):
                continue
            if status == 200:
                self.addresses = json.loads(body)["addresses"]
                self.asked_at = time.monotonic()
                return

    def proxied(self, address: str) -> str:
        return next(self.world.front(node) for node in self.world.nodes if address.startswith(node.ip + ":"))

    def open(self) -> None:
        self.resolve()
        if self.connection is not None and self.address in self.addresses:
            return
        self.close()
        if not self.addresses:
            time.sleep(0.1)
            raise Cut(ConnectionError("the directory names nobody"), 0.0)
        self.address = self.dice.choice(self.addresses)
        host, port = self.proxied(self.address).split(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=ANSWER_SECONDS)

    def call(self, method: str, path: str, body: bytes, headers: dict) -> tuple[int, bytes, dict]:
        self.open()
        sent_at = time.monotonic()
        try:
            self.connection.request(method, path, body, {"Host": HOST, "Authorization": f"Bearer {KEY}", **headers})
            sent_at = time.monotonic()
            response = self.connection.getresponse()
            answer = response.status, response.read(), dict(response.headers)
            # http.client would connect to the same address again by itself.
            if self.connection.sock is None:
                self.close()
            return answer
        except (OSError, http.client.HTTPException) as error:
            self.close()
            raise Cut(error, time.monotonic() - sent_at) from error

    def close(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class Caller(threading.Thread):
    def __init__(self, world: SoakWorld, name: str, seed: int) -> None:
        super().__init__(name=name, daemon=True)
        self.world = world
        self.dice = random.Random(f"{seed}/{name}")
        self.line = Line(world, self.dice)
        self.stopping = threading.Event()
        self.violations: list[str] = []
        self.served = 0

    def violate(self, rule: str, what: str) -> None:
        self.violations.append(f"{rule}: {self.name}: {what}")

    def run(self) -> None:
        try:
            while not self.stopping.is_set():
                self.turn()
        except Exception as error:
            self.world.problems.append(f"the soak's caller {self.name} failed: {error!r}")


class OrderCaller(Caller):
    """Plain requests on a kept connection; `path` decides whether they may be repeated."""

    def __init__(self, world: SoakWorld, name: str, seed: int, path: str) -> None:
        super().__init__(world, name, seed)
        self.path = path
        self.sent: set[str] = set()
        self.sent_to: dict[str, str] = {}  #: Address by request.
        self.sent_at: dict[str, float] = {}
        self.told: list[tuple[str, float]] = []  #: Requests whose answer said that its server leaves, and when it came.
        self.not_run: set[str] = set()
        self.cut: dict[str, Cut] = {}
        self.number = 0

    def turn(self) -> None:
        self.number += 1
        request = f"{self.name}-{self.number}"
        self.sent.add(request)
        body = f"mats {request}".encode()
        self.sent_at[request] = time.monotonic()
        try:
            status, answer, headers = self.line.call("POST", f"{self.path}{self.number}", body,
                                                     {"X-Request-Id": request, "X-Deadline-Ms": "1500"})
        except Cut as cut:
            self.cut[request] = cut
            return
        finally:
            self.sent_to[request] = self.line.address
        if headers.get("Server-Leaving") is not None:
            self.told.append((request, time.monotonic()))
        if status == 200:
            self.served += 1
            if answer != b"done:" + body or headers.get("X-Request-Id") != request:
                self.violate("MIXED", f"{request} got {answer[:60]!r} of {headers.get('X-Request-Id')}")
        elif status in NOT_RUN:
            self.not_run.add(request)
            self.line.close()
        elif status in (400, 401, 403, 404):
            self.violate("DENIED", f"{request} got {status}: {answer[:120]!r} from {self.line.address}")
        time.sleep(self.dice.uniform(0.01, 0.08))


class Trainer(Caller):
    """One batch a step: keeps sending it until it is accepted, reads it, ends it, and names the next version."""

    GROUPS, GROUP_SIZE, EVENTS = 6, 3, 8

    def __init__(self, world: SoakWorld, name: str, seed: int) -> None:
        super().__init__(world, name, seed)
        self.step, self.version = 0, 1
        self.accepted: dict[str, dict] = {}
        self.refused: set[str] = set()
        self.unknown: set[str] = set()
        self.ended: dict[str, float] = {}
        self.positions: dict[tuple[str, int], dict] = {}
        self.submitted_items: set[str] = set()

    def items_of(self, batch: str) -> list[str]:
        return [f"{batch}-{number}" for number in range(self.GROUPS * self.GROUP_SIZE)]

    def body(self, batch: str, min_version: int) -> bytes:
        items = [{"id": item, "path": f"/steps/{number}",
                  "headers": {"X-Model": MODEL, "X-Token-Usage": "20,40", "X-Length-Hint": "8"},
                  "body": base64.b64encode(item.encode()).decode(), "tokens": 60,
                  "group": f"g{number // self.GROUP_SIZE}"} for number, item in enumerate(self.items_of(batch))]
        return json.dumps({"step": self.step, "model": MODEL, "min_version": min_version,
                           "group_count": self.GROUPS, "items": items}).encode()

    def turn(self) -> None:
        self.step += 1
        batch = f"{self.name}-s{self.step}"
        min_version = max(1, self.version - 1)
        if not self.submit(batch, min_version):
            return
        until = time.monotonic() + STEP_SECONDS
        while time.monotonic() < until and not self.complete(batch):
            self.read(batch)
            if self.dice.random() < 0.2:
                self.read_body(batch)
            if self.stopping.is_set():
                return
        self.served += self.complete(batch)
        self.end(batch)
        self.version += 1
        self.world.name_version(self.version)

    def submit(self, batch: str, min_version: int) -> bool:
        self.submitted_items.update(self.items_of(batch))
        body = self.body(batch, min_version)
        outcomes = []
        for _ in range(5):
            try:
                status, answer, _ = self.line.call("POST", f"/steps/{batch}", body,
                                                   {"X-Request-Id": batch, "X-Deadline-Ms": "5000"})
            except Cut:
                outcomes.append(None)
                continue
            outcomes.append(status)
            if status == 202:
                self.accepted[batch] = {"at": time.monotonic(), "min_version": min_version}
                return True
            if status not in NOT_RUN and status < 500:
                self.violate("DENIED", f"batch {batch} got {status}: {answer[:120]!r}")
            self.line.close()
            time.sleep(0.2)
        (self.refused if all(status in NOT_RUN for status in outcomes) else self.unknown).add(batch)
        return False

    def complete(self, batch: str) -> bool:
        return all((batch, number) in self.positions for number in range(self.GROUPS * self.GROUP_SIZE))

    def read(self, batch: str) -> None:
        known = sum(1 for name, _ in self.positions if name == batch)
        after = known if self.dice.random() < 0.8 else self.dice.randint(0, known)
        try:
            status, answer, _ = self.line.call("GET", f"/v1/lots/{batch}?after={after}", b"", {"X-Wait-Ms": "300"})
        except Cut:
            return
        if status == 200:
            self.take(batch, after, json.loads(answer))
        elif status in (404, 410):
            self.check_missing(batch, f"its results ({status} from {self.line.address})")
        if status != 200:
            self.line.close()
            time.sleep(0.05)

    def check_missing(self, batch: str, what: str) -> None:
        if time.monotonic() - self.accepted[batch]["at"] > SETTLE_SECONDS + 0.3:
            self.violate("LOST", f"{batch}: {what}")

    def read_body(self, batch: str) -> None:
        listed = {result["id"] for (name, _), result in self.positions.items() if name == batch}
        missing = [item for item in self.items_of(batch) if item not in listed]
        if not missing:
            return
        item = self.dice.choice(missing)
        try:
            status, answer, _ = self.line.call("GET", f"/v1/items/{batch}?id={item}", b"", {})
        except Cut:
            return
        # 404 is right once the item is listed, which this caller may not have read yet.
        if status == 200 and answer != item.encode():
            self.violate("LOST", f"the body of {item} came back as {answer[:60]!r}")

    def take(self, batch: str, after: int, page: dict) -> None:
        if page["total"] != self.GROUPS * self.GROUP_SIZE:
            self.violate("MIXED", f"{batch} has a total of {page['total']}")
        if page["next_token"] != after + len(page["results"]):
            self.violate("MIXED", f"{batch} after {after} has {len(page['results'])} and next {page['next_token']}")
        for number, result in enumerate(page["results"], after):
            known = self.positions.setdefault((batch, number), result)
            if known != result:
                self.violate("TWICE", f"{batch} position {number} held {known['id']}, then {result['id']}")

    def end(self, batch: str) -> None:
        for _ in range(6):
            try:
                status, _, _ = self.line.call("DELETE", f"/v1/lots/{batch}", b"", {})
            except Cut:
                continue
            if status == 200:
                self.ended[batch] = time.monotonic()
                return
            if status in (404, 410):
                self.check_missing(batch, f"its end ({status})")
            self.line.close()
            time.sleep(0.2)


@dataclasses.dataclass
class Talk:
    """A stream of a caller over all its tries."""

    events: list[str] = dataclasses.field(default_factory=list)
    first_request: str = ""
    #: Of each further try: when it began, and whether it brought an event.
    take_ups: list[tuple[float, str, bool]] = dataclasses.field(default_factory=list)


class TalkCaller(Caller):
    """Streams one after the other; one that breaks off is taken up again at any address, up to four times."""

    TRIES = 5

    def __init__(self, world: SoakWorld, name: str, seed: int) -> None:
        super().__init__(world, name, seed)
        self.sent: set[str] = set()
        self.sent_to: dict[str, str] = {}
        self.talks: list[Talk] = []
        self.asked = 0  #: Streams that were asked for at all.

    def turn(self) -> None:
        talk = Talk()
        self.asked += 1
        for number in range(self.TRIES):
            if self.stopping.is_set() or self.try_once(talk, number):
                break
            self.line.close()
            time.sleep(self.dice.uniform(0.05, 0.3))
        if talk.events:
            self.talks.append(talk)
        self.served += len(talk.events) == Trainer.EVENTS
        time.sleep(self.dice.uniform(0.01, 0.1))

    def try_once(self, talk: Talk, number: int) -> bool:
        """Whether the stream is complete, or can't be."""
        request = f"{self.name}-{self.asked}-{number}"
        headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "X-Request-Id": request, "X-Deadline-Ms": "8000"}
        known = len(talk.events)
        if known:
            headers |= {"Last-Event-Id": str(known), "Resumes": talk.first_request}
        began = time.monotonic()
        self.sent.add(request)
        try:
            self.line.open()
            self.sent_to[request] = self.line.address
            self.line.connection.request("POST", "/talks/1", f"prompt {self.name}-{self.asked}".encode(), headers)
            response = self.line.connection.getresponse()
            while response.status == 200 and (line := response.readline().decode()):
                if line.startswith("data: "):
                    if not talk.events:
                        talk.first_request = request
                    talk.events.append(line.removeprefix("data: ").strip())
            response.read()
        except (Cut, OSError, http.client.HTTPException):
            self.line.close()
        if known:
            talk.take_ups.append((began, parse_event(talk.events[0]).software, len(talk.events) > known))
        return len(talk.events) >= Trainer.EVENTS
