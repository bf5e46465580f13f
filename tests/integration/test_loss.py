"""Deaths, freezes and cuts in the middle of work: nothing is lost, doubled, cut or crossed."""

import time
import unittest

from harness import http
from harness.case import TAKEOVER_BOUND, ClusterCase
from harness.cluster import eventually
from harness.demo import busiest


class Loss(ClusterCase):
    options = {"vms": 4, "engines": 4, "plains": 3}

    def options_of(self, method):
        engine = self.deployment.engine.name
        if method in ("test_silent_connections_are_replaced", "test_cut_answers_are_made_again"):
            return {"proxied": tuple(f"{engine}-{number}" for number in range(4))}
        if method == "test_answers_lost_after_effect_run_once":
            return {"proxied": tuple(f"{self.deployment.plain.name}-{number}" for number in range(3))}
        return {}

    def load(self, **changes):
        trainers = [self.trainer(steps=3, groups=8, samples_per_group=4, max_tokens=48)]
        return self.start_load(trainers=trainers, **changes)

    def busiest(self, role):
        return busiest(self.cluster, role)

    def kill_during_load(self, role, restart=True):
        load = self.load()
        time.sleep(1.5)
        vm = self.busiest(role)
        self.cluster.processes[f"{role}-{vm}"].kill()
        if restart:
            time.sleep(2)
            self.cluster.start_process(role, vm).wait_ready()
        counted = self.finish_load(load)
        self.assert_samples_whole(counted)
        self.assert_orders_once(counted)

    def test_gateway_killed(self):
        self.kill_during_load("gateway")

    def test_dispatcher_killed(self):
        self.kill_during_load("dispatcher")

    def test_vm_killed_for_good(self):
        load = self.load()
        time.sleep(1.5)
        self.cluster.kill_vm(self.busiest("gateway"))
        counted = self.finish_load(load)
        self.assert_samples_whole(counted)
        self.assert_orders_once(counted)

    def test_gateway_frozen_past_takeover_and_thawed(self):
        load = self.load()
        time.sleep(1.5)
        process = self.cluster.processes[f"gateway-{self.busiest('gateway')}"]
        process.freeze()
        time.sleep(6)
        process.thaw()
        counted = self.finish_load(load)
        self.assert_samples_whole(counted)
        self.assert_orders_once(counted)

    def test_dispatchers_frozen_in_turn(self):
        load = self.load(orders=[{"key": self.key, "path": "/orders", "count": 60, "per_second": 6}])
        for vm in range(self.cluster.vms):
            process = self.cluster.processes[f"dispatcher-{vm}"]
            process.freeze()
            time.sleep(3)
            process.thaw()
        counted = self.finish_load(load)
        self.assert_samples_whole(counted)
        self.assert_orders_once(counted)

    def test_service_is_back_after_dispatcher_death(self):
        for vm in range(self.cluster.vms):
            self.cluster.processes[f"dispatcher-{vm}"].kill()
            started = time.monotonic()
            eventually(lambda: self.order(f"back-{time.monotonic_ns()}", timeout=5).status == 200, 10,
                       what="orders after a dispatcher's death")
            self.assertLess(time.monotonic() - started, TAKEOVER_BOUND, f"dispatcher {vm}")
            self.cluster.start_process("dispatcher", vm).wait_ready()
            time.sleep(3)

    def test_silent_connections_are_replaced(self):
        load = self.load()
        time.sleep(1)
        for number in range(4):
            self.cluster.fault(f"{self.deployment.engine.name}-{number}", "freeze_open")
        counted = self.finish_load(load)
        self.assert_samples_whole(counted)

    def test_cut_answers_are_made_again(self):
        load = self.load()
        for _ in range(5):
            time.sleep(0.6)
            for number in range(4):
                route = f"{self.deployment.engine.name}-{number}"
                self.cluster.fault(route, "cut")
                self.cluster.fault(route, "pass")
        counted = self.finish_load(load)
        self.assert_samples_whole(counted)

    def test_answers_lost_after_effect_run_once(self):
        for number in range(3):
            self.cluster.fault(f"{self.deployment.plain.name}-{number}", "lose_answers", count=4)
        lost = 0
        for number in range(20):
            answer = self.order(f"lost-{number}", vm=number % 4)
            if answer.status == 200:
                continue
            lost += 1
            self.assertEqual(answer.json()["error"]["ran"], "unknown", answer.text)
        self.assertGreater(lost, 0)
        self.assertLessEqual(max(self.order_runs().values()), 1)

    def test_idempotency_key_runs_once_through_all_gateways(self):
        headers = {"Idempotency-Key": "same"}
        answers = [self.in_background(lambda vm=vm: self.order("same-order", vm=vm, headers=headers))
                   for vm in range(4) for _ in range(3)]
        answers = [answer.result() for answer in answers]
        statuses = [answer.status for answer in answers]
        self.assertIn(200, statuses, [answer.text for answer in answers])
        self.assertLessEqual(set(statuses), {200, 409})
        self.assertEqual(self.order_runs().get("same-order"), 1)
        self.cluster.processes["gateway-0"].kill()
        eventually(lambda: self.order("same-order", vm=1, headers=headers).status == 200, 15, what="replayed answer")
        self.assertEqual(self.order_runs().get("same-order"), 1)

    def test_refusals_that_say_not_run_are_true(self):
        refused = set()

        def shoot(name, vm):
            try:
                answer = self.order(name, vm=vm, headers={"X-Deadline-Ms": "300"})
            except (OSError, http.http.client.HTTPException):
                return
            if answer.status != 200 and answer.json()["error"]["ran"] == "not_run":
                refused.add(name)

        shots = [self.in_background(lambda index=index: shoot(f"shot-{index}", index % 4)) for index in range(150)]
        time.sleep(0.1)
        self.cluster.processes["dispatcher-1"].kill()
        self.cluster.processes["dispatcher-2"].freeze()
        for shot in shots:
            shot.result()
        self.cluster.processes["dispatcher-2"].thaw()
        time.sleep(3)
        runs = self.order_runs()
        self.assertFalse({name for name in refused if runs.get(name, 0) > 0}, "said not_run but ran")
        self.assertLessEqual(max(runs.values()), 1)

    def test_rolling_graceful_replacement_cuts_nothing(self):
        load = self.load(orders=[{"key": self.key, "path": "/orders", "count": 150, "per_second": 10}])
        for vm in range(self.cluster.vms):
            for role in ("gateway", "dispatcher", "controller"):
                self.assertEqual(self.cluster.processes[f"{role}-{vm}"].terminate(30), 0)
                self.cluster.start_process(role, vm).wait_ready()
        counted = self.finish_load(load)
        self.assert_samples_whole(counted)
        self.assert_orders_once(counted)
        self.assertEqual(counted["orders_unknown"], 0, counted)
        self.assertEqual(counted["requests_failed"], 0, counted)


if __name__ == "__main__":
    unittest.main()
