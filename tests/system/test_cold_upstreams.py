"""Replicas that are cold take few requests a second from all entry processes together."""

import http.client
import itertools
import pathlib
import threading
import time
import unittest

from relay_case import ROUTES, RelayCase, configuration

COLD_PER_S = 14
ALLOWED = COLD_PER_S * 1.5 + 5  # cold_over and cold_slack of the rules
WINDOW_S = 1.0
CONTACT_S = 1.0  # for the processes to read an entry
RAMP_S = 4.0


class ColdUpstreamsTest(RelayCase):
    ENTRIES = 4
    REPLICAS = 3

    def setUp(self):
        super().setUp()
        written = configuration(4, ROUTES)
        written["services"][0].update(cold_per_s=COLD_PER_S, cold_start_s=8)
        self.store.put("op/config", written)
        time.sleep(CONTACT_S)

    def register(self, replica, cold_s, sequence, born=1):
        self.store.put("servers/" + replica.name, {**replica.entry("svc", sequence=sequence), "born": born,
                                                   "cold_remaining_ms": int(cold_s * 1000)})

    def send_for(self, seconds, pause_s=0.01):
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

        threads = [threading.Thread(target=send, args=(entry,)) for entry in range(self.ENTRIES) for _ in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def assert_bound(self, replica, since, until):
        times = sorted(request["at"] for request in replica.seen if since <= request["at"] < until)
        most = max((sum(start <= at < start + WINDOW_S for at in times) for start in times), default=0)
        self.assertLessEqual(most, ALLOWED)
        return len(times)

    def logged(self, event):
        return [pathlib.Path(entry.log.name).read_text(encoding="utf-8").count(f'"{event}"') for entry in self.entries]

    # Guards against a cold replica that crashes because it gets as much as the others.
    def test_cold_replica_gets_its_rate_and_then_its_share_in_a_ramp(self):
        cold = self.replicas[0]
        written = time.monotonic()
        self.register(cold, 8.0, 1)
        statuses = self.send_for(8.0)
        count = self.assert_bound(cold, written + CONTACT_S, written + 8.0)
        # It is used as far as it goes: callers see no outage.
        self.assertGreaterEqual(count, 6.0 * COLD_PER_S / 2)
        self.assertEqual(set(statuses), {200})
        self.send_for(RAMP_S + 1.0)
        cold.seen.clear()
        self.assertEqual(set(self.send_for(2.0)), {200})
        self.assertGreater(len(cold.seen), 2 * ALLOWED)
        self.assertEqual(self.logged("upstream_cold"), [1] * self.ENTRIES)
        self.assertEqual(self.logged("upstream_warm"), [1] * self.ENTRIES)

    # Guards against processes that spend the rate anew after a restart, or while they know of no others.
    def test_bound_holds_over_restarts_and_an_outage_of_the_store(self):
        written = time.monotonic()
        for replica in self.replicas:
            self.register(replica, 12.0, 1)
        sender = threading.Thread(target=self.send_for, args=(11.0,))
        sender.start()
        time.sleep(3.0)
        self.store.down = True
        for entry in self.entries[:2]:
            entry.end()
        for entry in self.entries[:2]:
            entry.start()
        time.sleep(4.0)
        self.store.down = False
        sender.join()
        for replica in self.replicas:
            count = self.assert_bound(replica, written + CONTACT_S, written + 11.0)
            self.assertGreater(count, 2 * COLD_PER_S)

    # Guards against refusals with 503 that are not counted, and against waiting for replicas that may take nothing.
    def test_refusals_count_and_what_is_too_much_is_refused_at_once(self):
        written = time.monotonic()
        for replica in self.replicas:
            replica.plan = ["refuse"]
            self.register(replica, 9.0, 1)
        statuses = self.send_for(6.0)
        self.assertEqual(set(statuses[len(statuses) // 2 :]), {503})
        for replica in self.replicas:
            self.assert_bound(replica, written + CONTACT_S, written + 6.0)

    # Guards against a cold state of a replica that starts again and says that it is not cold.
    def test_restarted_replica_without_remaining_time_is_used_at_once(self):
        cold = self.replicas[0]
        self.register(cold, 60.0, 1)
        self.send_for(2.0)
        self.register(cold, 0, 0, born=2)
        time.sleep(CONTACT_S)
        cold.seen.clear()
        self.send_for(2.0)
        self.assertGreater(len(cold.seen), 2 * ALLOWED)


if __name__ == "__main__":
    unittest.main()
