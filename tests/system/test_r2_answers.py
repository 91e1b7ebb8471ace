"""R2: each caller receives the complete answer to its own request and no part of any other answer."""

import random
import time
import unittest

import system_case

SEED = 20261204


class AnswersTest(system_case.SystemCase):
    sizes = {"entries": 2, "engines": 3, "plains": 2, "accounts": 2}

    def tearDown(self):
        for engine in self.target.engines:
            self.target.engine_faults(engine)

    def check_fault(self, **fault):
        """Sends requests while one engine has the fault; each answer is whole and right, or a typed error."""
        choice = random.Random(SEED)
        name = next(iter(fault))
        faulty = self.target.engines[0]
        prompts = [f"{name} {i} {choice.randrange(1000)}" for i in range(12)]
        expected = [self.chat(f"plain-{name}-{i}", p, 20).detail for i, p in enumerate(prompts)]
        before = self.total_runs(faulty)
        self.target.engine_faults(faulty, **fault)
        outcomes = list(self.pool.map(lambda i: self.chat(f"{name}-{i}", prompts[i], 20, i % 2), range(len(prompts))))
        self.assertGreater(self.total_runs(faulty), before, "no request reached the faulty engine")
        for outcome, tokens in zip(outcomes, expected):
            if outcome.kind == "answered":
                self.assertEqual(outcome.detail, tokens)
            else:
                self.assertIsNotNone(outcome.error_type, f"{outcome.kind} without a typed error")
                self.assertNotEqual(outcome.kind, "not_run", "an engine received the request")
        self.assertTrue(any(o.kind == "answered" for o in outcomes))

    # Guards against passing on the end of a broken stream as the end of the answer.
    def test_engine_truncates(self):
        self.check_fault(truncate_after=5)

    # Guards against a token that reaches the caller twice.
    def test_engine_duplicates_an_event(self):
        self.check_fault(duplicate_at=5)

    # Guards against an answer with a missing token.
    def test_engine_skips_an_event(self):
        self.check_fault(skip_at=5)

    # Guards against relaying an event that belongs to another request.
    def test_engine_sends_a_foreign_id(self):
        self.check_fault(foreign_id_at=5)

    # Guards against a stream that stands still when a read from the engine ends within an event.
    def test_event_arrives_in_two_pieces(self):
        reference = self.chat("split-reference", "split", 20).detail
        for engine in self.target.engines:
            self.target.engine_faults(engine, split_at=5)
        outcomes = [self.chat(f"split-{i}", "split", 20, i % 2) for i in range(2)]
        for outcome in outcomes:
            self.assertEqual((outcome.kind, outcome.error_type, outcome.detail), ("answered", None, reference))

    # Guards against [DONE] or a clean end of the HTTP body when no engine can finish the answer.
    def test_every_engine_truncates(self):
        for engine in self.target.engines:
            self.target.engine_faults(engine, truncate_after=5)
        outcome = self.chat("all-truncate", "all truncate", 20)
        self.assertEqual(outcome.kind, "unknown")
        self.assertIsNotNone(outcome.error_type)

    # Guards against matching answers to callers by the id that callers choose.
    def test_two_callers_with_the_same_request_id(self):
        prompts = [f"caller {i} asks for its own quote" for i in range(6)]
        expected = [self.chat(f"single-{i}", p, 60).detail for i, p in enumerate(prompts)]
        outcomes = list(self.pool.map(lambda i: self.chat("shared-id", prompts[i], 60, i % 2), range(len(prompts))))
        self.assertEqual([o.kind for o in outcomes], ["answered"] * len(prompts))
        self.assertEqual([o.detail for o in outcomes], expected)

    # Guards against lost or mixed pieces when a caller's socket buffer is full, and against a stall of other callers.
    def test_slow_reader(self):
        slow_reference = self.chat("slow-reference", "slow reader", 400).detail
        fast_reference = self.chat("fast-reference", "fast reader", 40).detail
        slow = self.open_stream("slow-reader", "slow reader", 400, receive_buffer=2048)
        slow.read_events(3)
        for i in range(4):
            outcome = self.chat(f"fast-{i}", "fast reader", 40)
            self.assertEqual((outcome.kind, outcome.detail), ("answered", fast_reference))
        time.sleep(2)
        outcome = slow.finish()
        self.assertEqual((outcome.kind, outcome.detail), ("answered", slow_reference))

    # Guards against a missing or repeated token where the second engine continues a broken stream.
    def test_engine_killed_in_mid_stream(self):
        reference = self.chat("undisturbed", "resume me", 300).detail
        self.assertEqual(len(reference), 300)
        before = {e: self.total_runs(e) for e in self.target.engines}
        stream = self.open_stream("resumed", "resume me", 300)
        stream.read_events(10)
        running = [e for e in self.target.engines if self.total_runs(e) > before[e]]
        self.assertEqual(len(running), 1)
        self.target.kill(running[0])
        try:
            outcome = stream.finish()
        finally:
            self.restart_upstream(running[0])
        self.assertEqual((outcome.kind, outcome.error_type, outcome.detail), ("answered", None, reference))
        attempts = self.target.admin(self.target.entries[0], "GET", "/explain/resumed")["records"][-1]["attempts"]
        self.assertGreaterEqual(len(attempts), 2)


if __name__ == "__main__":
    unittest.main()
