"""Callers that keep to no limit, before an entry process with little memory and few descriptors."""

import concurrent.futures
import os
import socket
import time
import unittest

from relay_case import HOST, RelayCase

MEMORY_MIB = 64
DESCRIPTORS = 700
MAX_BODY = 4 * 1024 * 1024
SEND_LIMIT_S = 5  # a caller whose bytes are not taken gives up sending, and stays connected
READ_TIME_S = 1  # in which the process reads what is in the kernel's buffers


class UntrustedCallersTest(RelayCase):
    MORE_SETTINGS = f"[limits]\nmemory_mib = {MEMORY_MIB}\ndescriptors = {DESCRIPTORS}\n"
    CALLER_LIMITS = {"max_body_bytes": MAX_BODY, "header_timeout_ms": 10000, "idle_timeout_ms": 60000}

    def setUp(self):
        super().setUp()
        self.crowd = []
        self.addCleanup(lambda: [caller.close() for caller in self.crowd])

    def process(self):
        return self.entries[0].process

    def peak_memory_kib(self):
        with open(f"/proc/{self.process().pid}/status", encoding="ascii") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.process().pid}/fd"))

    def connect(self):
        caller = socket.create_connection((HOST, self.entries[0].callers), timeout=SEND_LIMIT_S)
        self.crowd.append(caller)
        return caller

    def head(self, *fields, key="key-1"):
        lines = ["POST /order/1 HTTP/1.1", "Host: shop.example", "Attempt-Id: crowd", "Deadline-Ms: 30000", *fields]
        if key:
            lines.append("Api-Key: " + key)
        return ("\r\n".join(lines) + "\r\n").encode()

    def send(self, *parts):
        """One caller of the crowd; the process may refuse it or close its connection at any time."""
        try:
            caller = self.connect()
            for part in parts:
                caller.sendall(part)
        except OSError:
            pass

    def crowd_sends(self, count, *parts):
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            for sent in [pool.submit(self.send, *parts) for _ in range(count)]:
                sent.result()
        time.sleep(READ_TIME_S)

    def check(self):
        """The process lives within its limits and serves an ordinary caller; the crowd is still connected."""
        self.assertIsNone(self.process().poll())
        descriptors = self.descriptors()
        try:
            status = self.ask("POST", "/order/2", body=b"x" * 2000, **{"Attempt-Id": "ordinary"})[0].status
        except OSError as error:
            status = repr(error)
        self.assertIsNone(self.process().poll())
        peak = self.peak_memory_kib()
        print(f"\n{self.id().rpartition('.')[2]}: peak {peak // 1024} MiB, {descriptors} descriptors, {status}")
        self.assertLess(peak, MEMORY_MIB * 1024)
        self.assertLess(descriptors, DESCRIPTORS)
        self.assertEqual(status, 200)

    # Guards against a process that keeps all bodies that never end, and runs out of memory.
    def test_announced_bodies_that_stop_one_byte_short(self):
        for key in ("key-1", None):
            head = self.head(f"Content-Length: {MAX_BODY}", key=key) + b"\r\n"
            self.crowd_sends(30, head, b"x" * (MAX_BODY - 1))
        self.check()

    # Guards against bodies in large chunks, which are not announced and grow by reallocation.
    def test_large_chunks_that_stop_short(self):
        count, size = MAX_BODY // 60000, 60000
        chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
        self.crowd_sends(60, self.head("Transfer-Encoding: chunked") + b"\r\n", chunk * count)
        self.check()

    # Guards against chunks beyond the largest body, which are read before they are refused.
    def test_chunks_far_past_the_maximum(self):
        size = 500000
        chunk = b"%x\r\n%s\r\n" % (size, b"x" * size)
        self.crowd_sends(60, self.head("Transfer-Encoding: chunked") + b"\r\n", chunk * (3 * MAX_BODY // size))
        self.check()

    # Guards against chunks whose framing costs far more than their payload.
    def test_chunks_of_one_byte(self):
        chunks = b"1\r\nx\r\n" * (1024 * 1024)
        self.crowd_sends(60, self.head("Transfer-Encoding: chunked") + b"\r\n", chunks)
        self.check()

    # Guards against fields that take many times their bytes once they are parsed, in requests that never end.
    def test_thousands_of_short_fields(self):
        fields = b"a:\r\n" * 3900
        self.crowd_sends(120, self.head("Content-Length: 2000") + fields + b"\r\n" + b"x" * 1999)
        self.check()

    # Guards against heads that never end and take all connections.
    def test_heads_that_stop_short(self):
        self.crowd_sends(200, self.head() + b"X-Filler: " + b"x" * 15000)
        self.check()

    # Guards against pipelined requests that are read ahead without bound.
    def test_pipelined_requests(self):
        request = self.head("Content-Length: 1000").replace(b"/order/1", b"/none/1") + b"\r\n" + b"x" * 1000
        self.crowd_sends(60, request * 1000)
        self.check()

    # Guards against idle connections that take all descriptors and lock out new callers.
    def test_idle_connections_up_to_the_descriptor_limit(self):
        request = (b"GET /look/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: idle\r\nDeadline-Ms: 3000\r\n"
                   b"Api-Key: key-1\r\n\r\n")
        for number in range(DESCRIPTORS):
            try:
                caller = self.connect()
                if number % 2:
                    caller.sendall(request)
                    caller.recv(4096)
            except OSError:
                pass  # refused
        time.sleep(READ_TIME_S)
        self.check()


if __name__ == "__main__":
    unittest.main()
