"""R5: an upstream that is leaving receives no new work after 3 s, and its running work completes in full."""

import json
import signal
import threading
import time
import unittest

import deployment
import system_case

LEAVE_LIMIT_S = 3


class LeavingTest(system_case.SystemCase):
    sizes = {"entries": 3, "engines": 3, "plains": 1, "accounts": 2}

    def publish_host_list(self):
        hosts = [{"host": "agent-" + name, "role": "agent", "data_centre": self.target.data_centre(name),
                  "control": self.target.upstream_address(name, 7101)}
                 for name in self.target.engines + self.target.plains]
        deployment.call(self.target.hosts_address(), "POST", "/hosts", json.dumps({"hosts": hosts}))

    # Guards against routing by the late host list, and against cutting streams of the leaving upstream.
    def test_agent_is_terminated(self):
        self.publish_host_list()
        leaving = self.target.engines[0]
        reference = self.chat("long-reference", "long answer", 1200).detail
        long_streams = [self.open_stream(f"long-{i}", "long answer", 1200, i % 3) for i in range(9)]
        self.assertTrue(deployment.wait_until(lambda: self.total_runs(leaving) > 0, 5),
                        "no long stream runs on the leaving engine")
        reading = [self.pool.submit(stream.finish) for stream in long_streams]
        done = threading.Event()

        def load(entry):
            kinds = []
            while not done.is_set():
                kinds.append(self.chat(f"load-{entry}-{len(kinds)}", f"load {entry} {len(kinds)}", 4, entry).kind)
            return kinds

        loads = [self.pool.submit(load, entry) for entry in (0, 1, 2, 0, 1, 2)]
        try:
            time.sleep(1)
            self.target.signal("agent-" + leaving, signal.SIGTERM)
            time.sleep(LEAVE_LIMIT_S)
            at_limit = self.total_runs(leaving)
            others = sum(self.total_runs(e) for e in self.target.engines[1:])
            time.sleep(4)
            listed = json.loads(deployment.call(self.target.hosts_address(), "GET", "/hosts")[2])["hosts"]
            self.assertIn("agent-" + leaving, json.dumps(listed))
            self.assertEqual(self.total_runs(leaving), at_limit, "new requests after the limit")
            self.assertGreater(sum(self.total_runs(e) for e in self.target.engines[1:]), others)
        finally:
            done.set()
        for future in loads:
            self.assertEqual(set(future.result()), {"answered"})
        for future in reading:
            outcome = future.result()
            self.assertEqual((outcome.kind, outcome.error_type), ("answered", None))
            self.assertEqual(outcome.detail, reference)
        self.assertEqual(self.target.wait_exit("agent-" + leaving), 0)


if __name__ == "__main__":
    unittest.main()
