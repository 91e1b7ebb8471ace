"""Replicas that send bytes without end that are no answer, until their caller closes."""

import concurrent.futures
import unittest

from relay_case import RelayCase

MEMORY_KIB = 260 * 1024  # the smallest memory of the users' machines
CALLERS = 12


class EndlessAnswersTest(RelayCase):
    def peak_memory_kib(self):
        with open(f"/proc/{self.entries[0].process.pid}/status", encoding="ascii") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmHWM"))

    # Guards against an entry process that keeps such bytes, runs out of memory, and ends the requests of all callers with
    # it (issue 33).
    def test_bytes_without_end_take_neither_memory_nor_other_requests(self):
        troubled, sound = self.replicas
        for part in ("head", "body", "event", "noise"):
            with self.subTest(part), concurrent.futures.ThreadPoolExecutor(2 * CALLERS) as pool:
                troubled.plan = ["endless " + part]
                path = "/tale/1" if part == "event" else "/look/1"
                method = "POST" if part == "event" else "GET"
                asked = [pool.submit(self.ask, method, path, **{"Attempt-Id": f"{part}-{n}"}) for n in range(CALLERS)]
                for number in range(30):
                    status = self.ask("GET", "/look/2", **{"Attempt-Id": f"other-{part}-{number}"})[0].status
                    # The replica in trouble may get a request and its retry; no request is left without an answer.
                    self.assertIn(status, (200, 502, 503))
                for answer in asked:
                    answer.result()
                troubled.plan = ["ok"]
                self.wait_for(lambda: self.ask("GET", "/look/3")[0].status == 200)
                self.assertEqual(troubled.endless_kept, 0)
                self.assertGreater(troubled.endless_bytes, 0)
                troubled.endless_bytes = 0
                self.assertIsNone(self.entries[0].process.poll())
                self.assertLess(self.peak_memory_kib(), MEMORY_KIB)
        self.assertTrue(sound.seen)


if __name__ == "__main__":
    unittest.main()
