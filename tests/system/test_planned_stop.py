"""SIGTERM of an entry process, and requests that would not end before it does."""

import concurrent.futures
import http.client
import signal
import socket
import time
import unittest

from relay_case import HOST, ROUTES, RelayCase, configuration, route

LIMIT_S = 5.2  # of the settings' 6 s, less the time for the last answers
LONG = route("long", "non_idempotent", timeout_ms=8000, target_latency_ms=3000)


class PlannedStopTest(RelayCase):
    def setUp(self):
        super().setUp()
        self.store.put("op/config", configuration(5, ROUTES + [LONG]))
        for replica in self.replicas:
            self.store.put("servers/" + replica.name, {**replica.entry("svc", sequence=5), "slots": 1})
        self.wait_for(lambda: self.ask("POST", "/long/1", body=b"x")[0].status == 200)
        for replica in self.replicas:
            replica.seen.clear()

    def send_in_pieces(self, path):
        """Sends a request but for the end of its body. Returns its connection."""
        connection = socket.create_connection((HOST, self.entries[0].callers), timeout=10)
        connection.sendall((f"POST {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: late\r\nApi-Key: key-1\r\n"
                            "Deadline-Ms: 8000\r\nContent-Length: 10\r\n\r\n01234").encode())
        return connection

    def finish(self, connection):
        connection.sendall(b"56789")
        response = http.client.HTTPResponse(connection)
        response.begin()
        response.read()
        connection.close()
        return response

    # Guards against orders that arrive late in a planned stop, are passed on, and are cut off at its end: their callers
    # may not repeat them (issue 33).
    def test_request_that_would_be_cut_off_is_refused_as_not_run(self):
        self.plan("slow 3")
        connection = self.send_in_pieces("/long/2")
        self.entries[0].process.send_signal(signal.SIGTERM)
        time.sleep(4)
        sent = time.monotonic()
        response = self.finish(connection)
        self.assertEqual(response.status, 503)
        self.assertLess(time.monotonic() - sent, 0.5)
        self.assertEqual(self.runs(), 0)

    def test_request_that_ends_in_time_is_served(self):
        connection = self.send_in_pieces("/order/2")
        self.entries[0].process.send_signal(signal.SIGTERM)
        time.sleep(3.5)
        self.assertEqual(self.finish(connection).status, 200)
        self.assertEqual(self.runs(), 1)

    # Guards against the same for requests that get a place late, after they have waited for it.
    def test_waiting_request_is_not_passed_on_too_late(self):
        self.plan("slow 3")
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            answers = [pool.submit(self.ask, "POST", f"/long/{n}", body=b"x",
                                   **{"Attempt-Id": f"id-{n}", "Deadline-Ms": "8000"}) for n in range(6)]
            time.sleep(0.3)
            self.entries[0].process.send_signal(signal.SIGTERM)
            statuses = {n: answer.result()[0].status for n, answer in enumerate(answers)}
        ran = {int(seen["path"].rsplit("/", 1)[1]) for replica in self.replicas for seen in replica.seen}
        self.assertEqual({n for n, status in statuses.items() if status == 200}, ran)
        self.assertEqual({status for n, status in statuses.items() if n not in ran}, {503})
        self.assertEqual(len(ran), 2)


if __name__ == "__main__":
    unittest.main()
