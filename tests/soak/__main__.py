"""Runs seeds of the soak. Usage: python3 -m soak [--seeds 1-50] [--jobs 4] [--seconds 12] [--regressions] [--nodes 4]

Exit code: 0 when every promise was kept. A failed seed keeps its folder with settings and logs.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import pathlib
import shutil
import subprocess
import sys
import time

from soak import plan, promises
from soak.callers import OrderCaller, TalkCaller, Trainer
from soak.soakworld import Injector, SoakWorld

REGRESSIONS = pathlib.Path(__file__).parent / "regressions.json"
QUIET_BEFORE = 1.0
QUIET_AFTER = 1.0
#: Seconds; long enough that faults often meet a request at work.
PLAIN_WORK = 0.04


def play(seed: int, faults: list[plan.Fault], nodes: int) -> dict:
    world = SoakWorld(nodes=nodes, engines=4, plains=2, several_versions=plan.several_versions(seed),
                      peers_check_fences=plan.peers_check_fences(seed))
    for engine in world.engines:
        engine.events, engine.pace = Trainer.EVENTS, 0.06
    for server in world.plains:
        server.work = PLAIN_WORK
    orders = [OrderCaller(world, f"safe{number}", seed, "/orders/") for number in range(3)]
    orders += [OrderCaller(world, f"once{number}", seed, "/once/") for number in range(3)]
    trainers = [Trainer(world, "trainer", seed)]
    talks = [TalkCaller(world, f"talk{number}", seed) for number in range(3)]
    try:
        for caller in orders + trainers + talks:
            caller.start()
        time.sleep(QUIET_BEFORE)
        Injector(world, faults).play()
        time.sleep(QUIET_AFTER)
        found = promises.check_recovery(world)
        for caller in orders + trainers + talks:
            caller.stopping.set()
        for caller in orders + trainers + talks:
            caller.join(20)
        for trainer in trainers:
            found += promises.check_open_batches(world, trainer)
            found += promises.check_results(world, trainer)
        for caller in orders:
            found += promises.check_orders(world, caller, plan.planned_only(seed))
        found += promises.check_runs(world, orders + talks, trainers) + promises.check_duties(world)
        found += promises.check_leaving(world, orders)
        found += promises.check_limits(world, orders + talks) + promises.check_talks(world, talks)
        found += [violation for caller in orders + trainers + talks for violation in caller.violations]
        found += world.problems
        found += [f"ENDED: {node.name} ended by itself with {node.popen.returncode}"
                  for node in world.nodes if not node.running()]
    finally:
        world.close()
    return {"seed": seed, "violations": found, "folder": str(world.folder),
            "orders": sum(caller.served for caller in orders), "steps": sum(trainer.served for trainer in trainers),
            "streams": sum(caller.served for caller in talks),
            "take_ups": sum(len(talk.take_ups) for caller in talks for talk in caller.talks),
            "faults": [f"{fault.at}+{fault.seconds} {fault.kind} {fault.variant}".strip() for fault in faults]}


def regressions() -> dict[str, dict]:
    """Schedules that have failed before, fault by fault: a change of the draw leaves them as they were."""
    return {entry["name"]: entry for entry in json.loads(REGRESSIONS.read_text())}


def schedule(name: str, seconds: float) -> tuple[int, list[plan.Fault]]:
    if name.isdigit():
        return int(name), plan.draw(int(name), seconds)
    entry = regressions()[name]
    return entry["seed"], [plan.Fault(**fault) for fault in entry["faults"]]


def play_apart(name: str, options: argparse.Namespace) -> dict:
    """Each schedule in a process of its own."""
    words = [sys.executable, "-m", "soak", "--one", name, "--seconds", str(options.seconds), "--nodes",
             str(options.nodes)]
    done = subprocess.run(words, capture_output=True, text=True, timeout=240, check=False)
    if done.returncode != 0:
        return {"violations": ["the soak itself failed: " + done.stderr[-2000:]], "folder": ""}
    return json.loads(done.stdout.splitlines()[-1])


def names_of(options: argparse.Namespace) -> list[str]:
    if options.regressions:
        return list(regressions())
    first, _, last = options.seeds.partition("-")
    return [str(seed) for seed in range(int(first), int(last or first) + 1)]


def main() -> int:
    parser = argparse.ArgumentParser(prog="soak", description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", default="1-4", help="one seed, or the first and the last")
    parser.add_argument("--jobs", type=int, default=4, help="seeds at a time")
    parser.add_argument("--seconds", type=float, default=12, help="during which faults begin")
    parser.add_argument("--nodes", type=int, default=4, help="machines of the system")
    parser.add_argument("--regressions", action="store_true", help="the seeds that have failed before")
    parser.add_argument("--one", help="plays one seed or regression here and prints its outcome as JSON")
    options = parser.parse_args()
    if options.one is not None:
        seed, faults = schedule(options.one, options.seconds)
        print(json.dumps(play(seed, faults, options.nodes)))
        return 0
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        names = names_of(options)
        for name, outcome in zip(names, pool.map(lambda name: play_apart(name, options), names)):
            violations = outcome["violations"]
            failed += bool(violations)
            print(f"{name}: {'FAILED' if violations else 'kept'}"
                  f" ({outcome.get('orders')} orders, {outcome.get('steps')} steps,"
                  f" {outcome.get('streams')} streams, {outcome.get('take_ups')} taken up)", flush=True)
            if not violations:
                shutil.rmtree(outcome["folder"], ignore_errors=True)
                continue
            print("  faults: " + ", ".join(outcome.get("faults", [])))
            print("  logs: " + outcome["folder"])
            for violation in violations[:12]:
                print("  " + violation, flush=True)
    print(f"{failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
