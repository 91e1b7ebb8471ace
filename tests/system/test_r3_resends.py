"""R3: an order that ran is never called `not_run` when its caller sends it again."""

import time
import unittest

import deployment
import order_case


class ResendsTest(order_case.OrderCase):
    sizes = {"entries": 3, "engines": 1, "plains": 2, "accounts": 2}

    def run_order(self, name, key, body, entry):
        """Sends the order until it has run; claims stay unavailable for a while after a store outage."""
        self.assertTrue(deployment.wait_until(lambda: self.place(name, key, body, entry).kind == "answered", 20, 0.3))

    # Guards against `not_run` for an order that ran shortly before its key expired.
    def test_key_that_expires_after_its_order_ran(self):
        key = deployment.uuid7(-order_case.DAY_MS + 5000)
        self.run_order("expiring", key, "quinces", 0)
        time.sleep(6)
        self.assert_told_executed(self.place("expiring-again", key, "quinces", 1))

    # Guards against `not_run` for an executed order while its claim cannot be read.
    def test_store_outage(self):
        keys = [deployment.uuid7() for _ in range(8)]
        for i, key in enumerate(keys):
            self.run_order(f"outage-{i}", key, "sorrel", i % 3)
        self.target.store_faults(outage=True)
        # New orders make the owners of the partitions notice the outage before the resends come.
        # Nothing can prove that such an order is new, so it is not called not_run either.
        new_keys = [deployment.uuid7() for _ in range(48)]
        new = [self.pool.submit(self.place, f"new-{i}", key, "dock", i % 3) for i, key in enumerate(new_keys)]
        for future in new:
            self.assertEqual((future.result().kind, future.result().error_type), ("unknown", "claim_unavailable"))
        effects = self.target.effects()
        self.assertEqual([key for key in new_keys if key in effects], [])
        for i, key in enumerate(keys):
            self.assert_told_executed(self.place(f"outage-{i}-again", key, "sorrel", (i + 1) % 3))

    # Guards against `not_run` for an executed order whose claim nobody can read any more.
    def test_owners_die_during_a_store_outage(self):
        keys = [deployment.uuid7() for _ in range(8)]
        for i, key in enumerate(keys):
            self.run_order(f"owned-{i}", key, "sloes", i % 3)
        self.target.store_faults(outage=True)
        for name in self.target.entries[1:]:
            self.target.kill(name)
        self.addCleanup(self.replace_entries, *self.target.entries[1:])
        outcomes = [self.place(f"owned-{i}-again", key, "sloes") for i, key in enumerate(keys)]
        for outcome in outcomes:
            self.assert_told_executed(outcome)


if __name__ == "__main__":
    unittest.main()
