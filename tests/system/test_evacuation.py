"""Data centres that the operator has evacuated: nothing is sent there until the order is removed."""

import pathlib
import threading
import time
import unittest

from relay_case import RelayCase

EVAC_S = 5.0  # evac_ms of the rules
REREGISTRATION_S = 2.0


def key(data_centre):
    return "op/evacuate/" + data_centre


class EvacuationTest(RelayCase):
    ENTRIES = 2
    REPLICAS = 3

    def setUp(self):
        super().setUp()
        # i-0 is alone in data centre a; the others are in b.
        for replica in self.replicas[1:]:
            self.register(replica, "b", 1)
        self.wait_until_used(*self.replicas)
        for replica in self.replicas:
            replica.seen.clear()

    def register(self, replica, data_centre, sequence):
        self.store.put("servers/" + replica.name, {**replica.entry("svc", sequence=sequence), "zone": data_centre})

    def serve(self, entry=0, path="/look/1"):
        return self.ask("GET", path, entry=entry)[0].status

    def log_of(self, entry):
        return pathlib.Path(self.entries[entry].log.name).read_text(encoding="utf-8")

    def wait_until_used(self, *replicas):
        """All entry processes send to each of these replicas."""
        for entry in range(self.ENTRIES):
            for replica in replicas:
                replica.seen.clear()
            self.wait_for(lambda entry=entry: self.serve(entry) == 200 and all(r.seen for r in replicas))

    def wait_until_unused(self, replica, entries=None):
        """These entry processes send nothing to the replica in 20 requests each, within the time of the rule."""
        def unused():
            replica.seen.clear()
            for entry in entries or range(self.ENTRIES):
                for _ in range(20):
                    self.serve(entry)
            return not replica.seen
        self.wait_for(unused, EVAC_S)

    def assert_unused(self, replica, seconds, entries=None):
        replica.seen.clear()
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for entry in entries or range(self.ENTRIES):
                self.assertEqual(self.serve(entry), 200)
        self.assertEqual(replica.seen, [])

    # Guards against requests to an evacuated data centre, and against an order that outlives its removal.
    def test_nothing_is_sent_until_the_order_is_removed(self):
        self.store.put(key("a"), {})
        self.wait_until_unused(self.replicas[0])
        self.assert_unused(self.replicas[0], 1.5)
        self.store.remove(key("a"))
        self.wait_until_used(*self.replicas)
        log = self.log_of(0)
        self.assertEqual(log.count('"data_centre_evacuated"'), 1)
        self.assertEqual(log.count('"data_centre_restored"'), 1)

    # Guards against cutting what runs there: it drains to its end. Non-idempotent, as a silent attempt at another kind
    # may be replaced for its silence alone.
    def test_request_that_runs_there_ends_whole(self):
        for replica in self.replicas:
            replica.plan = ["slow 1.5"]
        results = []

        def order():
            results.append(self.ask("POST", "/order/1", body=b"x")[0].status)

        threads = [threading.Thread(target=order) for _ in range(9)]
        for thread in threads:
            thread.start()
        self.wait_for(lambda: self.runs() >= 9)
        self.assertTrue(self.replicas[0].seen)
        self.store.put(key("a"), {})
        for thread in threads:
            thread.join()
        self.assertEqual(results, [200] * 9)
        self.assertEqual(self.runs(), 9)

    # Guards against a retry that goes to an evacuated data centre because every other replica was tried.
    def test_retries_do_not_go_there(self):
        self.store.put(key("a"), {})
        self.wait_until_unused(self.replicas[0])
        for replica in self.replicas[1:]:
            replica.plan = ["refuse"]
        self.replicas[0].seen.clear()
        for _ in range(20):
            self.assertEqual(self.serve(), 503)
        self.assertEqual(self.replicas[0].seen, [])

    # Guards against a stalled attempt whose new place is in the evacuated data centre.
    def test_stalled_attempts_do_not_move_there(self):
        for replica in self.replicas:
            replica.plan = ["slow 2.0"]
        threads = [threading.Thread(target=self.serve) for _ in range(6)]
        for thread in threads:
            thread.start()
        self.wait_for(lambda: self.runs() >= 6)
        self.store.put(key("a"), {})
        self.wait_for(lambda: "data_centre_evacuated" in self.log_of(0), EVAC_S)
        self.replicas[0].seen.clear()
        before = self.runs()
        for thread in threads:
            thread.join()
        self.assertEqual(self.replicas[0].seen, [])
        self.assertGreater(self.runs(), before)  # attempts have moved

    # Guards against waiting or 502 when no replica may be used: the request is refused as not run, with a time.
    def test_service_without_a_usable_replica_refuses_at_once(self):
        self.store.put(key("a"), {})
        self.store.put(key("b"), {})
        self.wait_for(lambda: self.serve() == 503, EVAC_S)
        started = time.monotonic()
        response, _ = self.ask("GET", "/look/1")
        self.assertEqual(response.status, 503)
        self.assertIsNotNone(response.getheader("Retry-After"))
        self.assertLess(time.monotonic() - started, 0.5)
        self.store.remove(key("b"))
        self.wait_until_used(*self.replicas[1:])
        self.assert_unused(self.replicas[0], 0.5)

    # Guards against an order that is lost with the store, or by a process that starts without it.
    def test_order_holds_while_the_store_is_away_and_a_new_process_learns_it_from_a_peer(self):
        self.store.put(key("a"), {})
        self.wait_until_unused(self.replicas[0])
        self.store.down = True
        time.sleep(0.5)
        self.assert_unused(self.replicas[0], 1.0)
        self.entries[1].end()
        self.replicas[0].seen.clear()
        self.entries[1].start()
        # Its first request comes as soon as it is ready.
        self.wait_for(lambda: self.entries[1].ready() == 200, 20.0)
        self.assert_unused(self.replicas[0], 1.5)
        self.store.remove(key("a"))
        self.store.down = False
        self.wait_until_used(*self.replicas)

    def test_two_orders_in_turn(self):
        self.store.put(key("a"), {})
        self.wait_until_unused(self.replicas[0])
        self.store.remove(key("a"))
        self.store.put(key("b"), {})
        for replica in self.replicas[1:]:
            self.wait_until_unused(replica)
            self.assert_unused(replica, 0.5)
        self.store.remove(key("b"))
        self.wait_until_used(*self.replicas)

    def test_order_holds_over_a_restart_of_all_entry_processes(self):
        self.store.put(key("a"), {})
        self.wait_until_unused(self.replicas[0])
        for entry in self.entries:
            entry.end()
        self.replicas[0].seen.clear()
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            self.wait_for(lambda entry=entry: entry.ready() == 200)
        self.assert_unused(self.replicas[0], 1.5)

    # Guards against an order that ends because the store came back from a copy that is older than the order.
    def test_order_that_the_restored_store_lacks_holds_until_it_is_written_again(self):
        copy = self.store.copy()
        self.store.put(key("a"), {})
        self.wait_until_unused(self.replicas[0])
        self.store.restore(copy)
        self.assert_unused(self.replicas[0], REREGISTRATION_S / 2)
        self.store.put(key("a"), {})
        self.assert_unused(self.replicas[0], REREGISTRATION_S + 1.0)
        self.store.remove(key("a"))
        self.wait_until_used(*self.replicas)

    # A copy may hold an order that was withdrawn since: it counts until it is removed again.
    def test_order_in_the_copy_of_a_restored_store_is_in_force(self):
        self.store.put(key("a"), {})
        self.wait_until_unused(self.replicas[0])
        copy = self.store.copy()
        self.store.remove(key("a"))
        self.wait_until_used(*self.replicas)
        self.store.restore(copy)
        self.wait_until_unused(self.replicas[0])
        self.assert_unused(self.replicas[0], REREGISTRATION_S + 0.5)
        self.store.remove(key("a"))
        self.wait_until_used(*self.replicas)

    # Guards against a process that ends, or an order that spreads, because of a key that names no data centre.
    def test_odd_keys_change_nothing(self):
        for name in ("", "nowhere", "a/b", "x" * 300):
            self.store.put(key(name), b"\xff")
        self.store.put("op/evacuate", {})
        self.store.put(key("a"), b"\xff no JSON")
        self.wait_until_unused(self.replicas[0])
        self.store.remove(key("a"))
        self.wait_until_used(*self.replicas)
        log = self.log_of(0)
        self.assertEqual(log.count('"evacuation_of_unknown_data_centre"'), 2)
        # A replica that appears in the data centre meets the order.
        self.register(self.replicas[0], "nowhere", 2)
        self.wait_until_unused(self.replicas[0])


if __name__ == "__main__":
    unittest.main()
