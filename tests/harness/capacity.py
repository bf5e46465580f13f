"""Slopes of the control cost: an idle deployment at several sizes.

usage: python3 -m harness.capacity [--vms 2,4,8,12,20] [--seconds 10]

For each size: processor time and memory of each role, and all bytes on the loopback interface a VM. Nothing else
may use the loopback interface meanwhile. Prints one JSON line a size; keep them in docs/capacity.jsonl.
"""

from __future__ import annotations

import argparse
import json
import os
import pathlib
import time

from harness.cluster import ROLES, Cluster
from harness.deployment import CWMTEG

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
KILOBYTE = 1024
SETTLE_SECONDS = 6


def processor_seconds(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_megabytes(pid: int) -> float:
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KILOBYTE
    return 0.0


def loopback_bytes() -> int:
    for line in pathlib.Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":", 1)[1].split()[0])
    return 0


def measure(vms: int, seconds: float) -> dict:
    with Cluster(CWMTEG, vms=vms, engines=3, plains=3) as cluster:
        cluster.apply()
        for service, count in cluster.counts.items():
            cluster.wait_servers(service, count)
        time.sleep(SETTLE_SECONDS)
        pids = {role: [cluster.processes[f"{role}-{vm}"].popen.pid for vm in range(vms)] for role in ROLES}
        before = {role: sum(map(processor_seconds, pids[role])) for role in ROLES}
        sent = loopback_bytes()
        time.sleep(seconds)
        spent = {role: sum(map(processor_seconds, pids[role])) - before[role] for role in ROLES}
        sent = loopback_bytes() - sent
        result = {"vms": vms, "processes": vms * len(ROLES), "seconds": seconds}
        for role in ROLES:
            result[f"{role}_core_percent"] = round(100 * spent[role] / vms / seconds, 3)
            result[f"{role}_megabytes"] = round(max(map(resident_megabytes, pids[role])), 1)
        result["vm_core_percent"] = round(100 * sum(spent.values()) / vms / seconds, 3)
        result["vm_kilobytes_per_second"] = round(sent / vms / seconds / KILOBYTE, 2)
        return result


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--vms", default="2,4,8,12,20")
    parser.add_argument("--seconds", type=float, default=10)
    arguments = parser.parse_args()
    for vms in arguments.vms.split(","):
        print(json.dumps(measure(int(vms), arguments.seconds)), flush=True)


if __name__ == "__main__":
    main()
