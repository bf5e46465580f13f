"""A model worker spoils one event of one item: the bytes of its data are no text."""

import json
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from harness import BOUNDS, MODEL, TROUBLE, Deployment, Record, run_case  # noqa: E402
from platformworld.servers import EngineBackend  # noqa: E402
from platformworld.texts import EventData  # noqa: E402

ITEMS = 50
BATCH = "3d2f61aa90c7be14"
#: Of 50 items one is spoiled: x = 0.02 as in the site's trouble garble.
SPOILED_ITEM, SPOILED_EVENT = "item7", 3
SPOILED_BYTES = bytes(range(0x80, 0x98))
READ_SECONDS = 8.0


class GarblingEngine(EngineBackend):
    """Spoils the data of one event of one run, once."""

    spoils = 0

    async def stream(self, item, start):
        async for event in super().stream(item, start):
            data = f"data: {EventData(item, SPOILED_EVENT, self.software, self.version)}".encode()
            if GarblingEngine.spoils > 0 and item == SPOILED_ITEM and data in event:
                GarblingEngine.spoils -= 1
                event = event.replace(data, b"data: " + SPOILED_BYTES)
            yield event


class World(Deployment):
    def before_start(self) -> None:
        super().before_start()
        GarblingEngine.spoils = 1 if TROUBLE else 0
        for number in range(2):
            engine = GarblingEngine(self.loop, self.store, "quote", f"i-g{number}", self.ZONES[number], MODEL)
            self.engines.append(engine)
            engine.announce()


def read_all(record: Record, node) -> str:
    """Reads the batch from the start, as a client does. Returns what is wrong with it, or nothing."""
    results, until = {}, time.monotonic() + READ_SECONDS
    while len(results) < ITEMS:
        after = len(results)
        status, body, _ = node.call("GET", f"/v1/lots/{BATCH}?after={after}", headers={"X-Wait-Ms": "1000"})
        try:
            page = json.loads(body.decode("utf-8")) if status == 200 else {"results": []}
        except ValueError as error:
            if time.monotonic() < until:
                time.sleep(0.5)
                continue
            record(f"{node.name}: GET /v1/lots/{BATCH}?after={after} -> {status}, {len(body)} bytes that are no JSON: "
                   f"{error}; the bytes there: {body[error.start - 20:error.start + 10]!r}")
            return f"{ITEMS - after} of {ITEMS} results cannot be read"
        for result in page["results"]:
            results[result["id"]] = result
        if time.monotonic() > until:
            return f"only {len(results)} of {ITEMS} results are there"
    whole = {item: "\n".join(str(EventData(item, number, "1.0", 1)) for number in range(1, 7))
             for item in (f"item{number}" for number in range(ITEMS))}
    wrong = [item for item, text in whole.items()
             if results[item]["state"] == "completed" and results[item]["text"] != text]
    record(f"{node.name}: {len(results)} results read; not the item's output: {wrong}")
    return f"the text of {wrong} is not the item's output" if wrong else ""


def play(record: Record):
    world = World(record, nodes=3, engines=0, plains=1)
    try:
        record(f"{len(world.nodes)} nodes ready, lease at {world.holder().name}")
        time.sleep(2)
        status = world.submit(world.nodes[0], BATCH, ITEMS)
        record(f"trainer -> {world.nodes[0].name}: POST /steps/{BATCH}, {ITEMS} items -> {status}")
        if status != 202:
            raise RuntimeError("the batch was not accepted")
        problems = {node.name: read_all(record, node) for node in world.nodes}
        runs = sum(len(engine.requests) for engine in world.engines)
        record(f"runs of its items at engines: {runs}; events spoiled: {int(TROUBLE) - GarblingEngine.spoils}")
        if TROUBLE and GarblingEngine.spoils:
            raise RuntimeError("nothing was spoiled")
        found = {name: problem for name, problem in problems.items() if problem}
        return f"LOST: {found}" if found else None
    finally:
        world.close()


run_case(str(HERE), play)
