"""A machine that is stopped as planned, in calm: what it passes on to a server is answered before its process ends."""

import collections
import http.client
import signal
import threading
import time
import unittest

from platformworld.paths import PathsWorld
from platformworld.world import HOST, KEY, World, eventually

GRACE = 8
#: Callers go on until the process has ended.
CALLING_SECONDS = GRACE - 0.2
INTERVAL = 0.05
#: One in so many callers has connected before the stop.
EARLY = 3


class Stopping(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.addCleanup(self.world.close)
        self.node = self.world.nodes[0]
        self.ended = []

    def set_work(self, seconds):
        for server in self.world.plains:
            server.work = seconds

    def connect(self):
        connection = http.client.HTTPConnection(self.node.ip, self.node.ports["front"], timeout=12)
        connection.connect()
        return connection

    def call(self, request, connection=None):
        try:
            connection = connection or self.connect()
        except OSError:
            return
        try:
            connection.request("POST", "/once/1", b"mats", {
                "Host": HOST, "Authorization": f"Bearer {KEY}", "X-Request-Id": request, "X-Deadline-Ms": "10000"})
            answer = connection.getresponse()
            answer.read()
            self.ended.append((request, answer.status))
        except (OSError, http.client.HTTPException):
            self.ended.append((request, "cut"))
        connection.close()

    def stop_under_load(self, work_before, work_after):
        self.set_work(work_before)
        for number in range(10):
            self.call(f"before{number}")
        self.set_work(work_after)
        early = [self.connect() for _ in range(int(CALLING_SECONDS / INTERVAL / EARLY) + 1)]
        self.node.signal(signal.SIGTERM)
        stopped, threads = time.monotonic(), []
        while time.monotonic() - stopped < CALLING_SECONDS:
            number = len(threads)
            connection = early.pop() if number % EARLY == 0 and early else None
            threads.append(threading.Thread(target=self.call, args=(f"late{number}", connection)))
            threads[-1].start()
            time.sleep(INTERVAL)
        self.assertEqual(self.node.popen.wait(GRACE), 0)
        for thread in threads:
            thread.join(15)
        runs = collections.Counter(run["id"] for server in self.world.plains for run in server.requests)
        late = [(status, runs[request]) for request, status in self.ended if request.startswith("late")]
        print("late requests, (status, runs):", dict(collections.Counter(late)))
        self.assertEqual([entry for entry in late if entry[0] == "cut" and entry[1] > 0], [])
        self.assertEqual([entry for entry in late if entry[0] in (429, 503) and entry[1] > 0], [])
        self.assertLessEqual(max(runs.values()), 1)
        self.assertTrue([entry for entry in late if entry[0] == 200])
        return late

    def test_late_requests_that_run_once_are_answered(self):
        late = self.stop_under_load(1.5, 1.5)
        self.assertTrue({status for status, runs in late if runs > 0} <= {200})

    def test_late_requests_that_last_longer_than_before_are_answered(self):
        self.stop_under_load(0.2, 2.5)


class Unfinished(unittest.TestCase):
    """What a machine that stops can't finish it does not take, or it says so before it ends."""

    SHORT, LONG = 0.02, 9.0
    #: Seconds after the SIGTERM from which only a time limit tells that a request ends in time.
    LATE_FROM = 3.2
    KINDS = ("/orders/1", "/once/1", "/talks/1")

    def setUp(self):
        self.world = World()
        self.addCleanup(self.world.close)
        self.node = next(node for node in self.world.nodes if node is not self.world.holder())
        self.lock, self.ended, self.threads = threading.Lock(), {}, []

    def connect(self):
        connection = http.client.HTTPConnection(self.node.ip, self.node.ports["front"], timeout=14)
        connection.connect()
        return connection

    def call(self, name, path, connection, method="POST", headers=None):
        """The status and Retry-After of one call; None if its connection ended without a whole answer."""
        outcome = None
        try:
            connection.request(method, path, b"mats" if method == "POST" else b"", {
                "Host": HOST, "Authorization": f"Bearer {KEY}", "X-Request-Id": name, **(headers or {})})
            answer = connection.getresponse()
            answer.read()
            outcome = answer.status, answer.getheader("Retry-After")
        except (OSError, http.client.HTTPException):
            pass
        connection.close()
        with self.lock:
            self.ended[name] = outcome

    def begin(self, *call, **options):
        self.threads.append(threading.Thread(target=self.call, args=call, kwargs=options))
        self.threads[-1].start()

    def set_work(self, seconds):
        for server in self.world.plains:
            server.work = seconds
        for engine in self.world.engines:
            engine.events, engine.pace = 2, seconds / 2

    def learn(self):
        """Requests of each kind have been short until now."""
        self.set_work(self.SHORT)
        for number in range(70):
            for path in self.KINDS:
                self.call(f"learn{path}{number}", path, self.connect())
        self.assertEqual({outcome[0] for outcome in self.ended.values()}, {200})
        self.ended.clear()

    def runs(self, name):
        return sum(run["id"] == name for server in self.world.plains + self.world.engines for run in server.requests)

    def finish(self):
        self.assertEqual(self.node.popen.wait(GRACE), 0)
        for thread in self.threads:
            thread.join(15)

    def check_outcomes(self):
        for name, outcome in sorted(self.ended.items()):
            with self.subTest(request=name):
                self.assertIsNotNone(outcome, "cut")
                if outcome[0] in (429, 503):
                    self.assertEqual(self.runs(name), 0)

    def test_late_requests_that_may_outlast_the_machine_are_refused(self):
        self.learn()
        self.set_work(self.LONG)
        limits = {"limited": {"X-Deadline-Ms": "9000"}, "unlimited": {}}
        early = [(f"{name}{path}{at}", path, self.connect(), at, headers) for name, headers in limits.items()
                 for path in self.KINDS for at in (0, 1, 2)]
        # A machine without work ends sooner.
        self.begin("busy", "/orders/1", self.connect())
        time.sleep(0.1)
        self.node.signal(signal.SIGTERM)
        stopped = time.monotonic()
        for name, path, connection, at, headers in sorted(early, key=lambda entry: entry[3]):
            time.sleep(max(0.0, stopped + self.LATE_FROM + at - time.monotonic()))
            self.begin(name, path, connection, headers=headers)
        self.finish()
        busy = self.ended.pop("busy")
        self.assertEqual(len(self.ended), len(early))
        for name, outcome in sorted(self.ended.items()):
            with self.subTest(request=name):
                self.assertEqual(outcome and outcome[0], 503)
                self.assertLess(float(outcome[1]), 0.2)
                self.assertEqual(self.runs(name), 0)
        self.assertEqual(busy and busy[0], 502)

    def test_early_requests_that_outlast_the_machine_get_an_answer(self):
        self.learn()
        self.set_work(self.LONG)
        self.node.signal(signal.SIGTERM)
        stopped = time.monotonic()
        for number in range(6):
            time.sleep(max(0.0, stopped + 0.3 + 0.4 * number - time.monotonic()))
            for path in self.KINDS[:2]:
                self.begin(f"early{path}{number}", path, self.connect(), headers={"X-Deadline-Ms": "10000"})
        self.finish()
        print("early requests:", collections.Counter(outcome and outcome[0] for outcome in self.ended.values()))
        self.check_outcomes()
        self.assertTrue({outcome[0] for outcome in self.ended.values()} <= {502, 503, 504})

    def test_second_sigterm_changes_nothing(self):
        self.learn()
        self.set_work(0.5)
        kept = [self.connect() for _ in range(15)]
        self.node.signal(signal.SIGTERM)
        stopped = time.monotonic()
        for number, connection in enumerate(kept):
            time.sleep(max(0.0, stopped + 0.4 * number - time.monotonic()))
            if number in (2, 5, 9, 14):
                self.node.signal(signal.SIGTERM)
            for path in self.KINDS:
                self.begin(f"second{path}{number}", path, connection if path == self.KINDS[0] else self.connect(),
                           headers={"X-Deadline-Ms": "1000"})
        self.finish()
        self.assertLess(time.monotonic() - stopped, GRACE)
        self.check_outcomes()
        self.assertGreater([outcome[0] for outcome in self.ended.values()].count(200), len(self.ended) // 2)

    def test_calls_on_batches_are_answered_while_the_store_is_away(self):
        for engine in self.world.engines:
            engine.pace = 3.0
        self.assertEqual(self.world.submit(self.node, "first", 3), 202)
        calls = {"read": ("GET", "/v1/lots/first?after=0", {"X-Wait-Ms": "1000"}),
                 "unknown": ("GET", "/v1/lots/none?after=0", {"X-Wait-Ms": "1000"}),
                 "body": ("GET", "/v1/items/first?id=item1", {}), "end": ("DELETE", "/v1/lots/first", {})}
        late = [(f"{kind}{number}", *calls[kind], self.connect()) for number in range(22) for kind in calls]
        self.world.store.mode = "silent"
        self.node.signal(signal.SIGTERM)
        stopped = time.monotonic()
        for number, (name, method, path, headers, connection) in enumerate(late):
            time.sleep(max(0.0, stopped + 0.3 * (number // len(calls)) - time.monotonic()))
            self.begin(name, path, connection, method=method, headers=headers)
        self.finish()
        print("calls on batches:", collections.Counter((name.rstrip("0123456789"), outcome and outcome[0])
                                                       for name, outcome in self.ended.items()))
        for name, outcome in sorted(self.ended.items()):
            with self.subTest(call=name):
                self.assertIsNotNone(outcome, "cut")
                self.assertNotEqual(outcome[0], 404)


class UnfinishedRelays(unittest.TestCase):
    """Submissions that one machine hands to another: when either stops, what their callers hear is true."""

    COUNT = 70
    INTERVAL = 0.1
    #: Seconds of each of the store's answers, so that many submissions are under way.
    SLOW = 0.25

    def setUp(self):
        self.world = PathsWorld()
        self.addCleanup(self.world.close)
        self.relaying, self.keeping, self.other = sorted(self.world.nodes, key=lambda node: node is self.world.holder())
        self.lock, self.ended = threading.Lock(), {}
        for server in self.world.plains:
            server.work = GRACE + 1.0
        self.world.cut_off(self.relaying)
        eventually(lambda: self.world.submit(self.relaying, "first", 1) == 202, 10, "a submission relayed")
        self.world.store.slow = self.SLOW

    @staticmethod
    def connect(node):
        connection = http.client.HTTPConnection(node.ip, node.ports["front"], timeout=14)
        connection.connect()
        return connection

    def submit(self, batch, connection):
        self.call(batch, f"/steps/{batch}", self.world.batch(1), connection)

    def call(self, name, path, body, connection):
        outcome = None
        try:
            connection.request("POST", path, body, {
                "Host": HOST, "Authorization": f"Bearer {KEY}", "X-Request-Id": name, "X-Deadline-Ms": "12000"})
            answer = connection.getresponse()
            answer.read()
            outcome = answer.status
        except (OSError, http.client.HTTPException):
            pass
        connection.close()
        with self.lock:
            self.ended[name] = outcome

    def status(self, batch):
        return self.other.call("GET", f"/v1/lots/{batch}?after=0", headers={"X-Wait-Ms": "200"})[0]

    def stop_while_submissions_run(self, node):
        connections = [self.connect(self.relaying) for _ in range(self.COUNT)]
        # A machine without work ends sooner.
        threads = [threading.Thread(target=self.call, args=("busy", "/orders/1", b"mats", self.connect(node)))]
        threads[0].start()
        for number, connection in enumerate(connections):
            if number == self.COUNT // 10:
                node.signal(signal.SIGTERM)
                stopped = time.monotonic()
            threads.append(threading.Thread(target=self.submit, args=(f"b{number}", connection)))
            threads[-1].start()
            time.sleep(self.INTERVAL)
        self.assertEqual(node.popen.wait(max(0.1, stopped + GRACE - time.monotonic())), 0)
        for thread in threads:
            thread.join(15)
        self.world.store.slow = 0.0
        self.assertEqual(self.ended.pop("busy"), 502)
        print("relayed submissions:", collections.Counter(self.ended.values()))
        self.assertEqual(len(self.ended), self.COUNT)
        self.assertIn(202, self.ended.values())
        for batch, outcome in sorted(self.ended.items()):
            with self.subTest(batch=batch):
                self.assertIn(outcome, (202, 502, 503))
                if outcome != 502:
                    eventually(lambda: self.status(batch) == (200 if outcome == 202 else 404), 5, f"{batch}, {outcome}")

    def test_submissions_are_answered_truly_when_the_machine_that_relays_stops(self):
        self.stop_while_submissions_run(self.relaying)

    def test_submissions_are_answered_truly_when_the_machine_that_keeps_stops(self):
        self.stop_while_submissions_run(self.keeping)


if __name__ == "__main__":
    unittest.main()
