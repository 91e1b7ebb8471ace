"""A replica that says in its answers that it leaves, whatever the store says."""

import time
import unittest

from relay_case import RelayCase

DRAIN_S = 1.0  # less than any drain_ms of the rules


class AnnouncedLeavingTest(RelayCase):
    def ask_for(self, seconds):
        until = time.monotonic() + seconds
        statuses = set()
        number = 0
        while time.monotonic() < until:
            number += 1
            statuses.add(self.ask("GET", "/look/1", **{"Attempt-Id": f"id-{number}"})[0].status)
        return statuses

    def wait_for_announcement(self, leaving):
        leaving.leaving = True
        self.wait_for(lambda: self.ask("GET", "/look/1")[0].getheader("Server-Leaving") == "1")
        time.sleep(DRAIN_S)
        leaving.seen.clear()

    # Guards against DRAIN: a replica that announced in an answer that it leaves got requests until the store said so too.
    def test_replica_that_announces_its_leaving_in_an_answer_gets_nothing(self):
        leaving = self.replicas[0]
        self.wait_for_announcement(leaving)
        self.assertEqual(self.ask_for(1.5), {200})
        self.assertEqual(leaving.seen, [])
        # An entry that was written before, or is written again, does not bring it back.
        self.store.put("servers/" + leaving.name, leaving.entry("svc", sequence=2))
        self.assertEqual(self.ask_for(1.0), {200})
        self.assertEqual(leaving.seen, [])

    # The rule holds in touch or not, so also for a process that cannot reach the store.
    def test_announcement_counts_while_the_store_is_away(self):
        leaving = self.replicas[0]
        self.store.down = True
        time.sleep(2.5)
        self.wait_for_announcement(leaving)
        self.assertEqual(self.ask_for(1.0), {200})
        self.assertEqual(leaving.seen, [])

    def test_replica_that_starts_again_under_its_id_is_used(self):
        leaving = self.replicas[0]
        self.wait_for_announcement(leaving)
        leaving.leaving = False
        self.store.put("servers/" + leaving.name, {**leaving.entry("svc"), "born": 2})
        self.wait_for(lambda: self.ask("GET", "/look/1")[0].status == 200 and leaving.seen)

    def test_refusal_and_error_announce_it_too(self):
        for step in ("refuse", "fail"):
            with self.subTest(step):
                leaving = self.replicas[0]
                leaving.plan = [step]
                leaving.leaving = True
                self.wait_for(lambda: self.ask("GET", "/look/1")[0].status == 200 and leaving.seen)
                time.sleep(DRAIN_S)
                leaving.seen.clear()
                self.assertEqual(self.ask_for(0.7), {200})
                self.assertEqual(leaving.seen, [])
                leaving.leaving = False
                leaving.plan = ["ok"]
                self.store.put("servers/" + leaving.name, {**leaving.entry("svc"), "born": 10 + len(step)})
                self.wait_for(lambda: self.ask("GET", "/look/1")[0].status == 200 and leaving.seen)
                leaving.seen.clear()


if __name__ == "__main__":
    unittest.main()
