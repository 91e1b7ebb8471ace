"""Replicas that are silent for a while, beside callers that wait for their slots."""

import concurrent.futures
import time
import unittest

from relay_case import ROUTES, RelayCase, configuration, route

WHOLE = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 41))
SLOW = route("slow", "idempotent", timeout_ms=8000, target_latency_ms=4000)
# Its callers leave after a pause of 2 s, and engines go on within 0.7 s.
DRAFT = route("draft", "streaming", timeout_ms=8000, target_latency_ms=400, gap_aim_ms=120, stream_resume=True)


class StalledAttemptsTest(RelayCase):
    def configure(self, slots):
        self.store.put("op/config", configuration(5, ROUTES + [SLOW, DRAFT]))
        for replica in self.replicas:
            self.store.put("servers/" + replica.name, {**replica.entry("svc", sequence=5), "slots": slots})
        self.wait_for(lambda: self.ask("GET", "/slow/1")[0].status == 200)
        time.sleep(0.3)

    def repeat(self, pool, count, seconds, *request):
        """Callers that each send one request after the other. Returns the futures of their statuses."""
        until = time.monotonic() + seconds

        def call(number):
            statuses = []
            while time.monotonic() < until:
                more = {"Attempt-Id": f"c{number}-{len(statuses)}", "Deadline-Ms": "8000"}
                response, body = self.ask(*request, **more)
                statuses.append(response.status if isinstance(body, bytes) else "cut")
                if response.status == 503:
                    time.sleep(float(response.getheader("Retry-After", "0.1")))
            return statuses

        return [pool.submit(call, number) for number in range(count)]

    # Guards against a stream that is cut because its attempt was given up before there was a place for the next one
    # (review/5).
    def test_preempted_stream_goes_on_while_all_slots_are_taken(self):
        self.configure(slots=1)
        self.plan("steady 10 1.2", "steady")
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            preempted = pool.submit(self.ask, "POST", "/draft/1", body=b"x", **{"Deadline-Ms": "8000"})
            time.sleep(0.2)
            others = self.repeat(pool, 12, 4.0, "POST", "/draft/2")
            response, body = preempted.result()
            self.assertEqual((response.status, body), (200, WHOLE))
            # There was no other place for it, so its attempt went on.
            self.assertEqual(sum(replica.abandoned for replica in self.replicas), 0)
            self.assertEqual({status for other in others for status in other.result()} - {503}, {200})

    # Guards against a stream that stays on a replica that has stopped.
    def test_stream_moves_to_a_free_place(self):
        self.configure(slots=2)
        self.plan("steady 10 30", "steady")
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            stopped = pool.submit(self.ask, "POST", "/draft/1", body=b"x", **{"Deadline-Ms": "8000"})
            time.sleep(0.2)
            self.repeat(pool, 1, 3.0, "POST", "/draft/2")
            started = time.monotonic()
            response, body = stopped.result()
            self.assertEqual((response.status, body), (200, WHOLE))
            self.assertLess(time.monotonic() - started, 5)

    # Guards against requests that fail with half of their time left: the first ones of a service were given up after
    # 0.5 s and then found no place (issue 33).
    def test_slow_requests_keep_their_places(self):
        self.configure(slots=2)
        self.plan("slow 3")
        with concurrent.futures.ThreadPoolExecutor(14) as pool:
            callers = self.repeat(pool, 14, 7.0, "GET", "/slow/2")
            self.assertEqual({status for caller in callers for status in caller.result()} - {503}, {200})

    # Guards against a stream that is cut although its replica says that it is busy, and its caller still waits.
    def test_stream_with_comments_goes_on(self):
        self.configure(slots=2)
        self.plan("comments 2.6")
        response, body = self.ask("POST", "/tale/1", body=b"x", **{"Deadline-Ms": "8000"})
        self.assertEqual(response.status, 200)
        self.assertEqual(body.count(b"id: "), 6)


if __name__ == "__main__":
    unittest.main()
