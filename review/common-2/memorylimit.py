"""The platform's limit on the memory of a process: one that exceeds it is killed, and started again a little later."""

from __future__ import annotations

import collections
import threading
import time

RESTART_SECONDS = 2.0
#: RULES, Fault: ends without a disturbance, on so many machines at least.
ENDS_OF_A_FAULT, MACHINES_OF_A_FAULT = 3, 2


def anonymous_mb(pid: int) -> float:
    """What a process holds beside its program's files, in units of 2^20 bytes; the smallest figure that could count."""
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("RssAnon:")) / 1024
    except (OSError, StopIteration):
        return 0.0


class MemoryLimit(threading.Thread):
    def __init__(self, world, memory_mb: float, record) -> None:
        super().__init__(daemon=True)
        self.world, self.memory_mb, self.log, self.over = world, memory_mb, record, False
        self.ends: collections.Counter = collections.Counter()
        self.peak: collections.Counter = collections.Counter()
        self.start_at: dict[str, float] = {}

    def run(self) -> None:
        while not self.over:
            for node in self.world.nodes:
                self.look_at(node)
            time.sleep(0.01)

    def look_at(self, node) -> None:
        if not node.running():
            if time.monotonic() >= self.start_at.get(node.name, 0):
                node.start()
            return
        used = anonymous_mb(node.popen.pid)
        self.peak[node.name] = max(self.peak[node.name], used)
        if used <= self.memory_mb:
            return
        node.kill()
        self.ends[node.name] += 1
        self.start_at[node.name] = time.monotonic() + RESTART_SECONDS
        self.log.add(f"{node.name} exceeded its {self.memory_mb} MB with {used:.1f} MB and was killed")

    def stop(self) -> None:
        self.over = True
        self.join()
        self.log.add("most memory: " + ", ".join(f"{name} {peak:.1f} MB" for name, peak in sorted(self.peak.items())))

    def broken(self) -> list[str]:
        """What breaks the rule."""
        ended = {name: ends for name, ends in sorted(self.ends.items()) if ends >= ENDS_OF_A_FAULT}
        if len(ended) < MACHINES_OF_A_FAULT:
            return []
        return [f"Fault: with no disturbance there, processes ended over their memory {ends} times on {name}"
                for name, ends in ended.items()]
