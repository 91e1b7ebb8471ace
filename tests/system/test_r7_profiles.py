"""R7: a profile change that has been accepted is in force everywhere within 16 s and never reverts."""

import signal
import threading
import time
import unittest

import deployment
import system_case

REVISION_LIMIT_S = 16


class ProfilesTest(system_case.SystemCase):
    sizes = {"entries": 3, "engines": 1, "plains": 1, "accounts": 2}

    def tearDown(self):
        self.target.store_faults()

    def document(self, deadline_ms):
        return deployment.ORDERS_PROFILE.replace("deadline_ms = 15000", f"deadline_ms = {deadline_ms}")

    def change(self, entry, deadline_ms, **fields):
        """(revision, None) or (None, AdminError)"""
        edit = {"kind": "change", "document": self.document(deadline_ms)}
        try:
            return self.target.edit(self.target.entries[entry], edit, **fields), None
        except deployment.AdminError as error:
            return None, error

    def changes_with(self, change_id, entry=0):
        history = self.target.admin(self.target.entries[entry], "GET", "/catalogue")["history"]
        return [c for c in history if c["id"] == change_id]

    # Guards against a lost update, and against a conflict that does not say what the other operator changed.
    def test_two_operators_at_once(self):
        for round_number in range(5):
            seen = max(self.target.revision(e) for e in self.target.entries)
            self.assertTrue(self.target.wait_revision(seen))
            values = (11000 + round_number, 12000 + round_number)
            futures = [self.pool.submit(self.change, i, values[i], seen=seen, author=f"operator-{i}",
                                        change_id=f"race-{round_number}-{i}") for i in range(2)]
            results = [f.result() for f in futures]
            winners = [i for i, (revision, _) in enumerate(results) if revision is not None]
            self.assertEqual(len(winners), 1, results)
            loser = 1 - winners[0]
            error = results[loser][1]
            self.assertEqual(error.status, 409)
            body = error.body["error"]
            self.assertEqual(body["mine"]["id"], f"race-{round_number}-{loser}")
            self.assertIn(f"race-{round_number}-{winners[0]}", [c["change"]["id"] for c in body["theirs"]])
            self.assertTrue(any(str(values[winners[0]]) in line for c in body["theirs"] for line in c["lines"]))
            self.assertTrue(self.target.wait_revision(results[winners[0]][0], REVISION_LIMIT_S))

    # Guards against a second application, or a refusal, of a change whose write took effect without an answer.
    def test_answer_to_the_write_is_lost(self):
        for count in (1, 2, 3, 4):
            change_id = f"lost-{count}"
            self.target.store_faults(lose_answers=count)
            revision, error = self.change(0, 13000 + count, change_id=change_id)
            self.target.store_faults()
            if revision is None:
                self.assertEqual(error.status, 504, error)
                revision, error = self.change(1, 13000 + count, change_id=change_id)
                self.assertIsNone(error)
            self.assertTrue(self.target.wait_revision(revision, REVISION_LIMIT_S))
            for entry in range(3):
                self.assertEqual(len(self.changes_with(change_id, entry)), 1)

    # Guards against a start with an older catalogue, or with none, while the store cannot be asked.
    def test_entry_process_replaced_during_a_store_outage(self):
        revision, error = self.change(0, 14000)
        self.assertIsNone(error)
        self.assertTrue(self.target.wait_revision(revision, REVISION_LIMIT_S))
        self.target.store_faults(outage=True)
        name = self.target.entries[2]
        self.target.kill(name)
        seen = []
        ended = threading.Event()

        def watch():
            while not ended.is_set():
                try:
                    status = self.target.admin(name, "GET", "/status")
                    if status["revision"] is not None:
                        seen.append(status["revision"])
                except (OSError, deployment.http.client.HTTPException):
                    pass
                time.sleep(0.02)

        watching = self.pool.submit(watch)
        try:
            self.target.start_entry(name)
            self.assertTrue(deployment.wait_until(lambda: revision in seen, REVISION_LIMIT_S))
            self.target.wait_ready(name)
            self.assertEqual(self.change(0, 14500)[1].status, 503)
            time.sleep(1)
        finally:
            ended.set()
            watching.result()
            self.target.store_faults()
        self.assertEqual(set(seen), {revision})
        self.target.wait_joined()

    # Guards against a confirmation on behalf of a process that has not applied the change.
    def test_wait_names_a_stopped_entry_process(self):
        name = self.target.entries[2]
        file = self.target.dir / "changed.toml"
        file.write_text(self.document(14900))
        self.target.signal(name, signal.SIGSTOP)
        try:
            result = self.target.command(self.target.entries[0], "profile", "change", str(file), "--wait")
        finally:
            self.target.signal(name, signal.SIGCONT)
        self.assertNotEqual(result.returncode, 0, result.stdout)
        self.assertIn(name, result.stderr)
        self.target.wait_joined()
        self.assertTrue(self.target.wait_revision(self.target.revision(self.target.entries[0]), REVISION_LIMIT_S))


if __name__ == "__main__":
    unittest.main()
