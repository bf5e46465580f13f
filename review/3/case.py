"""The end of an evacuation falls into a gap of the operator's history."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

from harness import BOUNDS, MODEL, TROUBLE, Deployment, Record, eventually, run_case  # noqa: E402
from platformworld.httpd import Reset  # noqa: E402
from platformworld.servers import EngineBackend  # noqa: E402
from platformworld.store import Store  # noqa: E402

ITEMS = 24
BATCH = "5b07d8e2c14da6f3"
ZONE = "cardiff-a"
#: An item's run lasts EVENTS * PACE = 2 s.
EVENTS, PACE = 20, 0.1
EVACUATED_SECONDS = 1.5
#: Watches of the store hear nothing for this long, as in the site's trouble platform_compact (for_s = 1.0).
MUTED_SECONDS = 1.0
#: An item that is at no worker for this long in steady state is LOST, if others of its step had begun.
IDLE_SECONDS = 5.0
STEP_SECONDS = 12.0


class ForgetfulStore(Store):
    """While `muted`, reads of the operator's records get no answer; then they are cut and the history is gone."""

    def __init__(self) -> None:
        super().__init__()
        self.muted = False

    async def read(self, partition, request):
        answer = await super().read(partition, request)
        if request.query.get("topic") == "keyed.op" and self.muted:
            while self.muted:
                await asyncio.sleep(0.01)
            raise Reset
        return answer


class World(Deployment):
    """All model workers stand in one zone."""

    ZONES = [ZONE]

    def before_start(self) -> None:
        super().before_start()
        # The same partitions and calls behind a store that can forget.
        forgetful = ForgetfulStore()
        forgetful.partitions, forgetful.groups = self.store.partitions, self.store.groups
        forgetful.slow = self.store.slow
        self.store = forgetful
        self.store_server.handle = forgetful.handle
        for server in self.engines + self.plains:
            server.store = forgetful
        for number in range(2):
            engine = EngineBackend(self.loop, self.store, "quote", f"i-m{number}", ZONE, MODEL)
            engine.events, engine.pace = EVENTS, PACE
            self.engines.append(engine)
            engine.announce()


def play(record: Record):
    world = World(record, nodes=3, engines=0, plains=1)
    engines = world.engines
    try:
        record(f"{len(world.nodes)} nodes ready, lease at {world.holder().name}; {len(engines)} model workers in {ZONE}")
        time.sleep(3.5)
        node = world.nodes[0]
        status = world.submit(node, BATCH, ITEMS)
        submitted_at = time.monotonic()
        record(f"trainer -> {node.name}: POST /steps/{BATCH}, {ITEMS} items -> {status}")
        if status != 202:
            raise RuntimeError("the batch was not accepted")
        eventually(lambda: sum(len(engine.requests) for engine in engines) >= 8, 5, "items begin")
        time.sleep(0.5)
        begun = {run["id"] for engine in engines for run in engine.requests}
        record(f"{len(begun)} items of the step have begun")
        world.store.put("keyed.op", f"evacuate/{ZONE}", {})
        record(f"operator: evacuate/{ZONE} acknowledged by the store")
        time.sleep(EVACUATED_SECONDS - MUTED_SECONDS / 2)
        if TROUBLE:
            world.store.muted = True
            record(f"the store's watches of the operator's records hear nothing for {MUTED_SECONDS} s")
        time.sleep(MUTED_SECONDS / 2)
        world.store.put("keyed.op", f"evacuate/{ZONE}", None)
        taken_back_at = time.monotonic()
        record(f"operator: evacuate/{ZONE} is taken back, acknowledged by the store")
        time.sleep(MUTED_SECONDS / 2)
        if TROUBLE:
            world.store.forget_history("keyed.op")
            world.store.muted = False
            record("the store forgets the history of the operator's records and cuts the watches")
        steady_from = time.monotonic() + BOUNDS["contact_ms"] / 1000
        page, idle_since, longest_idle, most_running = {}, None, 0.0, 0
        while time.monotonic() - submitted_at < STEP_SECONDS:
            _, page = world.results_status(node, BATCH)
            now = time.monotonic()
            if page.get("next_token") == ITEMS:
                break
            running = sum(engine.running for engine in engines)
            if now >= steady_from:
                most_running = max(most_running, running)
                idle_since = None if running > 0 else idle_since or now
                longest_idle = max(longest_idle, now - (idle_since or now))
            time.sleep(0.1)
        took = time.monotonic() - submitted_at
        unfinished = ITEMS - page.get("next_token", 0)
        record(f"{took:.1f} s after the 202: {unfinished} of {ITEMS} items have no result; in steady state no item of the "
               f"step was at any worker for {longest_idle:.1f} s at a stretch; most at work then: {most_running} of 16")
        for each in world.nodes:
            status, _, _ = each.call("GET", "/v1/ready", port="readiness")
            record(f"{each.name}: ready -> {status}")
        if unfinished and longest_idle >= IDLE_SECONDS and most_running < 8:
            return (f"LOST: {unfinished} items were at no worker for {longest_idle:.1f} s of steady state, {len(begun)} of "
                    f"the step had begun, the workers were under half full, and no version was named; the evacuation was "
                    f"taken back {time.monotonic() - taken_back_at:.1f} s ago")
        if unfinished:
            raise RuntimeError("items are left for another reason")
        return None
    finally:
        world.close()


run_case(str(HERE), play)
