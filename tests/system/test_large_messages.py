"""Bodies and answers of the largest size, read slowly on the other side, before an entry process with little memory."""

import concurrent.futures
import http.client
import socket
import time
import unittest

from relay_case import HOST, ROUTES, RelayCase, configuration, route

MEMORY_MIB = 130
LARGE = 4 * 1024 * 1024 - 4096
UNREAD_S = 2.0


class LargeMessagesTest(RelayCase):
    REPLICAS = 8
    MORE_SETTINGS = f"[limits]\nmemory_mib = {MEMORY_MIB}\ndescriptors = 700\n"

    def setUp(self):
        super().setUp()
        routes = ROUTES + [route("form", "non_idempotent", public=True)]
        changed = configuration(5, [{**each, "timeout_ms": 8000} for each in routes])
        changed["limits"].update({"max_body_bytes": 4 * 1024 * 1024, "idle_timeout_ms": 60000})
        self.store.put("op/config", changed)
        self.wait_for(lambda: self.ask("GET", "/form/1", key=None)[0].status == 200)
        for replica in self.replicas:
            replica.seen.clear()

    def peak_memory_mib(self):
        with open(f"/proc/{self.entries[0].process.pid}/status", encoding="ascii") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmHWM")) // 1024

    def read_late(self, number):
        """Reads an answer some time after it was asked for. Returns its status."""
        with socket.socket() as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.settimeout(10)
            caller.connect((HOST, self.entries[0].callers))
            caller.sendall(f"GET /look/large HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: late-{number}\r\n"
                           "Api-Key: key-1\r\nDeadline-Ms: 8000\r\n\r\n".encode())
            time.sleep(UNREAD_S)
            response = http.client.HTTPResponse(caller)
            response.begin()
            return response.status, len(response.read())

    def upload(self, number):
        """Sends a large body. Returns the status, or none if the connection was closed before the body was read."""
        public = number % 4 == 0
        try:
            response, _ = self.ask("POST", "/form/1" if public else "/order/1", key=None if public else "key-1",
                                   body=b"x" * LARGE, **{"Attempt-Id": f"upload-{number}", "Deadline-Ms": "8000"})
        except ConnectionError:
            return None
        return response.status

    # Guards against a process that holds each body once for every step on its way, and exceeds the memory of its host.
    def test_slow_reading_of_large_messages_stays_within_memory(self):
        for replica in self.replicas:
            replica.large_answers = {"/look/large": LARGE}
            replica.read_bytes_per_s = 1_500_000
        with concurrent.futures.ThreadPoolExecutor(40) as pool:
            answers = []
            for number in range(12):
                answers.append(pool.submit(self.read_late, number))
                time.sleep(0.05)
            uploads = [pool.submit(self.upload, number) for number in range(20)]
            answers = [answer.result() for answer in answers]
            uploads = [upload.result() for upload in uploads]
        peak = self.peak_memory_mib()
        print(f"\npeak {peak} MiB of {MEMORY_MIB}; answers {answers}; uploads {uploads}")
        self.assertIsNone(self.entries[0].process.poll())
        self.assertLess(peak, MEMORY_MIB)
        # What does not fit is refused as not run; the rest is served.
        self.assertGreaterEqual(answers.count((200, LARGE)), 5)
        self.assertGreaterEqual(uploads.count(200), 5)
        self.assertLessEqual(set(uploads), {200, 503, None})


if __name__ == "__main__":
    unittest.main()
