"""R3 and R4: a non-idempotent request runs at most once, and `not_run` is said only of one that did not run."""

import signal
import time
import unittest

import deployment
import order_case


class OrdersTest(order_case.OrderCase):
    sizes = {"entries": 3, "engines": 1, "plains": 2, "accounts": 2, "plain_args": ("--work-ms", "400")}

    # Guards against a claim that only the process knows that granted it.
    def test_resend_by_another_entry_process(self):
        key = deployment.uuid7()
        first = self.place_later("first", key, "apples", 0)
        self.wait_effect(key)
        self.assert_told_executed(self.place("at-once", key, "apples", 1))
        self.assertEqual(first.result().kind, "answered")
        time.sleep(1)
        for entry in range(3):
            self.assert_told_executed(self.place(f"later-{entry}", key, "apples", entry))

    # Guards against two grants when the same order arrives everywhere at the same moment.
    def test_same_order_at_all_entry_processes_at_once(self):
        for round_number in range(4):
            key = deployment.uuid7()
            sent = [self.place_later(f"race-{round_number}-{i}", key, "pears", i % 3) for i in range(6)]
            answered = [f.result().kind for f in sent].count("answered")
            self.assertGreaterEqual(answered, 1)
            self.assertEqual(self.target.effects().get(key, 0), 1)

    # Guards against a retry or a `not_run` after the service had begun the call.
    def test_service_killed_in_mid_call(self):
        key = deployment.uuid7()
        first = self.place_later("mid-call", key, "plums", 0)
        self.wait_effect(key)
        service = self.service_of(key)
        self.target.kill(service)
        try:
            self.assertEqual(first.result().kind, "unknown")
            for entry in range(3):
                self.assertEqual(self.place(f"mid-call-{entry}", key, "plums", entry).kind, "unknown")
        finally:
            self.restart_upstream(service)

    # Guards against the loss of a granted claim with the process that held it.
    def test_entry_process_killed_after_the_call_reached_the_service(self):
        for entry in (2, 1):
            name = self.target.entries[entry]
            key = deployment.uuid7()
            first = self.place_later(f"holder-{entry}", key, "figs", entry)
            self.wait_effect(key)
            self.target.kill(name)
            try:
                self.assertEqual(first.result().kind, "unknown")
                outcomes = [self.place(f"holder-{entry}-{i}", key, "figs", 0) for i in range(8)]
            finally:
                self.replace_entries(name)
            outcomes.append(self.place(f"holder-{entry}-after", key, "figs", entry))
            self.assert_told_executed(outcomes[-1])
            self.assertNotIn("answered", [o.kind for o in outcomes])

    # Guards against running an order whose claim is not durable.
    def test_store_outage(self):
        executed = deployment.uuid7()
        self.assertEqual(self.place("before-outage", executed, "limes").kind, "answered")
        self.target.store_faults(outage=True)
        refused = deployment.uuid7()
        for entry in range(3):
            outcome = self.place(f"outage-{entry}", refused, "kiwis", entry)
            # Nobody can prove that the key is new while its claim cannot be read.
            self.assertEqual((outcome.kind, outcome.error_type), ("unknown", "claim_unavailable"))
            self.assert_told_executed(self.place(f"resend-{entry}", executed, "limes", entry))
        self.assertEqual(self.target.effects().get(refused, 0), 0)
        self.wait_store()
        # The refused order was never run, so the same key still runs it, once.
        self.assertTrue(deployment.wait_until(
            lambda: self.place("after-outage-refused", refused, "kiwis", 2).kind == "answered", 20, 0.3))
        self.assertEqual(self.target.effects().get(refused, 0), 1)
        self.assert_told_executed(self.place("after-outage", executed, "limes", 1))

    # Guards against a grant on a write without answer, and against a second grant after the read-back.
    def test_store_answers_lost(self):
        for count in (1, 2, 4):
            self.target.store_faults(lose_answers=count)
            keys = [deployment.uuid7() for _ in range(3)]
            sent = [self.place_later(f"lost-{count}-{i}", key, "dates", i) for i, key in enumerate(keys)]
            for future in sent:
                future.result()
            for i, key in enumerate(keys):
                self.place(f"lost-{count}-{i}-again", key, "dates", (i + 1) % 3)
            self.target.store_faults()
        self.wait_store()
        for key in list(self.tries):
            if self.target.effects().get(key, 0) > 0:
                body = "dates" if len(self.tries[key]) > 1 else "probe"
                self.assert_told_executed(self.place("lost-last", key, body, 0))

    # Guards against a dispatch on a claim call that timed out while the process was paused.
    def test_entry_process_paused_past_its_claims(self):
        name = self.target.entries[2]
        self.target.store_faults(delay_ms=300)
        keys = [deployment.uuid7() for _ in range(6)]
        sent = [self.place_later(f"paused-{i}", key, "grapes", 2) for i, key in enumerate(keys)]
        time.sleep(0.15)
        self.target.signal(name, signal.SIGSTOP)
        try:
            resent = [self.place_later(f"paused-{i}-again", key, "grapes", 0) for i, key in enumerate(keys)]
            time.sleep(4)
        finally:
            self.target.signal(name, signal.SIGCONT)
            self.target.store_faults()
        for future in sent + resent:
            future.result()
        self.target.wait_joined()
        for i, key in enumerate(keys):
            outcome = self.place(f"paused-{i}-last", key, "grapes", 1)
            self.assertIn(outcome.kind, ("answered", "unknown", "completed_before"))

    # Guards against a recorded answer for a body that it does not belong to.
    def test_same_key_with_another_body(self):
        key = deployment.uuid7()
        self.assertEqual(self.place("body-1", key, "one crate").kind, "answered")
        other = self.order("body-2", key, "two crates", 1)
        self.assertEqual(other.error_type, "key_reused")
        self.assertEqual(self.target.effects().get(key, 0), 1)

    # Guards against a grant for a key whose claim may have been erased already.
    def test_expired_key(self):
        key = deployment.uuid7(-order_case.DAY_MS - 5000)
        outcome = self.place("expired", key, "melons")
        self.assertEqual(outcome.error_type, "key_expired")
        self.assertEqual(self.target.effects().get(key, 0), 0)

    # Guards against a claim whose expiry cannot be known.
    def test_key_that_is_no_uuid_of_version_7(self):
        for key in ("order-17", "6f1c2e1e-58a1-4c0f-9d6e-0d4d2a0b7c11"):
            outcome = self.place("no-uuid7", key, "leeks")
            self.assertEqual((outcome.kind, outcome.error_type), ("not_run", "invalid_key"))
            self.assertEqual(self.target.effects().get(key, 0), 0)


if __name__ == "__main__":
    unittest.main()
