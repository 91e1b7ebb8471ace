"""Limits of a client account with the real binaries."""

import http.client
import unittest

import deployment
import traffic
from system_case import SystemCase

ONE_AT_A_TIME = deployment.ASSISTANT_PROFILE.replace("concurrency = 400", "concurrency = 1")


class LimitsTest(SystemCase):
    sizes = {"entries": 1, "engines": 1, "plains": 1, "accounts": 1}

    def queued(self):
        return self.target.admin("entry-1", "GET", "/dump")["admission"]["services"]["assistant"]["queued"]

    # Guards against a permit that is lost when a caller goes away while its request is queued: the
    # request would start for nobody and never end.
    def test_caller_that_leaves_the_queue_holds_no_permit(self):
        revision = self.target.edit("entry-1", {"kind": "change", "document": ONE_AT_A_TIME})
        self.assertTrue(self.target.wait_revision(revision))
        running = self.open_stream("running", "a long answer", 200)
        address = self.target.entry_address("entry-1")
        queued = http.client.HTTPConnection(*address.rsplit(":", 1), timeout=30)
        queued.request("POST", "/v1/chat/completions", traffic.chat_body("never read", 200, True),
                       {"Authorization": f"Bearer {self.key}"})
        self.assertTrue(deployment.wait_until(lambda: self.queued() == 1, 10))
        queued.close()
        self.assertEqual(running.finish().kind, "answered")
        for i in range(3):
            self.assertEqual(self.chat(f"later-{i}", "a short answer", 2).kind, "answered")


if __name__ == "__main__":
    unittest.main()
