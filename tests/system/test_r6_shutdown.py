"""R6: a graceful shutdown cuts off no request in progress."""

import http.client
import signal
import time
import unittest

import deployment
import system_case


class ShutdownTest(system_case.SystemCase):
    sizes = {"entries": 2, "engines": 3, "plains": 1, "accounts": 2}

    def health(self, name):
        try:
            return deployment.call(self.target.entry_address(name), "GET", "/healthz", timeout=2)[0]
        except (OSError, http.client.HTTPException):
            return None

    def log_text(self, name):
        return (self.target.dir / f"{name}.log").read_text()

    # Guards against cutting streams, against a refused connection before the balancer could notice, and against
    # an exit code that reports a failure.
    def test_terminated_during_long_streams(self):
        name = self.target.entries[0]
        reference = self.chat("reference", "long answer", 1000).detail
        streams = [self.open_stream(f"long-{i}", "long answer", 1000) for i in range(8)]
        for stream in streams:
            stream.read_events(2)
        self.target.signal(name, signal.SIGTERM)
        answers = []

        def refuses():
            answers.append(self.health(name))
            return answers[-1] is None

        self.assertTrue(deployment.wait_until(refuses, 20, 0.05))
        self.assertIn(503, answers, "the health check did not fail before connections were refused")
        for outcome in self.pool.map(lambda stream: stream.finish(), streams):
            self.assertEqual((outcome.kind, outcome.error_type), ("answered", None))
            self.assertEqual(outcome.detail, reference)
        self.assertEqual(self.target.wait_exit(name), 0)
        self.assertNotIn("request_cut_off", self.log_text(name))
        self.replace_entries(name)

    # Guards against a plain call that is dropped because no byte of its answer has been sent yet.
    def test_terminated_during_whole_answers(self):
        name = self.target.entries[0]
        sent = [self.pool.submit(self.chat, f"whole-{i}", f"whole {i}", 800, 0, False) for i in range(6)]
        self.assertTrue(deployment.wait_until(
            lambda: sum(self.total_runs(e) for e in self.target.engines) >= 6, 10))
        time.sleep(0.2)
        self.target.signal(name, signal.SIGTERM)
        self.assertEqual([f.result().kind for f in sent], ["answered"] * 6)
        self.assertEqual(self.target.wait_exit(name), 0)
        self.replace_entries(name)

    # Guards against a forced shutdown that waits, that looks like a whole answer, or that leaves no trace.
    def test_second_signal(self):
        name = self.target.entries[1]
        streams = [self.open_stream(f"cut-{i}", f"cut {i}", 3000, 1) for i in range(4)]
        for stream in streams:
            stream.read_events(2)
        self.target.signal(name, signal.SIGTERM)
        time.sleep(0.5)
        self.assertIsNone(self.target.processes[name].poll())
        self.target.signal(name, signal.SIGTERM)
        self.target.wait_exit(name, limit_s=5)
        for stream in streams:
            self.assertNotEqual(stream.finish().kind, "answered")
            self.assertTrue(any("request_cut_off" in line and stream.request_id in line
                                for line in self.log_text(name).splitlines()))
        self.assertIn("shutdown_forced", self.log_text(name))
        self.replace_entries(name)


if __name__ == "__main__":
    unittest.main()
