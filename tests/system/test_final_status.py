"""Whether the last answer to a request says truly that no replica has run it."""

import json
import pathlib
import socket
import time
import unittest
import urllib.request

from relay_case import HOST, ROUTES, RelayCase, configuration, free_ports, route


class FinalStatusTest(RelayCase):
    def assert_not_run(self, answer):
        response, body = answer
        self.assertEqual(response.status, 503, body)
        self.assertIn(b'"execution":"not_run"', body)
        self.assertGreater(float(response.getheader("Retry-After", "0")), 0)

    def move_replicas(self, addresses):
        """Gives the replicas other addresses in the store, and waits until the entry process uses them."""
        for replica, (host, port) in zip(self.replicas, addresses):
            self.store.put("servers/" + replica.name, {**replica.entry("svc", sequence=5), "address": f"{host}:{port}"})
        self.wait_for(lambda: self.ask("POST", "/order/0", body=b"x", **{"Deadline-Ms": "300"})[0].status != 200)

    def silent_address(self):
        """An address at which connections are neither accepted nor refused."""
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.bind((HOST, 0))
        listener.listen(0)
        # Fills the backlog, so that the kernel drops further connection requests.
        for _ in range(4):
            filler = socket.socket()
            self.addCleanup(filler.close)
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        return listener.getsockname()

    # Guards against a 502 after a connect that stalled and was replaced by an attempt that was refused.
    def test_stalled_connect_that_is_replaced(self):
        stalled, refusing = self.replicas
        refusing.plan = ["refuse"]
        host, port = self.silent_address()
        # A response is late after 120 ms there, and a connect fails after 250 ms.
        quick = route("quick", "idempotent", target_latency_ms=50)
        self.store.put("op/config", configuration(5, ROUTES + [quick]))
        log = pathlib.Path(self.entries[0].log.name)
        self.wait_for(lambda: self.ask("GET", "/quick/0")[0].status != 404)
        # Which replica is asked first is random, and one that failed is avoided until it starts again.
        for born in range(2, 12):
            changed = {**stalled.entry("svc", sequence=5 + born), "address": f"{host}:{port}", "born": born}
            self.store.put("servers/" + stalled.name, changed)
            time.sleep(0.3)
            for number in range(6):
                self.assert_not_run(self.ask("GET", f"/quick/{number}"))
            if log.read_bytes().count(b'"attempt_given_up"') >= 2:
                break
        self.assertIn(b'"attempt_given_up"', log.read_bytes())

    # Guards against a 502 after refusals of which the connection broke while the body was read.
    def test_refusals_that_break_off(self):
        self.plan("refuse cut")
        for number in range(4):
            self.assert_not_run(self.ask("POST", f"/order/{number}", body=b"x"))
            self.assert_not_run(self.ask("GET", f"/look/{number}"))
        self.plan("refuse cut", "ok")
        self.assertEqual(self.ask("POST", "/order/9", body=b"x")[0].status, 200)

    # Guards against a 503 without a retry time, or a 502, for a request that no replica could be reached for.
    def test_replicas_that_refuse_connections(self):
        self.move_replicas((HOST, port) for port in free_ports(2))
        self.assert_not_run(self.ask("POST", "/order/1", body=b"x"))
        self.assert_not_run(self.ask("GET", "/look/1"))

    # Guards against a 504 for a request whose deadline passed while its connection was being established.
    def test_deadline_that_passes_during_a_connect(self):
        self.move_replicas([self.silent_address() for _ in self.replicas])
        for deadline in ("200", "700", "1500"):
            self.assert_not_run(self.ask("POST", "/order/1", body=b"x", **{"Deadline-Ms": deadline}))
            self.assert_not_run(self.ask("GET", "/look/1", **{"Deadline-Ms": deadline}))

    # Guards against a 502 or 504 whose cause an operator can't find from the request's id.
    def test_unknown_outcomes_are_logged_and_counted_by_cause(self):
        for number, (step, answer, cause) in enumerate((
                ("reset", "502", "broken_connection"), ("status 429", "502", "error_response"),
                ("status 502", "502", "error_response"), ("slow 5", "504", "deadline_exceeded"))):
            with self.subTest(step):
                self.plan(step)
                request = {"Attempt-Id": f"u-{number}", "Deadline-Ms": "600"}
                status = self.ask("POST", "/order/1", body=b"x", **request)[0].status
                self.assertEqual(str(status), answer)
                self.wait_for(lambda number=number: self.events_of(f"u-{number}"))
                event = self.events_of(f"u-{number}")[0]
                self.assertEqual((event["answer"], event["cause"]), (answer, cause))
                self.assertRegex(event["upstream"], "i-[01]")
                self.assertIn(f'cornelrelay_unknown_outcome_total{{answer="{answer}",cause="{cause}"}}', self.metrics())

    def events_of(self, request):
        """The lines about unknown outcomes of a request."""
        lines = pathlib.Path(self.entries[0].log.name).read_text().splitlines()
        events = [json.loads(line) for line in lines if '"outcome_unknown"' in line]
        return [event for event in events if event["request"] == request]

    def metrics(self):
        port = next(int(line.split(":")[1].strip('"')) for line in self.entries[0].settings.read_text().splitlines()
                    if line.startswith("metrics = "))
        with urllib.request.urlopen(f"http://{HOST}:{port}/metrics", timeout=3) as response:
            return response.read().decode()

    # Guards against a promise that the request has not run, although an earlier attempt may have run: a status of a
    # replica that gave no proof of it was passed on.
    def test_status_of_a_replica_without_proof(self):
        for status in (408, 429, 503):
            for plan in (("reset", f"status {status}"), (f"status {status}", "reset"), (f"status {status}",)):
                with self.subTest(plan):
                    self.plan(*plan)
                    self.assertEqual(self.ask("GET", "/look/1")[0].status, 502)
            self.plan(f"status {status}")
            self.assertEqual(self.ask("POST", "/order/1", body=b"x")[0].status, 502)


if __name__ == "__main__":
    unittest.main()
