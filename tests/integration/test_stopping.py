"""A machine that is stopped as planned, in calm: what it passes on to a server is answered before its process ends."""

import collections
import http.client
import signal
import threading
import time
import unittest

from platformworld.world import HOST, KEY, World

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


if __name__ == "__main__":
    unittest.main()
