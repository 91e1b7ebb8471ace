"""Callers inside the limits of the configuration, alone and beside a crowd without an API key."""

import socket
import time
import unittest

from relay_case import HOST, RelayCase

MAX_BODY = 4 * 1024 * 1024


class CallersInsideLimitsTest(RelayCase):
    MORE_SETTINGS = "[limits]\nmemory_mib = 64\ndescriptors = 700\n"
    CALLER_LIMITS = {"max_body_bytes": MAX_BODY, "header_timeout_ms": 10000, "idle_timeout_ms": 60000}

    def delivered(self):
        return [len(seen["body"]) for replica in self.replicas for seen in replica.seen]

    # Guards against limits of a process that refuse what the configuration allows.
    def test_largest_body_is_served(self):
        for _ in range(3):
            self.assertEqual(self.ask("POST", "/order/1", body=b"x" * MAX_BODY)[0].status, 200)
        self.assertEqual(self.delivered(), [MAX_BODY] * 3)

    # Guards against callers without a key that use up the memory of callers with one.
    def test_crowd_without_key_costs_callers_with_key_nothing(self):
        head = (f"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: crowd\r\n"
                f"Content-Length: {MAX_BODY}\r\n\r\n").encode()
        for _ in range(20):
            caller = socket.create_connection((HOST, self.entries[0].callers), timeout=5)
            self.addCleanup(caller.close)
            caller.sendall(head + b"x" * 1000)
        for number in range(5):
            answer = self.ask("POST", "/order/2", body=b"x" * MAX_BODY, **{"Attempt-Id": f"own-{number}"})[0]
            self.assertEqual(answer.status, 200)

    # Guards against a caller that is slow but steady, and is taken for one that stalls.
    def test_slow_and_steady_body_is_served(self):
        head = (b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: slow\r\nDeadline-Ms: 3000\r\n"
                b"Api-Key: key-1\r\nContent-Length: 2000\r\n\r\n")
        caller = socket.create_connection((HOST, self.entries[0].callers), timeout=5)
        self.addCleanup(caller.close)
        caller.sendall(head)
        for _ in range(20):
            time.sleep(0.1)
            caller.sendall(b"x" * 100)
        self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 200"))


if __name__ == "__main__":
    unittest.main()
