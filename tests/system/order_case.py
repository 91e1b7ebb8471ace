"""Base of the tests that place non-idempotent orders."""

import deployment
import system_case

DAY_MS = 24 * 3600 * 1000


class OrderCase(system_case.SystemCase):
    """Places orders and checks after each test that none ran twice or was falsely reported."""

    def setUp(self):
        self.tries = {}  # key -> outcomes

    def tearDown(self):
        self.target.store_faults()
        effects = self.target.effects()
        for key, outcomes in self.tries.items():
            kinds = [o.kind for o in outcomes]
            self.assertLessEqual(effects.get(key, 0), 1, f"{key} ran more than once; answers {kinds}")
            if all(kind == "not_run" for kind in kinds):
                self.assertEqual(effects.get(key, 0), 0, f"{key} ran although every answer was not_run")
            if "answered" in kinds:
                self.assertEqual(effects.get(key, 0), 1, f"{key} was answered without an effect")

    def place(self, name, key, body, entry=0):
        outcome = self.order(name, key, body, entry)
        self.tries.setdefault(key, []).append(outcome)
        return outcome

    def place_later(self, name, key, body, entry=0):
        return self.pool.submit(self.place, name, key, body, entry)

    def wait_effect(self, key):
        self.assertTrue(deployment.wait_until(lambda: self.target.effects().get(key, 0) > 0, 10, 0.01))

    def service_of(self, key):
        return next(n for n in self.target.plains
                    if self.target.ledger_file(n).exists() and key in self.target.ledger_file(n).read_text())

    def wait_store(self):
        """A store outage ends for a process only with its next trial call."""
        self.target.store_faults()
        for i in range(len(self.target.entries)):
            placed = []

            def works(entry=i, answers=placed):
                answers.append(self.place(f"probe-{entry}", deployment.uuid7(), "probe", entry).kind)
                return answers[-1] == "answered"

            self.assertTrue(deployment.wait_until(works, 20, 0.3), f"entry {i} answered {placed}")

    def assert_told_executed(self, outcome):
        self.assertNotEqual(outcome.kind, "not_run", f"said of an executed order: {outcome.error_type}")
