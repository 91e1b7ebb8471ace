"""A replica that names the requests a second that it takes from all entry processes together."""

import http.client
import itertools
import threading
import time
import unittest

from relay_case import RelayCase

CONTACT_S = 1.0  # contact_ms of the rules, shortened like the times of the stand-ins
WINDOW_S = 4.0


class UpstreamRateLimitTest(RelayCase):
    ENTRIES = 3
    REPLICAS = 3

    def send_for(self, seconds, pause_s):
        """Sends to all entry processes and returns the statuses."""
        statuses = []
        numbers = itertools.count(1)
        until = time.monotonic() + seconds

        def send(entry):
            while time.monotonic() < until:
                try:
                    path = f"/look/{next(numbers)}"
                    statuses.append(self.ask("GET", path, entry=entry, **{"Attempt-Id": f"id-{path}"})[0].status)
                except (OSError, http.client.HTTPException):
                    statuses.append(None)
                time.sleep(pause_s)

        threads = [threading.Thread(target=send, args=(entry,)) for entry in range(self.ENTRIES)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    # Guards against LIMIT of issue 24: a replica got far more requests than the limit that it had named.
    def test_limit_binds_all_entry_processes_together_while_it_is_named(self):
        limited = self.replicas[0]
        limited.rate_limit = 2.0
        named = time.monotonic()
        statuses = self.send_for(9.0, 0.03)
        times = [request["at"] for request in limited.seen if request["at"] > named + CONTACT_S]
        allowed = 1.5 * limited.rate_limit * WINDOW_S + 5
        for start in times:
            in_window = sum(start <= at < start + WINDOW_S for at in times)
            self.assertLessEqual(in_window, allowed)
        # The limit is no outage: the replica gets what it takes, and the others the rest.
        self.assertGreaterEqual(len(times), 8 * limited.rate_limit / 2)
        self.assertEqual(set(statuses), {200})
        # Without the limit it gets its share again.
        limited.rate_limit = None
        self.send_for(2.0, 0.03)
        limited.seen.clear()
        self.send_for(2.0, 0.03)
        self.assertGreater(len(limited.seen), 20)

    # Guards against waiting for replicas that may take nothing: what cannot be served is refused at once.
    def test_requests_beyond_the_limits_of_all_replicas_are_refused_at_once(self):
        for replica in self.replicas:
            replica.rate_limit = 2.0
        self.send_for(2.0, 0.03)
        for replica in self.replicas:
            replica.seen.clear()
        started = time.monotonic()
        statuses = self.send_for(4.0, 0.03)
        self.assertEqual(set(statuses), {200, 503})
        self.assertLessEqual(self.runs(), (1.5 * 2.0 * WINDOW_S + 5) * self.REPLICAS)
        self.assertGreaterEqual(self.runs(), 2.0 * WINDOW_S * self.REPLICAS / 2)
        # Waiting for most of the target latency is allowed; more than that is not.
        self.assertGreater(len(statuses), 4.0 / 1.2 * self.ENTRIES)
        self.assertLess(time.monotonic() - started, 5.5)


if __name__ == "__main__":
    unittest.main()
