"""Keys and configuration: withdrawn keys, freshness, races of operators, versions that never revert."""

import json
import time
import unittest

from harness import http
from harness.case import CONFIGURATION_BOUND, KEY_BOUND, ClusterCase
from harness.cluster import OPERATOR_KEY, eventually

LONG_TOKENS = 100_000


class Keys(ClusterCase):
    def options_of(self, method):
        if method == "test_cut_off_gateway_stops_keyed_work":
            return {"proxied": ("log:gateway-0",)}
        if method == "test_withdrawn_key_cuts_running_stream":
            return {"engine_settings": {"step_us": 20_000}}
        return {}

    def refused(self, vm, status=403):
        return self.order(f"probe-{time.monotonic_ns()}", vm=vm).status == status

    def test_withdrawn_key_stops_everywhere(self):
        self.cluster.ctl("key", "withdraw", "key-quotes", "--why=test")
        started = time.monotonic()
        for vm in range(self.cluster.vms):
            eventually(lambda: self.refused(vm), KEY_BOUND, what=f"gateway {vm} refusing")
        self.assertLess(time.monotonic() - started, KEY_BOUND)
        other = self.cluster.deployment.key_of("wording")
        self.assertEqual(self.cluster.call(0, "POST", "/orders", {"order": "other"}, other).status, 200)

    def test_withdrawn_key_cuts_running_stream(self):
        stream = self.in_background(lambda: self.try_stream())
        time.sleep(1)
        started = time.monotonic()
        self.cluster.ctl("key", "withdraw", "key-quotes", "--why=test")
        text = stream.result(KEY_BOUND + 10)
        self.assertLess(time.monotonic() - started, KEY_BOUND)
        self.assertNotIn("[DONE]", text)

    def try_stream(self):
        try:
            return self.complete("long", max_tokens=LONG_TOKENS, stream=True).text
        except (OSError, http.http.client.HTTPException) as error:
            return f"cut: {error}"

    def test_log_outage_seen_by_all_stops_nobody(self):
        self.cluster.control("log", {"outage": True})
        deadline = time.monotonic() + 2 * KEY_BOUND
        count = 0
        while time.monotonic() < deadline:
            for vm in range(self.cluster.vms):
                answer = self.order(f"outage-{count}", vm=vm)
                self.assertEqual(answer.status, 200, answer.text)
                count += 1
            time.sleep(0.2)
        self.cluster.control("log", {"outage": False})
        self.cluster.ctl("key", "withdraw", "key-quotes", "--why=test")
        eventually(lambda: self.refused(0), KEY_BOUND, what="withdrawn after the outage")

    def test_cut_off_gateway_stops_keyed_work(self):
        for name, process in self.cluster.processes.items():
            if name.startswith(("dispatcher", "controller", "gateway")) and name != "gateway-0":
                process.freeze()
        self.cluster.fault("log:gateway-0", "cut")
        time.sleep(KEY_BOUND)
        answer = self.order("cut")
        self.assertEqual((answer.status, answer.json()["error"]["ran"]), (503, "not_run"), answer.text)
        self.assertEqual(answer.json()["error"]["code"], "configuration_unconfirmed", answer.text)
        for process in self.cluster.processes.values():
            process.thaw()
        self.cluster.fault("log:gateway-0", "pass")
        eventually(lambda: self.order(f"back-{time.monotonic_ns()}").status == 200, 20, what="gateway 0 serving again")

    def test_operators_racing_get_one_winner(self):
        version = self.cluster.admin("GET", "/admin/v1/state").json()["version"]

        def change(vm, weight):
            value = {"name": "quotes", "weight": weight}
            body = {"base_version": version, "why": "race", "what": "workspace",
                    "changes": [{"object": "workspace", "name": "quotes", "value": value}]}
            return self.cluster.admin("POST", "/admin/v1/changes", body, vm).status

        racers = [self.in_background(lambda vm=vm: change(vm, 10 + vm)) for vm in range(3)]
        statuses = [racer.result() for racer in racers]
        self.assertEqual(sorted(statuses), [200, 409, 409])
        winner = 10 + statuses.index(200)
        eventually(lambda: self.weights_in_force() == {winner}, CONFIGURATION_BOUND, what="the winner's weight")
        # A loser that came after the winner was read is refused at once and leaves no record.
        entries = self.cluster.admin("GET", "/admin/v1/audit?from=0").json()["entries"]
        accepted = [entry for entry in entries if entry["why"] == "race" and not entry["conflict"]]
        self.assertEqual(len(accepted), 1, accepted)

    def test_accepted_configuration_is_in_force_and_never_reverts(self):
        for weight in (2, 3, 4):
            declarations = self.declarations()
            declarations["workspaces"][0]["weight"] = weight
            started = time.monotonic()
            self.cluster.apply(declarations)
            self.assertLess(time.monotonic() - started, CONFIGURATION_BOUND)
            self.assertEqual(self.weights_in_force(), {weight})
        for vm in range(self.cluster.vms):
            for role in ("gateway", "dispatcher", "controller"):
                self.cluster.processes[f"{role}-{vm}"].kill()
                self.cluster.start_process(role, vm).wait_ready()
        eventually(lambda: self.weights_in_force() == {4}, 15, what="the newest version after restarts")

    def weights_in_force(self):
        states = [self.cluster.admin("GET", "/admin/v1/state", vm=vm).json() for vm in range(self.cluster.vms)]
        found = set()
        for state in states:
            workspaces = state["configuration"]["workspaces"]
            found |= {workspace["weight"] for workspace in workspaces if workspace["name"] == "quotes"}
        return found

    def test_operators_need_their_own_key(self):
        endpoint = self.cluster.http_endpoint("controller", 0)
        for key in ("", self.key, OPERATOR_KEY + "x"):
            answer = http.call(endpoint, "GET", "/admin/v1/state", headers={"Authorization": f"Bearer {key}"})
            self.assertEqual(answer.status, 401)

    def test_bad_declarations_change_nothing(self):
        before = self.cluster.admin("GET", "/admin/v1/state").json()["version"]
        declarations = self.declarations()
        declarations["routes"][0]["service"] = "nowhere"
        folder = self.cluster.write_declarations(declarations)
        done = self.cluster.ctl("apply", str(folder), check=False)
        self.assertEqual(done.returncode, 2, done.stdout + done.stderr)
        self.assertIn("nowhere", done.stdout + done.stderr)
        self.assertEqual(self.cluster.admin("GET", "/admin/v1/state").json()["version"], before)


if __name__ == "__main__":
    unittest.main()
