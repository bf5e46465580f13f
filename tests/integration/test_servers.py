"""Backend servers: cold starts, zones out, leaving servers, crashes by one request, new weights."""

import time
import unittest

from harness.case import LEAVING_BOUND, WEIGHTS_BOUND, ZONE_BOUND, ClusterCase
from harness.cluster import eventually

CRASH_PROMPT = "please CRASH now"


class Servers(ClusterCase):
    options = {"vms": 3, "engines": 6, "plains": 3}

    def options_of(self, method):
        if method == "test_cold_servers_get_no_more_than_they_bear":
            return {"cold_ms": 3000}
        return {}

    def burst(self, count, act):
        calls = [self.in_background(lambda index=index: act(index)) for index in range(count)]
        return [call.result() for call in calls]

    def test_cold_servers_get_no_more_than_they_bear(self):
        limit = self.deployment.engine.cold_limit
        load = [self.in_background(lambda caller=caller: self.call_for(8, caller)) for caller in range(40)]
        time.sleep(2)
        for number in range(self.cluster.pool_counts[self.deployment.engine.name]):
            self.cluster.control(f"{self.deployment.engine.name}-{number}", {"restart": True})
        for caller in load:
            caller.result()
        for stats in self.engine_stats():
            self.assertLessEqual(stats["max_running_cold"], limit)
            self.assertEqual(stats["restarts"], 1, "restarted by the test once and by overload never")

    def call_for(self, seconds, caller):
        """Requests one after the other for some seconds; refusals are part of overload."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.complete(f"cold-{caller}-{time.monotonic_ns()}", vm=caller % 3, max_tokens=100)

    def test_zone_out_gets_no_new_work_and_comes_back(self):
        zone = self.deployment.zones[0]
        # The platform takes no orders, so the zone's servers stay and only routing can spare them.
        self.cluster.control("cloud", {"outage_ms": 60_000})
        self.cluster.ctl("zone", "out", zone, "--why=test")
        started = time.monotonic()
        gone = {self.cluster.http_endpoint("gateway", vm) for vm in range(self.cluster.vms)
                if self.deployment.zone_of_vm(vm) == zone}
        eventually(lambda: not gone & set(self.addresses(1)), ZONE_BOUND, what="addresses without the zone")
        time.sleep(max(0.0, ZONE_BOUND - (time.monotonic() - started)))
        before = self.requests_in(zone)
        self.burst(30, lambda index: self.complete(f"out-{index}", vm=1 + index % 2))
        self.assertEqual(self.requests_in(zone), before)
        self.cluster.control("cloud", {"outage_ms": 0})
        self.cluster.ctl("zone", "back", zone, "--why=test")
        eventually(lambda: gone <= set(self.addresses(1)), ZONE_BOUND + 5, what="addresses with the zone")

    def addresses(self, vm):
        answer = self.cluster.call(vm, "GET", "/v1/address").json()
        return [entry["address"] for entry in answer["addresses"]]

    def requests_in(self, zone):
        """Requests that engines of a zone have seen."""
        number = self.deployment.zones.index(zone)
        return sum(len(stats["requests"]) for index, stats in enumerate(self.engine_stats())
                   if index % len(self.deployment.zones) == number)

    def test_leaving_server_gets_no_new_work(self):
        server = f"{self.deployment.engine.name}-1"
        self.cluster.control("cloud", {"leave": [server]})
        time.sleep(LEAVING_BOUND)
        before = len(self.cluster.stats(server)["requests"])
        self.burst(30, lambda index: self.complete(f"leaving-{index}", vm=index % 3))
        self.assertEqual(len(self.cluster.stats(server)["requests"]), before)

    def test_request_that_crashes_servers_is_stopped(self):
        answers = []
        for attempt in range(12):
            answers.append(self.complete(CRASH_PROMPT, vm=attempt % 3, timeout=30))
            time.sleep(0.3)
        self.assertLessEqual(sum(stats["restarts"] for stats in self.engine_stats()), 2)
        self.assertTrue(all(answer.status != 200 for answer in answers))
        self.assertEqual(answers[-1].json()["error"]["code"], "quarantined", answers[-1].text)
        self.assertEqual(self.complete("innocent").status, 200)

    def test_new_weights_are_everywhere_in_time(self):
        for version in (2, 3, 4):
            body = {"model": self.deployment.engine.name, "version": version, "source": f"weights-{version}"}
            answer = self.cluster.call(version % 3, "POST", "/v1/weights", body, self.key)
            self.assertIn(answer.status, (200, 201, 202), answer.text)
            eventually(lambda: all(stats["weight_version"] == version for stats in self.engine_stats()),
                       WEIGHTS_BOUND, what=f"weights {version} on all engines")

    def test_samples_stay_true_and_fresh_while_weights_change(self):
        load = self.start_load(orders=[], trainers=[
            self.trainer(steps=3, max_staleness=1, weights_every_ms=700, max_tokens=64)])
        counted = self.finish_load(load)
        self.assert_samples_whole(counted)

    def test_server_that_mislabels_is_noticed(self):
        self.cluster.control(f"{self.deployment.engine.name}-0", {"mislabel": True})
        load = self.start_load(orders=[], trainers=[self.trainer(weights_every_ms=1000)])
        counted = self.finish_load(load)
        self.assert_samples_whole(counted)

    def test_cheap_servers_reclaimed_at_once_lose_nothing(self):
        load = self.start_load(trainers=[self.trainer(steps=3, max_tokens=64)])
        time.sleep(1.5)
        self.cluster.control("cloud", {"reclaim_zone": self.deployment.zones[1], "notice_ms": 0})
        counted = self.finish_load(load)
        self.assert_samples_whole(counted)
        self.assert_orders_once(counted)

    def test_killed_servers_lose_nothing(self):
        load = self.start_load(trainers=[self.trainer(steps=3, max_tokens=64)])
        time.sleep(1.5)
        for number in (0, 1):
            self.cluster.processes[f"{self.deployment.engine.name}-{number}"].kill()
        counted = self.finish_load(load)
        self.assert_samples_whole(counted)
        self.assert_orders_once(counted)


if __name__ == "__main__":
    unittest.main()
