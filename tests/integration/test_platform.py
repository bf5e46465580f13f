"""Real processes on the platform's protocol: batches, keys, weights, usage, under loss of everything that can be lost."""

import collections
import http.client
import json
import signal
import subprocess
import threading
import time
import unittest

from platformworld.calls import check_unchecked_calls
from platformworld.leaving import LeavingJudge
from platformworld.paths import PathsWorld
from platformworld.servers import PlainBackend
from platformworld.texts import parse_event, software_of
from platformworld.world import BIN, HOST, KEY, World, eventually

#: Bounds of the users' pages, in seconds.
CONFIGURATION_BOUND = 2.0
DRAIN_BOUND = 2.0
LEASE_TERM = 1.5
#: Memory of the smallest machine of the users' deployments.
SMALLEST_MACHINE_MB = 160
GRACE = 8
#: The longest read of a machine that asks while a caller waits, and a batch kept.
NOTICE_BOUND = 1.0


class Platform(unittest.TestCase):
    def setUp(self):
        self.world = World(**self.options())
        self.addCleanup(self.finish)

    def options(self):
        return {"test_settings_that_are_wrong_end_the_start": {"nodes": 1},
                "test_endless_answers_fit_into_the_memory_of_the_smallest_machine": {"plains": 20},
                "test_rolling_replacement_of_servers_that_only_say_so_costs_no_request": {"plains": 6},
                "test_peers_that_check_no_fences_see_holders_in_order": {"peers_check_fences": False},
                }.get(self._testMethodName, {})

    def finish(self):
        failed = any(error for _, error in getattr(self._outcome, "errors", []) if error)
        result = getattr(self._outcome, "result", None)
        if failed or (result and (result.failures or result.errors)):
            for node in self.world.nodes:
                print(f"--- {node.name}\n" + "\n".join(node.log.read_text().splitlines()[-25:]))
        self.world.close()

    def check_results(self, results, items):
        self.assertEqual(sorted(result["id"] for result in results), sorted(f"item{n}" for n in range(items)))
        for result in results:
            self.assertEqual(result["state"], "completed")
            lines = result["text"].split("\n")
            events = [parse_event(line) for line in lines]
            self.assertEqual([(event.item, event.number) for event in events],
                             [(result["id"], number) for number in range(1, 7)])
            self.assertEqual(len(software_of(lines)), 1)
            made_by = sorted({event.weights for event in events})
            self.assertEqual(sorted(result["versions"]), made_by)

    def test_batch_is_served_whole_at_every_machine(self):
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 20), 202)
        self.assertEqual(self.world.submit(self.world.nodes[1], "b1", 20), 202)
        first = self.world.wait_results(self.world.nodes[1], "b1", 20)
        self.check_results(first, 20)
        for node in self.world.nodes:
            self.assertEqual(self.world.wait_results(node, "b1", 20), first)
        runs = [run["id"] for engine in self.world.engines for run in engine.requests]
        self.assertEqual(len(runs), 20)
        for engine in self.world.engines:
            for run in engine.requests:
                self.assertNotIn("authorization", run["headers"])
                self.assertEqual(run["headers"]["x-tenant"], "amend")

    def test_unknown_batch_foreign_key_and_bodies(self):
        for engine in self.world.engines:
            engine.pace = 1.0
        node = self.world.nodes[0]
        self.assertEqual(node.call("GET", "/v1/lots/nothing?after=0")[0], 404)
        self.assertEqual(self.world.submit(node, "b1", 3), 202)
        status, body, _ = self.world.nodes[1].call("GET", "/v1/items/b1?id=item2")
        self.assertEqual((status, body), (200, b"prompt2"))
        self.assertEqual(node.call("GET", "/v1/lots/b1?after=0", key="stranger")[0], 401)
        self.assertEqual(node.call("DELETE", "/v1/lots/b1")[0], 200)
        self.assertEqual(node.call("DELETE", "/v1/lots/b1")[0], 200)
        eventually(lambda: sum(engine.running for engine in self.world.engines) == 0, 3, "ended runs are dropped")
        self.assertEqual(self.world.nodes[2].call("GET", "/v1/items/b1?id=item2")[0], 404)

    def test_accepted_batch_survives_the_loss_of_all_machines(self):
        for engine in self.world.engines:
            engine.pace = 0.2
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 12), 202)
        for node in self.world.nodes:
            node.kill()
        for node in self.world.nodes:
            node.start()
        self.check_results(self.world.wait_results(self.world.nodes[2], "b1", 12, 25), 12)

    def test_holder_killed_nothing_is_lost_or_doubled(self):
        for engine in self.world.engines:
            engine.pace = 0.15
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 24), 202)
        time.sleep(0.7)
        holder = self.world.holder()
        holder.kill()
        reader = next(node for node in self.world.nodes if node is not holder)
        self.check_results(self.world.wait_results(reader, "b1", 24, 20), 24)

    def test_holder_frozen_its_orders_are_refused_and_positions_stay(self):
        for engine in self.world.engines:
            engine.pace = 0.2
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 24), 202)
        holder = self.world.holder()
        holder.signal(signal.SIGSTOP)
        others = [node for node in self.world.nodes if node is not holder]
        eventually(lambda: any(node.events("conductor.active") for node in others), 6, "another holder")
        self.world.name_version(2)
        before = self.world.wait_results(others[0], "b1", 24, 20)
        holder.signal(signal.SIGCONT)
        time.sleep(1)
        self.assertEqual(self.world.wait_results(holder, "b1", 24, 5), before)
        fences = [order["fencing_token"] for engine in self.world.engines for order in engine.orders]
        for engine in self.world.engines:
            own = [order["fencing_token"] for order in engine.orders]
            self.assertEqual(own, sorted(own))
        self.assertTrue(fences)

    def test_store_away_batches_wait_and_running_ones_go_on(self):
        for engine in self.world.engines:
            engine.pace = 0.1
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 10), 202)
        time.sleep(0.2)
        self.world.store.mode = "silent"
        outcome = []
        waiting = threading.Thread(target=lambda: outcome.append(self.world.submit(self.world.nodes[1], "b2", 5)))
        waiting.start()
        time.sleep(2.5)
        self.assertEqual(outcome, [])
        runs = sum(len(engine.requests) for engine in self.world.engines)
        self.assertGreaterEqual(runs, 10)
        self.world.store.mode = "up"
        waiting.join(8)
        self.assertEqual(outcome, [202])
        self.check_results(self.world.wait_results(self.world.nodes[2], "b1", 10), 10)
        self.check_results(self.world.wait_results(self.world.nodes[2], "b2", 5), 5)

    def test_batch_that_expects_100_is_not_accepted_by_a_relay_that_refuses_it(self):
        """The relayed copy kept the header, and the other machine's interim response counted as its answer."""
        node, *others = self.world.nodes
        for other in others:
            self.wait_named(other, node)
        self.world.store.mode = "busy"
        time.sleep(0.5)

        def submit():
            return node.call("POST", "/steps/b1", self.world.batch(6), headers={
                "X-Request-Id": "b1", "X-Deadline-Ms": "3000", "Expect": "100-continue"})[0]
        self.assertEqual(submit(), 503)
        self.world.store.mode = "up"
        eventually(lambda: submit() == 202, 5, "accepted once the store is back")
        self.check_results(self.world.wait_results(self.world.nodes[1], "b1", 6), 6)

    def test_holder_keeps_its_work_over_an_outage_of_the_store(self):
        """The outage outlasts the lease. A machine that sees the store first must not start the holder's items again."""
        for engine in self.world.engines:
            engine.pace = 0.4
        for number, mode in enumerate(("busy", "silent", "reset")):
            holder = self.world.holder()
            before = sum(len(engine.requests) for engine in self.world.engines)
            self.assertEqual(self.world.submit(self.world.nodes[0], f"b{number}", 9), 202)
            time.sleep(0.3)
            self.world.store.mode = mode
            time.sleep(4)
            self.world.store.mode = "up"
            self.check_results(self.world.wait_results(self.world.nodes[1], f"b{number}", 9, 5), 9)
            self.assertEqual(sum(len(engine.requests) for engine in self.world.engines) - before, 9, mode)
            self.assertIs(self.world.holder(), holder, mode)

    def test_lost_answers_of_the_store_double_nothing(self):
        self.world.store.lose_answers = 6
        statuses = [self.world.submit(self.world.nodes[n % 3], "b1", 10) for n in range(2)]
        if 202 not in statuses:
            statuses.append(self.world.submit(self.world.nodes[0], "b1", 10))
        self.assertIn(202, statuses)
        self.check_results(self.world.wait_results(self.world.nodes[1], "b1", 10, 20), 10)

    def test_engine_lost_midway_its_items_are_resumed(self):
        for engine in self.world.engines:
            engine.pace = 0.15
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 9), 202)
        time.sleep(0.6)
        self.world.engines[0].leave()
        self.world.engines[0].stop()
        self.check_results(self.world.wait_results(self.world.nodes[0], "b1", 9, 20), 9)
        resumed = [run for engine in self.world.engines[1:] for run in engine.requests if run["from"] > 0]
        self.assertTrue(resumed)

    def test_items_that_come_again_go_on_from_their_text(self):
        """A batch is ended before its items are done; a later batch brings the same items."""
        for engine in self.world.engines:
            engine.pace = 0.4
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 6), 202)
        time.sleep(1.4)
        self.assertEqual(self.world.nodes[1].call("DELETE", "/v1/lots/b1")[0], 200)
        eventually(lambda: sum(engine.running for engine in self.world.engines) == 0, 3, "ended runs are dropped")
        self.assertEqual(self.world.submit(self.world.nodes[2], "b2", 6), 202)
        self.check_results(self.world.wait_results(self.world.nodes[0], "b2", 6), 6)
        starts = [run["from"] for engine in self.world.engines for run in engine.requests]
        self.assertEqual(len([start for start in starts if start == 0]), 6)
        self.assertEqual(len([start for start in starts if start >= 2]), 6)

    def test_items_whose_events_are_not_utf8_run_again(self):
        """One such event made the whole batch unreadable at all machines."""
        for engine in self.world.engines:
            engine.garble_next = 3
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 40), 202)
        for node in self.world.nodes:
            self.check_results(self.world.wait_results(node, "b1", 40), 40)
        self.assertEqual([engine.garble_next for engine in self.world.engines], [0, 0, 0])

    def test_error_answers_leave_no_trace_in_resumed_texts(self):
        """Runs break off in the middle and are refused with errors elsewhere before they go on."""
        for engine in self.world.engines:
            engine.events, engine.pace = 6, 0.1
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 30), 202)
        eventually(lambda: sum(engine.running for engine in self.world.engines) >= 10, 5, "items run")
        time.sleep(0.25)
        first, *others = self.world.engines
        first.crash_next = first.running
        for engine in others:
            engine.fail_next = 1
        self.check_results(self.world.wait_results(self.world.nodes[0], "b1", 30), 30)
        self.assertTrue(any(run["from"] > 0 for engine in self.world.engines for run in engine.requests))

    def test_failing_item_is_given_up_after_its_attempts(self):
        for engine in self.world.engines:
            engine.fail_next = 100
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 1), 202)
        results = self.world.wait_results(self.world.nodes[0], "b1", 1)
        self.assertEqual(results[0]["state"], "lost")
        self.assertEqual(sum(100 - engine.fail_next for engine in self.world.engines), 3)

    def test_new_weights_reach_all_engines_and_samples_name_them(self):
        self.world.name_version(2)
        eventually(lambda: all(engine.version == 2 for engine in self.world.engines), 8, "version 2 everywhere")
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 12, min_version=2), 202)
        self.world.name_version(3)
        results = self.world.wait_results(self.world.nodes[0], "b1", 12)
        self.check_results(results, 12)
        self.assertTrue(all(min(result["versions"]) >= 2 for result in results))

    def test_requests_reach_their_service_with_the_workspace_and_without_the_key(self):
        node = self.world.nodes[0]
        status, body, headers = node.call("POST", "/orders/1", b"mats", headers={"X-Request-Id": "r1"})
        self.assertEqual((status, body), (200, b"done:mats"))
        self.assertIn("X-Server-Stamp", headers)
        self.assertEqual(node.call("POST", "/orders/1", key="stranger")[0], 401)
        self.assertEqual(node.call("POST", "/orders/1", key=None)[0], 401)
        self.assertEqual(node.call("POST", "/nowhere/1")[0], 404)
        seen = [run for server in self.world.plains for run in server.requests]
        self.assertEqual([run["id"] for run in seen], ["r1"])
        self.assertEqual(seen[0]["headers"]["x-tenant"], "amend")
        self.assertNotIn(KEY, json.dumps(seen[0]["headers"]))
        for text in (machine.log.read_text() for machine in self.world.nodes):
            self.assertNotIn(KEY, text)

    def test_second_copies_of_answers_reach_no_other_caller(self):
        """Copies arrive while the connection is idle, while the next request is on its way, and while it is at work."""
        for server in self.world.plains:
            server.work = 0.02
        for delay in (0.0, 0.001, 0.005, 0.015, 0.03):
            for server in self.world.plains:
                server.late_copy = delay
            for path in ("/orders/1", "/once/1"):
                for number in range(8):
                    request = f"r-{delay}-{path[1:5]}-{number}"
                    status, body, headers = self.world.nodes[0].call("POST", path, request.encode(),
                                                                     headers={"X-Request-Id": request})
                    self.assertEqual((status, body), (200, b"done:" + request.encode()))
                    self.assertEqual(headers["X-Request-Id"], request)
        runs = [run["id"] for server in self.world.plains for run in server.requests if "once" in run["id"]]
        self.assertEqual(len(runs), len(set(runs)))

    def test_unsafe_request_runs_once_when_its_answer_is_lost(self):
        for server in self.world.plains:
            server.crash_on = b"killer"
        status, _, _ = self.world.nodes[0].call("POST", "/once/1", b"killer", headers={"X-Request-Id": "r1"})
        self.assertEqual(status, 502)
        self.assertEqual(sum(len(server.requests) for server in self.world.plains), 1)

    def test_request_that_crashes_servers_is_refused_everywhere(self):
        for server in self.world.plains:
            server.die_on = b"killer"

        def ran():
            return sum(len(server.requests) for server in self.world.plains)
        until = time.monotonic() + 12
        number = 0
        while ran() < 3 and time.monotonic() < until:
            number += 1
            self.world.nodes[0].call("POST", "/orders/1", b"killer", headers={"X-Request-Id": f"r{number}"})
            time.sleep(0.3)
        self.assertGreaterEqual(ran(), 3)
        time.sleep(1.6)
        for number, node in enumerate(self.world.nodes):
            status, _, headers = node.call("POST", "/orders/1", b"killer", headers={"X-Request-Id": f"x{number}"})
            self.assertEqual(status, 503)
            self.assertIn("Retry-After", headers)
        print("runs of the request:", ran())
        self.assertLessEqual(ran(), 6)
        # All servers are back, and others are served.
        eventually(lambda: all(server.up for server in self.world.plains), 5, "the servers")
        for node in self.world.nodes:
            eventually(lambda: node.call("POST", "/orders/1", b"mats")[0] == 200, 5, "another request")
        before = ran()
        self.assertEqual(self.world.nodes[2].call("POST", "/orders/1", b"killer")[0], 503)
        self.assertEqual(ran(), before)

    def test_request_that_crashes_servers_is_refused_while_the_store_is_away(self):
        """Each machine learns from its own crashes; an attempt under way may add one."""
        for server in self.world.plains:
            server.die_on = b"killer"
        self.world.store.mode = "silent"

        def ran():
            return sum(len(server.requests) for server in self.world.plains)
        refusing, until, number = set(), time.monotonic() + 40, 0
        while len(refusing) < len(self.world.nodes) and time.monotonic() < until:
            for node in self.world.nodes:
                number += 1
                status, body, _ = node.call("POST", "/orders/1", b"killer", headers={"X-Request-Id": f"r{number}"})
                if status == 503 and b"condemned" in body:
                    refusing.add(node.name)
            time.sleep(0.3)
        print("runs of the request without the store:", ran())
        self.assertEqual(len(refusing), len(self.world.nodes))
        self.assertLessEqual(ran(), 4 * len(self.world.nodes))
        self.world.store.mode = "up"
        eventually(lambda: all(server.up for server in self.world.plains), 5, "the servers")
        time.sleep(3)
        before = ran()
        for node in self.world.nodes:
            self.assertEqual(node.call("POST", "/orders/1", b"killer")[0], 503)
        self.assertEqual(ran(), before)
        for node in self.world.nodes:
            eventually(lambda: node.call("POST", "/orders/1", b"mats")[0] == 200, 5, "another request")

    def test_connections_that_break_keep_out_no_request(self):
        """The servers live on, so it is not the request that ends them."""
        for server in self.world.plains:
            server.crash_on = b"mats"
        for _ in range(4):
            for node in self.world.nodes:
                self.assertEqual(node.call("POST", "/once/1", b"mats")[0], 502)
                time.sleep(0.1)
        for server in self.world.plains:
            server.crash_on = None
        time.sleep(3.5)
        for node in self.world.nodes:
            self.assertEqual(node.call("POST", "/once/1", b"mats")[0], 200)

    def test_answers_over_the_size_limit_cost_their_own_request_only(self):
        for server in self.world.plains:
            server.swell_on = b"mats"
        for node in self.world.nodes:
            for _ in range(4):
                before = sum(len(server.requests) for server in self.world.plains)
                self.assertEqual(node.call("POST", "/orders/1", b"mats")[0], 502)
                self.assertEqual(sum(len(server.requests) for server in self.world.plains), before + 1)
                began = time.monotonic()
                self.assertEqual(node.call("POST", "/orders/1", b"more")[0], 200)
                self.assertLess(time.monotonic() - began, 0.2)
        for server in self.world.plains:
            server.swell_on = None
        time.sleep(1.6)
        for node in self.world.nodes:
            self.assertEqual(node.call("POST", "/orders/1", b"mats")[0], 200)
        self.assertEqual([event for node in self.world.nodes for event in node.events("request.attempt_ended")
                          if event["end"] == "lost"], [])

    def test_withdrawn_key_stops_at_all_machines(self):
        self.world.keys = ["key-two"]
        self.world.configure()
        for node in self.world.nodes:
            eventually(lambda: node.call("POST", "/orders/1")[0] == 401, CONFIGURATION_BOUND, "the key withdrawn")
            self.assertEqual(node.call("POST", "/orders/1", key="key-two")[0], 200)

    def test_endless_answers_fit_into_the_memory_of_the_smallest_machine(self):
        node = self.world.nodes[0]
        for server in self.world.plains:
            server.endless = True
        statuses = []

        def call(number):
            statuses.append(node.call("POST", f"/orders/{number}", headers={"X-Deadline-Ms": "1500"})[0])

        for _ in range(3):
            callers = [threading.Thread(target=call, args=(number,)) for number in range(20)]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join(5)
        self.assertEqual(len(statuses), 60)
        self.assertFalse({200, 503, 429} & set(statuses[:20]), statuses)
        with open(f"/proc/{node.popen.pid}/status", encoding="ascii") as status:
            peak = next(int(line.split()[1]) for line in status if line.startswith("VmHWM:")) / 1024
        self.assertLess(peak, SMALLEST_MACHINE_MB)

    def test_paused_machine_acts_on_no_key_that_was_withdrawn_meanwhile(self):
        """The request and the news of the withdrawal both wait for the machine when it wakes."""
        node = self.world.nodes[0]
        statuses = []
        for number in range(6):
            key = f"short-lived-{number}"
            self.world.keys = [KEY, key]
            self.world.configure()
            eventually(lambda: node.call("POST", "/orders/1", key=key)[0] == 200, CONFIGURATION_BOUND, "the new key")
            node.signal(signal.SIGSTOP)
            time.sleep(0.2)
            call = threading.Thread(target=lambda: statuses.append(node.call("POST", "/orders/1", key=key)[0]))
            call.start()
            time.sleep(0.2)
            self.world.keys = [KEY]
            self.world.configure()
            time.sleep(1.2)
            node.signal(signal.SIGCONT)
            call.join(5)
        self.assertEqual(statuses, [401] * 6)

    def test_evacuation_taken_back_in_a_gap_of_the_history_ends(self):
        """The removal of the operator's record was compacted away before any machine read it."""
        store = self.world.store
        store.put("keyed.op", "evacuate/a", {})
        for node in self.world.nodes:
            eventually(lambda: node.call("POST", "/orders/1")[0] == 503, CONFIGURATION_BOUND, "the zone is out")
        store.muted_topics.add("keyed.op")
        store.put("keyed.op", "evacuate/a", None)
        time.sleep(0.5)
        store.forget_history("keyed.op")
        store.muted_topics.clear()
        for node in self.world.nodes:
            eventually(lambda: node.call("POST", "/orders/1")[0] == 200, CONFIGURATION_BOUND, "the zone is back")

    def test_unreadable_configuration_changes_nothing(self):
        self.world.store.put("keyed.op", "config", {"version": 99})
        time.sleep(0.5)
        self.assertEqual(self.world.nodes[0].call("POST", "/orders/1")[0], 200)
        self.assertTrue(self.world.nodes[0].events("configuration.malformed"))

    def test_odd_entries_of_another_writer_end_no_machine_and_hold_up_no_news(self):
        """Nested, too large and out-of-range values among the servers' records; a new server is used all the same."""
        record = self.world.plains[0].record()
        odd = {"deep": b"[" * 100000 + b"]" * 100000,
               "deeper": json.dumps(record).encode()[:-1] + b',"models":' + b"[" * 50000 + b"]" * 50000 + b"}",
               "large": json.dumps({**record, "slots": 0}).replace('"slots": 0', '"slots": 1e999').encode(),
               "larger": json.dumps({**record, "slots": 10 ** 400, "born": 10 ** 400}).encode(),
               "port": json.dumps({**record, "address": "127.0.0.1:99999"}).encode(),
               "i\r\nX-Tenant: x": json.dumps(record).encode()}
        partition = self.world.store.partition("keyed.servers")
        for key, value in odd.items():
            partition.add([bytes([len(key)]) + key.encode() + value])
        restarted = self.world.nodes[0]
        restarted.kill()
        restarted.start()
        eventually(restarted.ready, 10, "a machine that reads the entries in its first snapshot")
        late = PlainBackend(self.world.loop, self.world.store, "desk", "i-late", "a")
        self.world.plains.append(late)
        late.announce()
        for node in self.world.nodes:
            eventually(lambda: any(line["server"] == "i-late" for line in node.events("server.changed")),
                       CONFIGURATION_BOUND, "the new server is known")
            for _ in range(10):
                self.assertEqual(node.call("POST", "/orders/1")[0], 200)
            self.assertTrue(node.running())
        self.assertTrue(all(request["headers"].get("x-tenant") == "amend"
                            for server in self.world.plains for request in server.requests))

    def test_draining_server_gets_nothing_new(self):
        self.world.plains[0].state = "draining"
        self.world.plains[0].announce()
        time.sleep(DRAIN_BOUND)
        before = len(self.world.plains[0].requests)
        for _ in range(10):
            self.assertEqual(self.world.nodes[0].call("POST", "/orders/1")[0], 200)
        self.assertEqual(len(self.world.plains[0].requests), before)

    def call_for(self, seconds, statuses, paths=("/orders/1",)):
        """Requests to all machines in turn; returns a judge that knows what clients saw of them."""
        seen, until, number = [], time.monotonic() + seconds, 0
        while time.monotonic() < until:
            node, path = self.world.nodes[number % len(self.world.nodes)], paths[number % len(paths)]
            request, sent_at = f"call{time.monotonic_ns()}", time.monotonic()
            status, _, headers = node.call("POST", path, headers={"X-Request-Id": request, "X-Deadline-Ms": "1500"})
            seen.append((request, node.name, sent_at, "Server-Leaving" in headers, time.monotonic()))
            self.assertIn(status, statuses)
            number += 1
            time.sleep(0.01)
        judge = LeavingJudge([server.leave_history for server in self.world.plains])
        for request, machine, sent_at, told, answered_at in seen:
            judge.note_sent(request, machine, sent_at)
            if told:
                judge.note_answer(request, machine, answered_at)
        return judge

    def test_server_that_says_it_leaves_gets_nothing_new(self):
        """Its records went on saying that it is ready, and the store was away for a part of the time."""
        first, second = self.world.plains
        self.call_for(0.5, {200})
        first.leaving = True
        judge = self.call_for(3.0, {200}, ("/orders/1", "/once/1"))
        self.assertTrue(judge.passed_on)
        self.assertEqual(judge.violations(), [])
        first.announce()
        time.sleep(0.6)
        before = len(first.requests)
        self.call_for(0.5, {200})
        self.assertEqual(len(first.requests), before, "its later record brought it back")
        # Nobody is left: refused at once, and not run.
        self.world.store.mode = "silent"
        second.leaving = True
        self.call_for(0.5, {200, 503})
        ran = [len(server.requests) for server in self.world.plains]
        began = time.monotonic()
        status, _, headers = self.world.nodes[0].call("POST", "/once/1", headers={"X-Deadline-Ms": "1500"})
        self.assertEqual((status, "Retry-After" in headers), (503, True))
        self.assertLess(time.monotonic() - began, 0.5)
        self.assertEqual([len(server.requests) for server in self.world.plains], ran)
        self.world.store.mode = "up"
        # The next process under the same id is another one.
        first.stop()
        first.restart()
        for node in self.world.nodes:
            eventually(lambda: node.call("POST", "/orders/1")[0] == 200, CONFIGURATION_BOUND + 3, "the new process")

    def test_rolling_replacement_of_servers_that_only_say_so_costs_no_request(self):
        """A third of the servers is replaced. Their records say that they are ready until they have left."""
        for server in self.world.plains:
            server.work = 0.1
        outcomes, stopping = collections.Counter(), threading.Event()

        def call(number):
            node, path = self.world.nodes[number % len(self.world.nodes)], ("/orders/1", "/once/1")[number % 2]
            while not stopping.is_set():
                try:
                    outcomes[path, node.call("POST", path, headers={"X-Deadline-Ms": "1500"})[0]] += 1
                except OSError:
                    outcomes[path, "cut"] += 1
        callers = [threading.Thread(target=call, args=(number,)) for number in range(12)]
        for caller in callers:
            caller.start()
        for number in range(2):
            new = PlainBackend(self.world.loop, self.world.store, "desk", f"i-new{number}", "a")
            new.work = 0.1
            self.world.plains.append(new)
            new.announce()
            leaving = self.world.plains[number]
            leaving.leaving = True
            time.sleep(DRAIN_BOUND + 0.6)
            leaving.stop()
            leaving.leave()
        time.sleep(1)
        stopping.set()
        for caller in callers:
            caller.join(10)
        print("outcomes of requests:", dict(outcomes))
        self.assertEqual({status for _, status in outcomes}, {200})

    def test_engine_that_says_it_leaves_gets_no_items(self):
        leaving, *others = self.world.engines
        for engine in self.world.engines:
            engine.pace = 0.05
        leaving.leaving = True
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 30), 202)
        self.check_results(self.world.wait_results(self.world.nodes[0], "b1", 30), 30)
        time.sleep(DRAIN_BOUND)
        leaving.announce()
        before = len(leaving.requests)
        self.assertEqual(self.world.submit(self.world.nodes[1], "b2", 30, first=30), 202)
        results = self.world.wait_results(self.world.nodes[1], "b2", 30)
        self.assertEqual({result["state"] for result in results}, {"completed"})
        self.assertEqual(len(leaving.requests), before)

    def test_stopped_machine_leaves_the_directory_and_cuts_nothing(self):
        for server in self.world.plains:
            server.work = 1.0
        leaving, other = self.world.nodes[0], self.world.nodes[1]
        self.wait_named(leaving, other)
        outcome = []
        call = threading.Thread(target=lambda: outcome.append(leaving.call("POST", "/orders/1")[0]))
        call.start()
        time.sleep(0.3)
        leaving.signal(signal.SIGTERM)
        self.assertFalse(eventually(lambda: not leaving.ready(), 1, "not ready") is None)
        eventually(lambda: f"{leaving.ip}:" not in other.call("GET", f"/v1/resolve?name={HOST}&zone=a",
                                                              port="directory")[1].decode(), 3, "out of the directory")
        call.join(5)
        self.assertEqual(outcome, [200])
        self.assertEqual(leaving.popen.wait(9), 0)

    def wait_named(self, node, other):
        eventually(lambda: f"{node.ip}:" in other.call("GET", f"/v1/resolve?name={HOST}&zone=a",
                                                       port="directory")[1].decode(), 5, "named by the directory")

    def test_killed_machine_leaves_the_directory(self):
        gone, other = self.world.nodes[0], self.world.nodes[1]
        self.wait_named(gone, other)
        gone.kill()
        eventually(lambda: f"{gone.ip}:" not in other.call("GET", f"/v1/resolve?name={HOST}&zone=a",
                                                           port="directory")[1].decode(), 6, "out of the directory")

    def test_usage_windows_hold_what_ran_and_never_change(self):
        for number in range(20):
            self.assertEqual(self.world.nodes[number % 3].call("POST", "/orders/1")[0], 200)
        eventually(lambda: sum(counts.get("amend", 0) for counts in
                               {window: counts for _, window, counts in self.world.usage}.values()) >= 20, 15,
                   "20 requests reported")
        self.world.holder().kill()
        time.sleep(6)
        figures = {}
        for _, window, counts in self.world.usage:
            self.assertEqual(figures.setdefault(window, counts), counts)
        self.assertEqual(sum(counts.get("amend", 0) for counts in figures.values()), 20)
        windows = sorted(figures)
        self.assertEqual(windows, list(range(windows[0], windows[-1] + 1)))

    def test_peers_that_check_no_fences_see_holders_in_order(self):
        """The holder is frozen, killed and stopped in turn while orders and usage reports are due all the time."""
        def frozen(node):
            node.signal(signal.SIGSTOP)
            eventually(lambda: self.world.holder() is not node, 8, "another holder")
            node.signal(signal.SIGCONT)

        def killed(node):
            node.kill()
            eventually(lambda: self.world.holder() is not node, 8, "another holder")
            node.start()

        def stopped(node):
            node.signal(signal.SIGTERM)
            node.popen.wait(GRACE)
            node.start()

        version = 1
        for end_term in (frozen, stopped, killed, frozen, stopped, killed):
            version += 1
            self.world.name_version(version)
            time.sleep(0.3)
            holder = self.world.holder()
            reader = next(node for node in self.world.nodes if node is not holder)
            self.assertEqual(reader.call("POST", "/orders/1")[0], 200)
            end_term(holder)
        eventually(lambda: all(engine.version == version for engine in self.world.engines), 10, "the last version")
        self.assertGreater(len({fence for _, fence, _ in self.world.usage_holders}), 2)
        self.assertEqual(check_unchecked_calls("the platform", self.world.usage_holders), [])
        for engine in self.world.engines:
            self.assertEqual(check_unchecked_calls(engine.name, engine.holders), [])

    def test_settings_that_are_wrong_end_the_start(self):
        path = self.world.folder / "wrong.json"
        settings = self.world.nodes[0].settings()
        del settings["listen"]["front"]
        path.write_text(json.dumps(settings))
        done = subprocess.run([str(BIN / "nutmegplank-node"), f"--settings={path}"], capture_output=True, text=True,
                              timeout=10)
        self.assertEqual(done.returncode, 2)
        self.assertIn("front", done.stderr)
        self.assertEqual(len(done.stderr.strip().splitlines()), 1)

    def test_stopped_holder_hands_over_what_its_items_have(self):
        for engine in self.world.engines:
            engine.pace = 0.4
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 9), 202)
        time.sleep(1.4)
        holder = self.world.holder()
        holder.signal(signal.SIGTERM)
        reader = next(node for node in self.world.nodes if node is not holder)
        self.check_results(self.world.wait_results(reader, "b1", 9, 12), 9)
        starts = [run["from"] for engine in self.world.engines for run in engine.requests]
        self.assertEqual(len([start for start in starts if start == 0]), 9)
        self.assertEqual(len([start for start in starts if start >= 2]), 9)

    def test_restarted_holder_goes_on_at_once(self):
        for engine in self.world.engines:
            engine.pace = 0.2
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 12), 202)
        time.sleep(0.5)
        holder = self.world.holder()
        before = len(holder.events("conductor.active"))
        for node in self.world.nodes:
            node.kill()
        for node in self.world.nodes:
            node.start()
        eventually(lambda: len(holder.events("conductor.active")) > before, LEASE_TERM, "the former holder's machine")
        self.check_results(self.world.wait_results(self.world.nodes[0], "b1", 12, 12), 12)

    def test_stopping_machine_answers_callers_that_stay_on_their_connections(self):
        for server in self.world.plains:
            server.work = 0.2
        leaving = self.world.nodes[0]
        outcome = []

        def keep_calling():
            connection = http.client.HTTPConnection(leaving.ip, leaving.ports["front"], timeout=10)
            number = 0
            while True:
                number += 1
                request = f"kept-{threading.get_ident()}-{number}"
                try:
                    connection.request("POST", "/orders/1", b"mats", {"Host": HOST, "Authorization": f"Bearer {KEY}",
                                                                     "X-Request-Id": request})
                    outcome.append((request, connection.getresponse().read()))
                except (OSError, http.client.HTTPException):
                    outcome.append((request, None))
                    return

        callers = [threading.Thread(target=keep_calling) for _ in range(4)]
        for caller in callers:
            caller.start()
        time.sleep(0.3)
        leaving.signal(signal.SIGTERM)
        self.assertEqual(leaving.popen.wait(GRACE), 0)
        for caller in callers:
            caller.join(5)
        ran = {run["id"] for server in self.world.plains for run in server.requests}
        self.assertEqual([request for request, answer in outcome if answer is None and request in ran], [])

    def test_stopping_machine_cuts_no_stream_that_it_took(self):
        """Callers keep the directory's answer for three times its time. Short requests are served all the while."""
        for engine in self.world.engines:
            engine.events, engine.pace = 20, 0.2
        leaving = self.world.nodes[0]
        lock, ended, short, threads = threading.Lock(), [], [], []

        def stream(number):
            request, sent_at = f"stream{number}", time.monotonic()
            connection = http.client.HTTPConnection(leaving.ip, leaving.ports["front"], timeout=9)
            try:
                connection.connect()
            except OSError:
                return
            entry = {"id": request, "sent": sent_at, "status": 0, "complete": False, "closes": None}
            try:
                connection.request("POST", "/talks/1", b"prompt", {
                    "Host": HOST, "Authorization": f"Bearer {KEY}", "X-Request-Id": request, "X-Deadline-Ms": "9000"})
                response = connection.getresponse()
                entry["status"], entry["closes"] = response.status, response.getheader("Connection")
                entry["retry_after"], entry["head"] = response.getheader("Retry-After"), time.monotonic()
                response.read()
                entry["complete"] = True
            except (OSError, http.client.HTTPException):
                pass
            connection.close()
            with lock:
                ended.append(entry)

        def begin(number):
            threads.append(threading.Thread(target=stream, args=(number,)))
            threads[-1].start()
        for number in range(10):
            begin(number)
        time.sleep(4.5)
        leaving.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        while time.monotonic() - stopped_at < 6.2:
            begin(len(threads))
            try:
                short.append(leaving.call("POST", "/orders/1", headers={"X-Deadline-Ms": "1000"})[0])
            except OSError:
                short.append("cut")
            time.sleep(0.1)
        self.assertEqual(leaving.popen.wait(GRACE), 0)
        for thread in threads:
            thread.join(10)
        ran = {run["id"] for engine in self.world.engines for run in engine.requests}
        late = [entry for entry in ended if entry["sent"] - stopped_at > 0]
        print("streams after SIGTERM:", collections.Counter((entry["status"], entry["complete"]) for entry in late))
        self.assertEqual([entry for entry in ended if entry["id"] in ran and not entry["complete"]], [])
        refused = [entry for entry in late if entry["status"] == 503]
        self.assertTrue(refused)
        self.assertEqual([entry for entry in refused if entry["id"] in ran], [])
        for entry in refused:
            self.assertLess(entry["head"] - entry["sent"], 0.5)
            self.assertEqual(entry["closes"], "close")
            self.assertLess(float(entry["retry_after"]), 0.2)
        self.assertTrue([entry for entry in late if entry["status"] == 200])
        self.assertEqual(set(short), {200})

    def check_batch_calls_while_stopping(self, during_stop):
        """Submissions and waiting reads at a machine that stops, all the while; none may lose its answer."""
        for engine in self.world.engines:
            engine.pace = 2.0
        leaving = next(node for node in self.world.nodes if node is not self.world.holder())
        self.assertEqual(self.world.submit(leaving, "first", 3), 202)
        lock, outcome, threads = threading.Lock(), [], []

        def call(kind, number):
            connection = http.client.HTTPConnection(leaving.ip, leaving.ports["front"], timeout=12)
            try:
                connection.connect()
            except OSError:
                return
            headers = {"Host": HOST, "Authorization": f"Bearer {KEY}", "X-Request-Id": f"{kind}{number}"}
            try:
                if kind == "submit":
                    headers["X-Deadline-Ms"] = "20000"
                    connection.request("POST", f"/steps/{kind}{number}", self.world.batch(3, 1, 10 + 3 * number), headers)
                else:
                    headers["X-Wait-Ms"] = "1000"
                    connection.request("GET", "/v1/lots/first?after=0", headers=headers)
                answer = connection.getresponse()
                answer.read()
                ended = (kind, answer.status)
            except (OSError, http.client.HTTPException):
                ended = (kind, "cut")
            connection.close()
            with lock:
                outcome.append(ended)
        during_stop()
        leaving.signal(signal.SIGTERM)
        stopped_at = time.monotonic()
        while time.monotonic() - stopped_at < 6.6:
            for kind in ("submit", "read"):
                threads.append(threading.Thread(target=call, args=(kind, len(threads))))
                threads[-1].start()
            time.sleep(0.3)
        self.assertEqual(leaving.popen.wait(GRACE), 0)
        for thread in threads:
            thread.join(12)
        counts = collections.Counter(outcome)
        print("batch calls:", counts)
        self.assertFalse([ended for ended in counts if ended[1] == "cut"])
        return counts

    def test_stopping_machine_answers_batch_calls(self):
        counts = self.check_batch_calls_while_stopping(lambda: None)
        self.assertEqual({status for kind, status in counts if kind == "submit"}, {202})
        self.assertEqual({status for kind, status in counts if kind == "read"}, {200})

    def test_stopping_machine_answers_batch_calls_while_the_store_is_away(self):
        def lose_store():
            self.world.store.mode = "silent"
        counts = self.check_batch_calls_while_stopping(lose_store)
        self.assertIn(("submit", 503), counts)
        self.assertNotIn(("submit", 202), counts)

    def test_return_of_the_store_is_noticed_while_a_caller_waits(self):
        self.world.store.mode = "silent"
        time.sleep(3)
        outcome = []
        waiting = threading.Thread(target=lambda: outcome.append(self.world.submit(self.world.nodes[1], "b1", 3)))
        waiting.start()
        time.sleep(1.3)
        self.world.store.mode = "up"
        returned = time.monotonic()
        waiting.join(5)
        self.assertEqual(outcome, [202])
        self.assertLess(time.monotonic() - returned, NOTICE_BOUND)

    def test_holder_that_is_stopped_while_the_store_is_away_goes_on_until_it_is_back(self):
        for engine in self.world.engines:
            engine.pace = 0.3
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", 9), 202)
        time.sleep(0.4)
        holder = self.world.holder()
        self.world.store.mode = "silent"
        time.sleep(2)
        holder.signal(signal.SIGTERM)
        time.sleep(1.5)
        self.world.store.mode = "up"
        reader = next(node for node in self.world.nodes if node is not holder)
        self.check_results(self.world.wait_results(reader, "b1", 9, 12), 9)
        self.assertEqual(sum(len(engine.requests) for engine in self.world.engines), 9)
        self.assertEqual(holder.popen.wait(GRACE), 0)

    def test_some_partitions_away_hold_up_no_batch_and_no_results(self):
        self.world.store.silent_partitions = {("bulk", number) for number in range(3)}
        for number in range(1, 4):
            self.assertEqual(self.world.submit(self.world.nodes[number % 3], f"b{number}", 6), 202)
        for number in range(1, 4):
            self.check_results(self.world.wait_results(self.world.nodes[0], f"b{number}", 6, 8), 6)


class HolderBehind(unittest.TestCase):
    def test_batch_of_a_route_that_the_holder_has_not_read_yet_is_run(self):
        """The machine in charge took a route that it had not read yet for one that was removed, and gave all items up."""
        world = PathsWorld()
        self.addCleanup(world.close)
        holder = world.holder()
        other = next(node for node in world.nodes if node is not holder)
        world.deaf.add((holder.name, "keyed.op"))
        configuration = json.loads(world.store.partition("keyed.op").newest["config"][0])
        steps = next(route for route in configuration["routes"] if route["name"] == "steps")
        world.configure(routes=[*configuration["routes"], {**steps, "name": "fresh", "path_prefix": "/fresh/"}])
        body = world.batch(20).replace(b"/steps/", b"/fresh/")
        headers = {"X-Request-Id": "b1", "X-Deadline-Ms": "12000"}
        eventually(lambda: other.call("POST", "/fresh/b1", body, headers=headers)[0] == 202, CONFIGURATION_BOUND,
                   "accepted by the machine that knows the route")
        results = world.wait_results(other, "b1", 20)
        self.assertEqual({result["state"] for result in results}, {"completed"})
