"""Runs nutmegplank-bench against a deployment, once with the product's policies and once with the plain baselines.

usage: python3 -m harness.bench SCENARIO [--deployment NAME] [--seeds 1,2,3] [--duration 20s]

Prints the bench's last JSON line of each run, labelled "policy" or "baseline".
"""

from __future__ import annotations

import argparse
import json
import subprocess

from harness.cluster import Cluster
from harness.deployment import DEPLOYMENTS
from harness.process import BIN

BASELINE = {
    "dispatcher": {"policy": {"queue": "fifo", "limit": "static", "placement": "least_connections"}},
    "gateway": {"policy": {"hedging": False, "shards": "round_robin"}},
}
RUN_SECONDS = 150


def bench_settings(cluster: Cluster, scenario: str, label: str, seed: int, duration: str) -> dict:
    deployment = cluster.deployment
    servers = cluster.server_pool()

    def targets(service: str) -> list[str]:
        return [cluster.server_target(server["id"]) for server in servers if server["service"] == service]

    return {
        "gateways": cluster.gateways(),
        "scenario": scenario,
        "label": label,
        "seed": seed,
        "duration": duration,
        "engine_service": deployment.engine.name,
        "plain_service": deployment.plain.name,
        "workspaces": [
            {"name": name, "key": deployment.key_of(name), "weight": weight}
            for name, weight in zip(deployment.workspaces, deployment.weights)
        ],
        "zone": deployment.zones[0],
        "controls": {
            "log": cluster.standin("log"),
            "cloud": cluster.standin("cloud"),
            "usage": cluster.standin("usage"),
            "engines": targets(deployment.engine.name),
            "plains": targets(deployment.plain.name),
        },
        "processes": [
            {"name": name, "pid": process.popen.pid}
            for name, process in cluster.processes.items()
            if process.program.startswith("nutmegplank-")
        ],
    }


def run(deployment, scenario: str, label: str, seed: int, duration: str) -> str:
    roles = BASELINE if label == "baseline" else {}
    with Cluster(deployment, role_settings=roles) as cluster:
        cluster.apply()
        for service, count in cluster.counts.items():
            cluster.wait_servers(service, count)
        path = cluster.folder / "bench.json"
        path.write_text(json.dumps(bench_settings(cluster, scenario, label, seed, duration)))
        done = subprocess.run([str(BIN / "nutmegplank-bench"), f"--settings={path}"], capture_output=True, text=True,
                              timeout=RUN_SECONDS, check=False)
        lines = [line for line in done.stdout.splitlines() if line.startswith("{")]
        return lines[-1] if lines else f"no result, exit code {done.returncode}: {done.stderr[-500:]}"


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("scenario")
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="cwmteg")
    parser.add_argument("--seeds", default="1,2,3,4,5")
    parser.add_argument("--duration", default="20s")
    arguments = parser.parse_args()
    for seed in arguments.seeds.split(","):
        for label in ("baseline", "policy"):
            deployment = DEPLOYMENTS[arguments.deployment]
            print(run(deployment, arguments.scenario, label, int(seed), arguments.duration), flush=True)


if __name__ == "__main__":
    main()
