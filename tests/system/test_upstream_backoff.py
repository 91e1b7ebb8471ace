"""A replica that refuses requests and names the time for which it wants no more."""

import http.client
import threading
import time
import unittest

from relay_case import RelayCase

BACKOFF_S = 3.0
GRACE_S = 0.5  # of the rule: what arrives sooner after the refusal does not count
ALLOWED = 2  # of the rule


class UpstreamBackoffTest(RelayCase):
    REPLICAS = 3

    def send_for(self, seconds):
        """Keeps four callers busy. Returns the status and the time of each answer."""
        results = []
        until = time.monotonic() + seconds

        def send(caller):
            number = 0
            while time.monotonic() < until:
                number += 1
                headers = {"Attempt-Id": f"id-{caller}-{number}"}
                method, path = (("GET", "/look/1"), ("POST", "/order/1"))[caller % 2]
                asked = time.monotonic()
                try:
                    response, _ = self.ask(method, path, **headers)
                    results.append((response.status, time.monotonic() - asked, response.getheader("Retry-After")))
                except (OSError, http.client.HTTPException):
                    results.append((None, time.monotonic() - asked, None))
                time.sleep(0.01)

        threads = [threading.Thread(target=send, args=(caller,)) for caller in range(4)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results

    # Guards against BUDGET of issue 27: a replica that named a Retry-After got requests all the same.
    def test_replica_gets_nothing_while_its_retry_after_runs(self):
        busy = self.replicas[0]
        busy.plan = [f"refuse {BACKOFF_S}", "ok"]
        busy.seen.clear()
        results = self.send_for(BACKOFF_S + 2.0)
        self.assertEqual({status for status, _, _ in results}, {200})
        first = busy.seen[0]["at"]
        early = [s for s in busy.seen if first + GRACE_S < s["at"] < first + BACKOFF_S]
        self.assertLessEqual(len(early), ALLOWED)
        # It is used again afterwards.
        self.assertGreater(len([s for s in busy.seen if s["at"] > first + BACKOFF_S]), 20)

    # Guards against waiting for replicas that take nothing: what cannot be served is refused at once, with a time.
    def test_requests_are_refused_at_once_while_all_replicas_want_none(self):
        for replica in self.replicas:
            replica.plan = [f"refuse {BACKOFF_S}", "ok"]
            replica.seen.clear()
        began = time.monotonic()
        results = self.send_for(2.0)
        refused = [(took, float(after)) for status, took, after in results if status == 503]
        self.assertGreater(len(refused), 50)
        # One request may have been sent to each replica in turn.
        self.assertLess(sorted(took for took, _ in refused)[len(refused) // 2], 0.05)
        self.assertGreater(refused[0][1], 0.3)
        self.wait_for(lambda: self.ask("GET", "/look/1", **{"Attempt-Id": "late"})[0].status == 200, BACKOFF_S + 1.0)
        self.assertGreater(time.monotonic() - began, BACKOFF_S - 0.1)
        for replica in self.replicas:
            first = replica.seen[0]["at"]
            early = [s for s in replica.seen if first + GRACE_S < s["at"] < first + BACKOFF_S]
            self.assertLessEqual(len(early), ALLOWED)


if __name__ == "__main__":
    unittest.main()
