"""The main job on stand-ins: trainers' steps, new weights, orders and usage windows, at the size of today.

usage: python3 -m harness.demo [--deployment cwmteg|pantalla-viva] [--kill gateway|dispatcher|controller]

The last line is one JSON object; all its figures are counted by the callers and the stand-ins.
"""

from __future__ import annotations

import argparse
import json
import sys
import time

from harness import http
from harness.cluster import Cluster, eventually
from harness.deployment import DEPLOYMENTS, Deployment

STEPS = 3
GROUPS = 16
SAMPLES_PER_GROUP = 8
MAX_TOKENS = 48
MAX_STALENESS = 3
WEIGHTS_EVERY_MS = 2000
ORDERS = 150
ORDERS_PER_SECOND = 15
KILL_AFTER_SECONDS = 2.0
TIME_LIMIT_SECONDS = 40


def say(text: str) -> None:
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def load_settings(cluster: Cluster, deployment: Deployment) -> dict:
    """What the trainers and order desks do."""
    trainers = [
        {
            "key": deployment.key_of(workspace),
            "service": deployment.engine.name,
            "steps": STEPS,
            "groups": GROUPS,
            "samples_per_group": SAMPLES_PER_GROUP,
            "max_tokens": MAX_TOKENS,
            "max_staleness": MAX_STALENESS,
            "weights_every_ms": WEIGHTS_EVERY_MS if index == 0 else 0,
        }
        for index, workspace in enumerate(deployment.workspaces[:2])
    ]
    orders = [
        {
            "key": deployment.key_of(workspace),
            "path": "/orders",
            "count": ORDERS // 3,
            "per_second": ORDERS_PER_SECOND // 3,
        }
        for workspace in deployment.workspaces[2:5]
    ]
    return {
        "gateways": cluster.gateways(),
        "trainers": trainers,
        "orders": orders,
        "seed": 1,
        "time_limit": f"{TIME_LIMIT_SECONDS}s",
    }


def order_runs(cluster: Cluster, deployment: Deployment) -> dict[str, int]:
    """How often each order ran, over all plain backend servers."""
    runs: dict[str, int] = {}
    for number in range(cluster.pool_counts[deployment.plain.name]):
        for order, count in cluster.stats(f"{deployment.plain.name}-{number}")["orders"].items():
            runs[order] = runs.get(order, 0) + count
    return runs


#: Metric whose sum tells how much a process of a role has done.
WORK_METRIC = {"gateway": "nutmegplank_request_seconds_count", "dispatcher": "nutmegplank_attempts_total"}


def busiest(cluster: Cluster, role: str) -> int:
    """The VM whose process of a role has done most; for controllers the one that holds most leases."""
    if role == "controller":
        leases = cluster.admin("GET", "/admin/v1/state").json()["leases"]
        entries = leases.values() if isinstance(leases, dict) else leases
        holders = [lease["holder"].split("#")[0] for lease in entries if lease["holder"]]
        return int(max(set(holders), key=holders.count).rsplit("-", 1)[1])

    def work(vm: int) -> float:
        page = http.call(cluster.http_endpoint(role, vm), "GET", "/metrics").text
        return sum(float(line.rsplit(" ", 1)[1]) for line in page.splitlines() if line.startswith(WORK_METRIC[role]))

    return max(range(cluster.vms), key=work)


def kill(cluster: Cluster, role: str) -> None:
    """Kills the busiest process of a role."""
    vm = busiest(cluster, role)
    say(f"kill -9 {role}-{vm}")
    cluster.processes[f"{role}-{vm}"].kill()


def run(deployment: Deployment, killed: str | None) -> dict:
    with Cluster(deployment) as cluster:
        say(f"{len(cluster.processes)} processes ready: {cluster.vms} entry VMs in {len(deployment.zones)} zones")
        cluster.apply()
        say("declarations accepted and in force")
        for service in (deployment.engine, deployment.plain):
            cluster.wait_servers(service.name, cluster.counts[service.name])
        say(f"backend servers ordered: {cluster.counts}")
        load = cluster.start("standin-trainer", "load", load_settings(cluster, deployment))
        if killed is not None:
            time.sleep(KILL_AFTER_SECONDS)
            kill(cluster, killed)
        result = load.wait_line(lambda line: "samples_requested" in line, TIME_LIMIT_SECONDS + 10)
        say(f"callers are done: {json.dumps(result)}")
        return judge(cluster, deployment, result)


def judge(cluster: Cluster, deployment: Deployment, counted: dict) -> dict:
    """The verdict, from the counts of callers and stand-ins."""
    runs = order_runs(cluster, deployment)
    confirmed = counted["orders_confirmed"]
    windows = eventually(lambda: len(cluster.stats("usage")["windows"]), 25, what="a reported usage window")
    usage = cluster.stats("usage")
    keys_seen = sum(
        cluster.stats(name).get("keys_seen", 0)
        for name in cluster.processes
        if name.rsplit("-", 1)[0] in cluster.counts
    )
    run_twice = sum(1 for count in runs.values() if count > 1)
    result = {
        "ok": False,
        "deployment": deployment.name,
        "samples_requested": counted["samples_requested"],
        "samples_delivered": counted["samples_delivered"],
        "samples_duplicated": counted["samples_duplicated"],
        "samples_mislabelled": counted["samples_mislabelled"],
        "samples_too_old": counted["samples_too_old"],
        "orders_sent": counted["orders_sent"],
        "orders_confirmed": confirmed,
        "orders_unknown": counted["orders_unknown"],
        "orders_run_twice": run_twice,
        "orders_lost": max(0, confirmed - len(runs)),
        "requests_failed": counted["requests_failed"],
        "keys_seen_by_servers": keys_seen,
        "usage_windows": windows,
        "usage_conflicts": usage["differing"],
        "latency_p50_ms": counted["latency_p50_ms"],
        "latency_p99_ms": counted["latency_p99_ms"],
    }
    zero = ("samples_duplicated", "samples_mislabelled", "samples_too_old", "orders_run_twice", "orders_lost",
            "requests_failed", "keys_seen_by_servers", "usage_conflicts")
    result["ok"] = (
        result["samples_delivered"] == result["samples_requested"] > 0
        and confirmed + result["orders_unknown"] == result["orders_sent"] > 0
        and all(result[name] == 0 for name in zero)
    )
    return result


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="cwmteg")
    parser.add_argument("--kill", choices=("gateway", "dispatcher", "controller"))
    arguments = parser.parse_args()
    result = run(DEPLOYMENTS[arguments.deployment], arguments.kill)
    print(json.dumps(result), flush=True)
    return 0 if result["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
