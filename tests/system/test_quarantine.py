"""A request that crashes every upstream that runs it must not take down the deployment."""

import unittest

from system_case import SystemCase


class QuarantineTest(SystemCase):
    sizes = {"entries": 3, "engines": 6, "plains": 1, "accounts": 2}

    # Guards against a caller that sends a crashing request again through other entry processes and so
    # takes down one replica after another.
    def test_crashing_request_takes_down_two_replicas_at_most(self):
        outcomes = [self.chat(f"crash-{i}", "please [[crash]] now", 4, entry=i % 3) for i in range(6)]
        dead = [name for name in self.target.engines if self.target.processes[name].poll() is not None]
        self.assertLessEqual(len(dead), 2)
        self.assertEqual(outcomes[-1].error_type, "request_quarantined")
        self.assertEqual(outcomes[-1].kind, "not_run")
        self.assertEqual(self.chat("innocent", "a harmless prompt", 4).kind, "answered")


if __name__ == "__main__":
    unittest.main()
