"""A model worker spoils one event of one item: the bytes of its data are no text."""

import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from harness import MODEL, TROUBLE, Deployment, Record, run_case  # noqa: E402
from platformworld.servers import EngineBackend  # noqa: E402
from platformworld.texts import EventData  # noqa: E402

#: One of three servers spoils one of its answers, of which there are at least 50: within share = 0.35, x = 0.02.
ENGINES, ITEMS, LEAST_ANSWERS = 3, 180, 50
BATCH = "3d2f61aa90c7be14"
SPOILED_EVENT = 3
SPOILED_BYTES = bytes(range(0x80, 0x98))
READ_SECONDS = 8.0


class GarblingEngine(EngineBackend):
    """Spoils the data of one event of one answer, once it has had ten requests, if it is to."""

    garbles = False
    spoiled = ""  #: The item whose answer was spoiled.

    async def stream(self, item, start):
        if self.garbles and not self.spoiled and len(self.requests) >= 10:
            self.spoiled = item
        data = f"data: {EventData(item, SPOILED_EVENT, self.software, self.version)}".encode()
        async for event in super().stream(item, start):
            yield event.replace(data, b"data: " + SPOILED_BYTES) if item == self.spoiled else event


class World(Deployment):
    def before_start(self) -> None:
        super().before_start()
        for number in range(ENGINES):
            engine = GarblingEngine(self.loop, self.store, "quote", f"i-g{number}", self.ZONES[number], MODEL)
            self.engines.append(engine)
            engine.announce()
        self.engines[0].garbles = TROUBLE


def read_all(record: Record, node) -> bool:
    """Reads the batch from the start, as a client does. Whether it can be read; what the spoiled item holds is not asked."""
    read, until, problem = set(), time.monotonic() + READ_SECONDS, ""
    while len(read) < ITEMS and time.monotonic() < until:
        after = len(read)
        status, body, _ = node.call("GET", f"/v1/lots/{BATCH}?after={after}", headers={"X-Wait-Ms": "1000"})
        if status != 200:
            time.sleep(0.5)
            continue
        try:
            page = json.loads(body.decode("utf-8"))
        except ValueError as error:
            problem = f"after={after} -> 200, {len(body)} bytes that are no JSON: {error}"
            time.sleep(0.5)
            continue
        read |= {result["id"] for result in page["results"]}
    record(f"{node.name}: GET /v1/lots/{BATCH}: {len(read)} of {ITEMS} results read; {problem or 'all bodies are JSON'}")
    if len(read) < ITEMS and not problem:
        raise RuntimeError("the results are not there in time: the rule says nothing of that")
    return len(read) == ITEMS


def play(record: Record):
    world = World(record, nodes=3, engines=0, plains=1)
    try:
        record(f"{len(world.nodes)} nodes ready, lease at {world.holder().name}")
        time.sleep(2)
        status = world.submit(world.nodes[0], BATCH, ITEMS)
        record(f"trainer -> {world.nodes[0].name}: POST /steps/{BATCH}, {ITEMS} items -> {status}")
        if status != 202:
            raise RuntimeError("the batch was not accepted")
        unreadable = [node.name for node in world.nodes if not read_all(record, node)]
        garbling = world.engines[0]
        record(f"answers of the servers: {[len(engine.requests) for engine in world.engines]}; spoiled: one event of "
               f"{garbling.spoiled or 'none'}")
        if TROUBLE and (not garbling.spoiled or len(garbling.requests) < LEAST_ANSWERS):
            raise RuntimeError("not one of 50 answers was spoiled")
        return f"LOST: the batch can't be read at {', '.join(unreadable)}" if unreadable else None
    finally:
        world.close()


run_case(str(HERE), play)
