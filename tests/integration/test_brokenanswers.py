"""Answers that break HTTP, at each place of the system that reads answers: none may reach a caller as an answer or
change what the system knows, and none may hold up its caller."""

import json
import threading
import time
import unittest

from harness.case import ClusterCase
from platformworld.brokenanswers import FORMS, SMUGGLED, SMUGGLED_STAMP, Breaker
from platformworld.httpd import Answer, Loop, Server
from platformworld.servers import bytes_without_end
from platformworld.streamclient import StreamClient
from platformworld.texts import parse_event
from platformworld.world import MODEL, World, eventually

TIME_LIMIT = 10.0
#: Of a time limit; a caller that waited it out got nothing from the broken answer.
AT_ONCE = TIME_LIMIT / 2
ITEMS = 12
EVENTS = 6
#: How long the answers of the store are broken.
STORE_TROUBLE = 2.0
#: How long the answers to the status checks of the standalone programs are broken.
CHECK_TROUBLE = 2.0
#: Of each sample that a standalone step has scored, and the time for all of them.
SCORE, SCORING_TIME = 0.5, 40.0
#: Memory of one standalone process.
PROCESS_MEMORY_MB = 128
#: Memory of the smallest machine of the users' deployments.
SMALLEST_MACHINE_MB = 160
#: How long scorers answer without end.
ENDLESS_SECONDS = 3.0
#: Scorers whose answers don't end, and items that wait for them.
ENDLESS_SCORERS, ENDLESS_ITEMS = 20, 80
#: Callers at a time of a server whose answers don't end.
ENDLESS_CALLERS = 12


def peak_mb(popen) -> float:
    """The most memory that a process has had."""
    with open(f"/proc/{popen.pid}/status", encoding="ascii") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM:")) / 1024


class BrokenAnswers(unittest.TestCase):
    def setUp(self):
        self.world = World(scorers={"test_of_scores": 2, "test_endless_scores": ENDLESS_SCORERS}.get(
            self._testMethodName, 0))
        self.addCleanup(self.world.close)

    def spoil(self, servers, breaker):
        for server in servers:
            server.server.spoil = breaker

    def runs(self, request):
        return sum(run["id"] == request for server in self.world.plains + self.world.engines for run in server.requests)

    def check_refusal(self, status, request):
        """A failure, and one that promises that nothing has run is true."""
        self.assertIn(status, (502, 503))
        if status == 503:
            self.assertEqual(self.runs(request), 0)

    def check_results(self, results):
        self.assertEqual(sorted(result["id"] for result in results), sorted(f"item{number}" for number in range(ITEMS)))
        for result in results:
            self.assertEqual(result["state"], "completed")
            events = [parse_event(line) for line in result["text"].split("\n")]
            self.assertEqual([(event.item, event.number) for event in events],
                             [(result["id"], number) for number in range(1, EVENTS + 1)])

    def test_of_requests(self):
        node = self.world.nodes[0]
        for form in FORMS:
            for path in ("/once/1", "/orders/1"):
                with self.subTest(form=form, path=path):
                    breaker = Breaker()
                    breaker.forms = [form]
                    self.spoil(self.world.plains, breaker)
                    request = f"{path[1:5]}-{form}"
                    started = time.monotonic()
                    status, body, headers = node.call("POST", path, b"mats", headers={
                        "X-Request-Id": request, "X-Deadline-Ms": str(int(TIME_LIMIT * 1000))}, timeout=TIME_LIMIT + 2)
                    took = time.monotonic() - started
                    print(form, path, status, body[:20], f"{took:.2f} s")
                    self.spoil(self.world.plains, None)
                    self.check_refusal(status, request)
                    self.assertLess(took, AT_ONCE)
                    self.assertNotIn(SMUGGLED, body)
                    self.assertLessEqual(self.runs(request), 1 if path == "/once/1" else 2)
                    self.assertTrue(breaker.broken)
                eventually(lambda: node.call("POST", "/once/1", b"mats")[:2] == (200, b"done:mats"), 10,
                           "service after the broken answer")

    def test_of_streams(self):
        node = self.world.nodes[0]
        for form in FORMS:
            with self.subTest(form=form):
                breaker = Breaker()
                breaker.forms = [form]
                self.spoil(self.world.engines, breaker)
                client = StreamClient("broken")
                started = time.monotonic()
                status = client.open(node, timeout=TIME_LIMIT + 2)
                took = time.monotonic() - started
                print(form, status, f"{took:.2f} s")
                client.close()
                self.spoil(self.world.engines, None)
                self.check_refusal(status, client.first_request)
                self.assertLess(took, AT_ONCE)
                self.assertTrue(breaker.broken)

            def is_served():
                sound = StreamClient("sound")
                whole = sound.open(node) == 200 and sound.read(EVENTS) and sound.in_order
                sound.close()
                return whole
            eventually(is_served, 10, "a stream after the broken answer")

    def test_of_items(self):
        breaker = Breaker(each=1, concerns=lambda request: request.path.startswith("/steps/"))
        self.spoil(self.world.engines, breaker)
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", ITEMS), 202)
        results = self.world.wait_results(self.world.nodes[1], "b1", ITEMS, 20)
        self.check_results(results)
        self.assertEqual(breaker.broken, len(FORMS))

    def test_of_scores(self):
        breaker = Breaker(each=1)
        self.spoil(self.world.scorers, breaker)
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", ITEMS), 202)
        results = self.world.wait_results(self.world.nodes[1], "b1", ITEMS, 25)
        self.check_results(results)
        stamps = {call["stamp"] for scorer in self.world.scorers for call in scorer.requests}
        for result in results:
            self.assertIn(result["score"], stamps)
            self.assertNotEqual(result["score"], SMUGGLED_STAMP)
        self.assertEqual(breaker.broken, len(FORMS))

    def test_endless_scores(self):
        for scorer in self.world.scorers:
            scorer.endless = True
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", ENDLESS_ITEMS), 202)
        eventually(lambda: sum(len(scorer.requests) for scorer in self.world.scorers) > ENDLESS_ITEMS, 20, "calls")
        time.sleep(ENDLESS_SECONDS)
        peaks = [round(peak_mb(node.popen)) for node in self.world.nodes]
        print("peaks in MB:", peaks)
        self.assertLess(max(peaks), SMALLEST_MACHINE_MB)
        self.assertTrue(all(node.running() for node in self.world.nodes))

    def test_of_reports_and_orders(self):
        breaker = Breaker(each=1, concerns=lambda request: request.path in ("/v1/report", "/v1/order"))
        self.spoil(self.world.engines, breaker)
        self.world.name_version(2)
        eventually(lambda: all(engine.version == 2 for engine in self.world.engines), 20, "version 2 everywhere")
        self.assertTrue(breaker.broken)
        self.assertEqual([len(engine.orders) for engine in self.world.engines], [1] * len(self.world.engines))
        self.assertEqual({order["model"] for engine in self.world.engines for order in engine.orders}, {MODEL})
        self.spoil(self.world.engines, None)
        self.assertEqual(self.world.submit(self.world.nodes[0], "b1", ITEMS, min_version=2), 202)
        self.check_results(self.world.wait_results(self.world.nodes[0], "b1", ITEMS))

    def test_of_the_store(self):
        breaker = Breaker()
        self.world.store_server.spoil = breaker
        ends = time.monotonic() + STORE_TROUBLE
        statuses = []
        while time.monotonic() < ends:
            statuses.append(self.world.submit(self.world.nodes[len(statuses) % 3], "b1", ITEMS))
        self.world.store_server.spoil = None
        print("submissions:", statuses, "broken answers:", breaker.broken)
        self.assertFalse(set(statuses) - {202, 429, 502, 503, 504})
        self.assertTrue(breaker.broken)
        eventually(lambda: self.world.submit(self.world.nodes[0], "b1", ITEMS) == 202, 10, "a batch accepted")
        results = self.world.wait_results(self.world.nodes[1], "b1", ITEMS, 20)
        self.check_results(results)
        for node in self.world.nodes:
            self.assertTrue(node.running())
            self.assertEqual(self.world.wait_results(node, "b1", ITEMS), results)

    def test_of_the_platform(self):
        breaker = Breaker(each=1)
        self.world.cloud_server.spoil = breaker
        for number in range(20):
            self.assertEqual(self.world.nodes[number % 3].call("POST", "/orders/1")[0], 200)

        def figures():
            return {window: counts for _, window, counts in list(self.world.usage)}
        eventually(lambda: not breaker.forms, 60, "every form sent")
        eventually(lambda: sum(counts.get("amend", 0) for counts in figures().values()) == 20, 15, "20 requests reported")
        for _, window, counts in self.world.usage:
            self.assertEqual(figures()[window], counts)
        windows = sorted(figures())
        self.assertEqual(windows, list(range(windows[0], windows[-1] + 1)))


class Standalone(ClusterCase):
    """The standalone programs before a plain server of ours, which takes the place of the stand-in's process."""

    options = {"vms": 1, "engines": 3, "plains": 1}

    def setUp(self):
        super().setUp()
        self.loop, self.ran, self.endless = Loop(), [], lambda request: False
        self.addCleanup(self.loop.close)
        name = f"{self.deployment.plain.name}-0"
        self.cluster.processes[name].kill()
        host, port = self.cluster.server_target(name).split(":")
        self.server = Server(self.loop, host, int(port), self.handle).start()
        self.addCleanup(self.server.stop)
        self.wait_service()

    async def handle(self, request):
        headers = {"X-Boot-Id": "second", "Content-Type": "application/json"}
        is_check = request.path == "/health"
        if self.endless(request):
            return Answer(200, headers, chunks=bytes_without_end())
        if is_check:
            return Answer(200, headers, json.dumps({"boot_id": "second", "cold": False, "running": 0}).encode())
        call = json.loads(request.body)
        if "slot" in call:
            return Answer(200, headers, json.dumps({"score": SCORE}).encode())
        self.ran.append(call["order"])
        return Answer(200, headers, b'{"confirmation": "ours"}')

    def wait_service(self):
        eventually(lambda: self.order("ordinary").status == 200, 15, "orders are served")

    def check_memory(self):
        peaks = {name: round(peak_mb(self.cluster.processes[name].popen)) for name in ("gateway-0", "dispatcher-0", "controller-0")}
        print("peaks in MB:", peaks)
        for name, peak in peaks.items():
            self.assertTrue(self.cluster.processes[name].alive(), name)
            self.assertLess(peak, PROCESS_MEMORY_MB, name)

    def test_of_orders(self):
        for form in FORMS:
            with self.subTest(form=form):
                breaker = Breaker(concerns=lambda request: request.path == "/orders")
                breaker.forms = [form]
                self.server.spoil = breaker
                started = time.monotonic()
                answer = self.order(form, timeout=TIME_LIMIT + 2)
                took = time.monotonic() - started
                print(form, answer.status, answer.text[:60], f"{took:.2f} s")
                self.server.spoil = None
                self.assertGreaterEqual(answer.status, 500)
                self.assertLess(answer.status, 600)
                self.assertEqual(answer.json()["error"]["ran"], "unknown" if form in self.ran else "not_run")
                self.assertLess(took, AT_ONCE)
                self.assertLessEqual(self.ran.count(form), 1)
                self.assertTrue(breaker.broken)
            self.wait_service()

    def test_of_scores(self):
        """A broken answer to a scoring call gives no score, and its sample is scored or made again."""
        breaker = Breaker(each=1, concerns=lambda request: b'"slot"' in request.body)
        self.server.spoil = breaker
        step = {"step": "scored", "epoch": 1, "service": self.deployment.engine.name, "max_staleness": 3,
                "trainer_version": 0, "scoring": self.deployment.plain.name,
                "groups": [{"group": "g", "prompt": "p", "samples": len(FORMS), "max_tokens": 4, "seed": 1}]}
        self.assertEqual(self.cluster.call(0, "POST", "/v1/steps", step, self.key).status, 201)
        scores, held, ends = {}, [], time.monotonic() + SCORING_TIME
        while len(scores) < len(FORMS) and time.monotonic() < ends:
            answer = self.cluster.call(0, "POST", "/v1/steps/scored/pull", {
                "epoch": 1, "trainer_version": 0, "acknowledge": held, "max": 64, "wait_ms": 1000}, self.key)
            self.assertEqual(answer.status, 200, answer.text)
            held = [sample["slot"] for sample in answer.json()["samples"]]
            scores.update({sample["slot"]: sample["score"] for sample in answer.json()["samples"]})
        print("scores:", scores, "broken answers:", breaker.broken)
        self.assertEqual(list(scores.values()), [SCORE] * len(FORMS))
        self.assertEqual(breaker.broken, len(FORMS))

    def test_of_status_checks(self):
        breaker = Breaker(concerns=lambda request: request.path == "/health")
        self.server.spoil = breaker
        time.sleep(CHECK_TROUBLE)
        self.server.spoil = None
        self.assertTrue(breaker.broken)
        self.wait_service()
        self.check_memory()

    def test_endless_answers_to_orders(self):
        self.endless = lambda request: request.path == "/orders"
        callers = [threading.Thread(target=self.order, args=(f"endless-{number}",)) for number in range(ENDLESS_CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.endless = lambda request: False
        self.check_memory()
        self.wait_service()

    def test_endless_answers_to_status_checks(self):
        self.endless = lambda request: request.path == "/health"
        time.sleep(CHECK_TROUBLE)
        self.endless = lambda request: False
        self.check_memory()
        self.wait_service()
