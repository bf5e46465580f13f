"""One process in charge: orders and usage windows while lease holders freeze, die and answers get lost."""

import time
import unittest

from harness.case import ClusterCase
from harness.cluster import eventually

TAKEOVERS = 200
LEASE_TERM = "300ms"
FROZEN_SECONDS = 0.8


class Charge(ClusterCase):
    options = {"vms": 3, "engines": 3, "plains": 3,
               "role_settings": {"controller": {"lease_term": LEASE_TERM, "usage_window": "1s", "list_lag": "5s"}}}

    def leases(self):
        """Scope -> controller number, as the first controller that answers sees it."""
        for vm in range(self.cluster.vms):
            try:
                state = self.cluster.admin("GET", "/admin/v1/state", vm=vm).json()
            except (OSError, ValueError):
                continue
            leases = state["leases"]
            entries = leases.values() if isinstance(leases, dict) else leases
            return {lease["scope"]: int(lease["holder"].split("#")[0].rsplit("-", 1)[1])
                    for lease in entries if lease["holder"]}
        return {}

    def test_frozen_holders_never_order_after_takeover(self):
        """The platform checks no fencing numbers; what it gets must be as if it did."""
        self.cluster.control("cloud", {"checks_fencing": False})
        takeovers = 0
        turn = 0
        while takeovers < TAKEOVERS:
            vm = turn % self.cluster.vms
            held = [scope for scope, holder in self.leases().items() if holder == vm]
            turn += 1
            if not held:
                continue
            self.reclaim_one(turn)
            self.cluster.processes[f"controller-{vm}"].freeze()
            time.sleep(FROZEN_SECONDS)
            self.cluster.processes[f"controller-{vm}"].thaw()
            after = self.leases()
            takeovers += sum(1 for scope in held if after.get(scope) not in (None, vm))
        stats = self.cluster.stats("cloud")
        self.assertEqual(stats["stale_orders"], 0)
        for scope, arrivals in stats["scopes"].items():
            numbers = [arrival["fencing_number"] for arrival in arrivals]
            self.assertEqual(numbers, sorted(numbers), scope)
        self.assert_servers_come_back()
        usage = self.cluster.stats("usage")
        self.assertEqual((usage["differing"], usage["stale_reports"]), (0, 0))

    def reclaim_one(self, turn):
        """Takes a server away, so that there is something to order."""
        servers = self.cluster.admin("GET", "/admin/v1/servers", vm=turn % self.cluster.vms).json()
        entries = servers["servers"] if isinstance(servers, dict) else servers
        live = sorted(entry["id"] for entry in entries if entry["state"] == "live")
        if live:
            self.cluster.control("cloud", {"remove": [live[turn % len(live)]]})

    def assert_servers_come_back(self):
        for service, count in self.cluster.counts.items():
            self.cluster.wait_servers(service, count, 30)

    def test_lost_answers_double_no_order(self):
        for turn in range(6):
            self.cluster.control("cloud", {"lose_answers": 2})
            self.cluster.control("log", {"lose_answers": 3})
            self.reclaim_one(turn)
            time.sleep(0.5)
        self.assert_servers_come_back()
        time.sleep(2)
        stats = self.cluster.stats("cloud")
        self.assertLessEqual(stats["most_live"], sum(self.cluster.counts.values()), "more servers than planned")

    def test_log_outage_stops_orders_and_not_service(self):
        self.cluster.control("log", {"outage": True})
        time.sleep(1.5)
        before = len(self.cluster.stats("cloud")["orders"])
        self.reclaim_one(0)
        time.sleep(2)
        self.assertEqual(len(self.cluster.stats("cloud")["orders"]), before)
        self.assertEqual(self.complete("during the outage").status, 200)
        self.cluster.control("log", {"outage": False})
        self.assert_servers_come_back()

    def test_windows_agree_while_holders_die(self):
        served = 0
        for vm in (0, 1, 2):
            for number in range(10):
                answer = self.order(f"usage-{vm}-{number}", vm=(vm + 1) % 3)
                served += 1 if answer.status == 200 else 0
            holder = eventually(lambda: self.leases().get("usage") is not None, 10) and self.leases()["usage"]
            self.cluster.control("usage", {"lose_answers": 1})
            self.cluster.processes[f"controller-{holder}"].kill()
            time.sleep(2)
            self.cluster.start_process("controller", holder).wait_ready()
        expected = sum(self.order_runs().values())

        def reported():
            windows = self.cluster.stats("usage")["windows"]
            return sum(figure["requests"] for window in windows for figure in window["figures"]
                       if figure["service"] == self.deployment.plain.name)

        eventually(lambda: reported() == expected, 20, what=f"{expected} requests in windows, not {reported()}")
        usage = self.cluster.stats("usage")
        self.assertEqual((usage["differing"], usage["stale_reports"]), (0, 0))


if __name__ == "__main__":
    unittest.main()
