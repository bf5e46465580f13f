"""Two items that are larger than an engine's memory keep two engines of three from all other items: each time such an
engine is free it gets one of them, rejects it as if it were full, and counts as full."""

import pathlib
import statistics
import threading
import time

from platformworld.httpd import Answer

from deployment import KEY, TROUBLE, Deployment, play, read_all, rollout_item, submission, submit

GUEST_KEY = "key-two"
ENGINES, SLOTS = 3, 8
#: Of an engine; "kv_cache_tokens" in the configuration, and what the engines go by.
MEMORY_TOKENS = 40_000
LARGE_PROMPT, SMALL_PROMPT, OUTPUT = 59_800, 250, 200
#: One fewer than there are engines; with one for each engine no other item is begun at all.
GUEST_ITEMS = ENGINES - 1
GROUPS, GROUP_SIZE, STEP_SECONDS, UNTOUCHED_SECONDS = 50, 8, 12, 5
PACE = 0.05  #: Seconds an event.


class Shared(Deployment):
    """Two tenants, each with a trainer. The engines do as PROTOCOL.md says: "A request that is larger than a worker's
    memory is rejected as if it were full.\""""

    def configuration(self) -> dict:
        return {**super().configuration(), "tenants": [{"name": "amend", "api_keys": [KEY]},
                                                       {"name": "guest", "api_keys": [GUEST_KEY]}]}

    def prepare(self) -> None:
        self.rejected = 0
        for engine in self.engines:
            engine.pace, engine.serve = PACE, self.serve_at(engine.serve)

    def serve_at(self, serve_sound):
        async def serve(request) -> Answer:
            usage = request.headers.get("x-token-usage")
            if usage is not None and sum(int(count) for count in usage.split(",")) > MEMORY_TOKENS:
                self.rejected += 1
                return Answer(503, {"X-Request-Id": request.headers["x-request-id"], "X-Not-Executed": "1"})
            return await serve_sound(request)
        return serve


class Watch:
    """How many runs the engines have at a time."""

    def __init__(self, engines) -> None:
        self.samples: list[tuple[float, int]] = []
        threading.Thread(target=self.loop, args=(engines,), daemon=True).start()

    def loop(self, engines) -> None:
        while True:
            self.samples.append((time.monotonic(), sum(engine.running for engine in engines)))
            time.sleep(0.05)

    def mean(self, start: float, end: float) -> float:
        return statistics.mean(running for at, running in self.samples if start <= at <= end)


def play_step(world: Shared, watch: Watch, record, step: int) -> bool:
    """Whether no item of the step was left lying as LOST forbids."""
    batch = f"step{step}"
    items = [rollout_item(f"s{step}i{number}", f"s{step}g{number // GROUP_SIZE}", b"prompt" * 100)
             for number in range(GROUPS * GROUP_SIZE)]
    began = time.monotonic()
    status = submit(world.nodes[step % 3], batch, submission(items, GROUPS, step))
    record.note(f"trainer of amend sends {batch} with {len(items)} items: {status}")
    if status != 202:
        raise RuntimeError(f"{batch} was not accepted")
    while time.monotonic() < began + STEP_SECONDS:
        if len(read_all(world.nodes, batch)) == len(items):
            record.note(f"{batch} is whole after {time.monotonic() - began:.1f} s")
            break
        time.sleep(0.5)
    ended = time.monotonic()
    results = read_all(world.nodes, batch)
    runs = {run["id"] for engine in world.engines for run in engine.requests}
    names = [item["id"] for item in items]
    begun = [name for name in names if name in runs]
    # At no server for the last 5 s: never run at all.
    untouched = [name for name in names if name not in runs]
    in_use = watch.mean(ended - UNTOUCHED_SECONDS, ended)
    record.note(f"{batch}: {len(results)} items listed, {len(begun)} begun, {len(untouched)} never at a server; in its "
                f"last {UNTOUCHED_SECONDS} s {in_use:.1f} of {ENGINES * SLOTS} slots were in use on average")
    world.nodes[0].call("DELETE", f"/v1/lots/{batch}")
    lost = ended - began >= STEP_SECONDS and untouched and begun and in_use < ENGINES * SLOTS / 2
    if lost:
        record.note(f"at no server: {' '.join(untouched)}")
        record.note(f"LOST: {batch} ran out of time; {len(untouched)} of its items were at no server")
    return not lost


def case(record) -> bool:
    world = Shared(nodes=3, engines=ENGINES)
    watch = Watch(world.engines)
    held = play_step(world, watch, record, 0)
    prompt = LARGE_PROMPT if TROUBLE else SMALL_PROMPT
    guest = [rollout_item(f"guest{number}", f"guest{number}", b"prompt") for number in range(GUEST_ITEMS)]
    for item in guest:
        item["headers"]["X-Token-Usage"], item["tokens"] = f"{prompt},{OUTPUT}", prompt + OUTPUT
    status = submit(world.nodes[1], "guest", submission(guest, len(guest)), key=GUEST_KEY)
    record.note(f"trainer of guest sends {len(guest)} items of {prompt + OUTPUT} tokens: {status}")
    time.sleep(2)
    held = play_step(world, watch, record, 1) and held
    record.note(f"the engines rejected items of guest {world.rejected} times")
    record.note(f"guest ends its batch: {world.nodes[1].call('DELETE', '/v1/lots/guest', key=GUEST_KEY)[0]}")
    time.sleep(1)
    play_step(world, watch, record, 2)
    world.close()
    return held


play(str(pathlib.Path(__file__).parent), case)
