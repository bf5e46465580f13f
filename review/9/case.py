"""A batch submission on a rollout route that a new configuration has made public."""

from __future__ import annotations

import time

from deployment import BOUNDS, KEY, TROUBLE, Deployment, main

MACHINES, ITEMS, BATCH = 3, 8, "b3d9"
TENANT, WATCH_SECONDS = "amend", 10


def play(record) -> list[str]:
    world = Deployment(nodes=MACHINES, engines=2)
    try:
        def make_public(newest: dict) -> None:
            for route in newest["routes"]:
                if route["kind"] == "rollout":
                    route["public"] = TROUBLE

        world.change_configuration(make_public)
        time.sleep(BOUNDS["config_apply_ms"] / 1000 + 1)
        status = world.nodes[0].call("POST", f"/steps/{BATCH}", world.batch(ITEMS), key=KEY,
                                     headers={"X-Request-Id": BATCH, "X-Deadline-Ms": "12000"})[0]
        accepted = time.monotonic()
        record.add(f"batch {BATCH} of {ITEMS} items, with a key of the tenant {TENANT}: {status}")
        if status != 202:
            raise AssertionError("the batch was not accepted")
        time.sleep(BOUNDS["settle_ms"] / 1000 + 0.5)
        statuses: dict[str, list[int]] = {node.name: [] for node in world.nodes}
        results = 0
        while time.monotonic() < accepted + WATCH_SECONDS:
            for node in world.nodes:
                status, body, _ = node.call("GET", f"/v1/lots/{BATCH}?after=0", key=KEY, headers={"X-Wait-Ms": "200"})
                statuses[node.name].append(status)
                results = max(results, body.count(b'"completed"'))
            time.sleep(1)
        for name, answers in statuses.items():
            record.add(f"reads at {name}, with the same key: {answers}")
        runs = [run for engine in world.engines for run in engine.requests]
        tenants = sorted({run["headers"].get("x-tenant", "(none)") for run in runs})
        record.add(f"runs of items at workers: {len(runs)}, X-Tenant there: {', '.join(tenants)}; results read: {results}")
        gone = {name: sum(status in (404, 410) for status in answers) for name, answers in statuses.items()}
        if not any(gone.values()):
            return []
        return [f"LOST: machines in touch answered 404 to {sum(gone.values())} of {sum(map(len, statuses.values()))} reads of "
                f"{BATCH} with its tenant's key, 1.5 to {WATCH_SECONDS} s after its 202; {results} of {ITEMS} results were read"]
    finally:
        world.close()


main(__file__, play)
