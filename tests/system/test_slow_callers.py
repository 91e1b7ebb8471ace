"""Callers that do not read their answers, and a replica that does not read a request."""

import concurrent.futures
import http.client
import socket
import time
import unittest

from relay_case import HOST, ROUTES, RelayCase, configuration

WRITE_TIMEOUT_S = 2.0
# What the kernel holds of one answer on both connections of a loopback, and the buffers of the entry process.
MAX_TAKEN = 24 * 1024 * 1024
LARGE = 4 * 1024 * 1024 - 1


class SlowCallersTest(RelayCase):
    REPLICAS = 1

    def setUp(self):
        super().setUp()
        changed = configuration(5, ROUTES)
        changed["limits"].update({"idle_timeout_ms": int(WRITE_TIMEOUT_S * 1000), "max_body_bytes": 8 * 1024 * 1024})
        self.store.put("op/config", changed)
        self.replica = self.replicas[0]
        self.store.put("servers/" + self.replica.name, {**self.replica.entry("svc", sequence=5), "slots": 2})
        time.sleep(0.5)

    def memory_kib(self):
        with open(f"/proc/{self.entries[0].process.pid}/status", encoding="ascii") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmRSS"))

    def send_unread(self, method, path, number=0):
        """Sends a request whose answer is not read. Returns the connection."""
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.connect((HOST, self.entries[0].callers))
        caller.sendall(f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: slow-{number}\r\n"
                       "Api-Key: key-1\r\nDeadline-Ms: 30000\r\nContent-Length: 0\r\n\r\n".encode())
        return caller

    def read_all(self, caller):
        """Reads what has been sent. Returns the body, or the exception of one that was cut off."""
        caller.settimeout(5)
        response = http.client.HTTPResponse(caller)
        response.begin()
        try:
            return response.read()
        except (http.client.IncompleteRead, ConnectionError) as error:
            return error

    # Guards against a process that holds the stream of a caller that does not read, keeps its slot, or delays other
    # requests of the same upstream.
    def test_unread_stream_takes_neither_memory_nor_slot(self):
        before = self.memory_kib()
        self.replica.plan = ["flood", "ok"]
        caller = self.send_unread("POST", "/tale/1")
        self.wait_for(lambda: self.replica.flooded_bytes > 0)
        started = time.monotonic()
        while time.monotonic() < started + 0.7 * WRITE_TIMEOUT_S:
            self.assertEqual(self.ask("GET", "/look/1")[0].status, 200)
        self.assertEqual(self.replica.abandoned, 0)
        self.assertLess(self.replica.flooded_bytes, MAX_TAKEN)
        self.assertLess(self.memory_kib() - before, 8 * 1024)
        self.wait_for(lambda: self.replica.abandoned == 1, 3 * WRITE_TIMEOUT_S)
        self.assertLess(self.replica.flooded_bytes, MAX_TAKEN)
        self.assertNotIsInstance(self.read_all(caller), bytes)
        # Both slots are free: neither request waits for the other.
        self.replica.plan = ["slow 1"]
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            asked = time.monotonic()
            answers = [pool.submit(self.ask, "GET", "/look/2") for _ in range(2)]
            self.assertEqual([answer.result()[0].status for answer in answers], [200, 200])
            self.assertLess(time.monotonic() - asked, 1.9)

    # Guards against whole answers that are held for as long as their callers do not read.
    def test_unread_whole_answers_are_dropped_in_time(self):
        before = self.memory_kib()
        self.replica.plan = [f"large {LARGE}"]
        callers = [self.send_unread("GET", "/look/1", number) for number in range(6)]
        self.wait_for(lambda: self.runs() >= 6)
        self.replica.plan = ["ok"]
        for _ in range(20):
            self.assertEqual(self.ask("GET", "/look/2")[0].status, 200)
        # Each answer is held once, and once more while it is handed on.
        self.assertLess(self.memory_kib() - before, 6 * 2 * LARGE / 1024 + 8 * 1024)
        time.sleep(1.5 * WRITE_TIMEOUT_S)
        for caller in callers:
            self.assertNotIsInstance(self.read_all(caller), bytes)
        self.assertEqual(self.ask("GET", "/look/2")[0].status, 200)

    # Guards against a request body that a replica does not take and that delays other requests.
    def test_replica_that_does_not_read_holds_only_its_own_request(self):
        self.replica.unread_path = "/order/unread"
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            stuck = pool.submit(self.ask, "POST", "/order/unread", body=b"x" * (7 * 1024 * 1024),
                                **{"Deadline-Ms": "2000"})
            while not stuck.done():
                self.assertEqual(self.ask("GET", "/look/1")[0].status, 200)
            # A part of it was written, so it may have run.
            self.assertEqual(stuck.result()[0].status, 504)


if __name__ == "__main__":
    unittest.main()
