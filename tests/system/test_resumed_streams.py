"""Streams that may be resumed, whose replicas break them off behind some event."""

import http.server
import itertools
import re
import socket
import struct
import threading
import unittest

from relay_case import HOST, ROUTES, RelayCase, configuration, free_ports, route

EVENTS = 5
EARNING_REQUESTS = 5  # whole streams before each one that is broken off, which earn its retries
FIRST_IDS = (0, 1, 2**32 - 1, 2**63 - 3, 2**64 - 8)


class Breaks:
    """Which of the next answers are broken off, and how; shared by the replicas."""

    def __init__(self):
        self.first_id = 0
        self.behind = iter(())  # numbers of events, one for each answer to be broken off
        self.by_reset = False


class StreamServer(http.server.ThreadingHTTPServer):
    """A replica that numbers its events from `breaks.first_id`, or goes on behind a Last-Event-Id."""

    daemon_threads = True

    def __init__(self, name, address, breaks):
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_POST(self):
                self.rfile.read(int(self.headers["Content-Length"] or 0))
                after = self.headers["Last-Event-Id"]
                start = breaks.first_id if after is None else int(after) + 1
                break_behind = next(breaks.behind, None)
                self.send_response(200)
                for field, value in (("Attempt-Id", self.headers["Attempt-Id"]), ("Replica-Seal", "seal-" + name),
                                     ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")):
                    self.send_header(field, value)
                self.end_headers()
                for count, number in enumerate(range(start, breaks.first_id + EVENTS), 1):
                    event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                    if count == break_behind:
                        return self.break_off()
                self.wfile.write(b"0\r\n\r\n")

            def break_off(self):
                self.close_connection = True
                if breaks.by_reset:
                    self.wfile.flush()
                    threading.Event().wait(0.05)  # the event arrives first
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    self.connection.close()

            def handle(self):
                try:
                    super().handle()
                except (OSError, ValueError):
                    pass  # the connection was reset, by either side

        super().__init__(address, Handler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        pass

    def stop(self):
        self.shutdown()
        self.server_close()


class ResumedStreamsTest(RelayCase):
    def setUp(self):
        super().setUp()
        self.breaks = Breaks()
        for n in range(3):
            address = (HOST, free_ports(1)[0])
            replica = StreamServer(f"n-{n}", address, self.breaks)
            self.addCleanup(replica.stop)
            self.store.put(f"servers/n-{n}", {"service": "numbered", "address": f"{HOST}:{address[1]}", "zone": "a",
                                              "version": "v1", "slots": 4, "state": "ready", "cold_remaining_ms": 0,
                                              "sequence": 0, "born": 1})
        numbered = route("numbered", "streaming", service="numbered", stream_resume=True, max_attempts=3)
        changed = configuration(4, ROUTES + [numbered])
        changed["services"].append({"name": "numbered", "health_path": "/healthz"})
        self.store.put("op/config", changed)
        self.wait_for(lambda: self.ask("POST", "/numbered/0", body=b"x")[0].status == 200)

    # Guards against ORDER of review/15: the event with id 0 came twice if the stream broke off just behind it.
    def test_each_event_comes_once_whatever_the_first_id(self):
        for first_id, behind, by_reset in itertools.product(FIRST_IDS, ((1,), (2,), (1, 1), (2, 1)), (False, True)):
            for last_event in (None, first_id):
                with self.subTest(first_id=first_id, behind=behind, by_reset=by_reset, last_event=last_event):
                    for _ in range(EARNING_REQUESTS):
                        self.ask("POST", "/numbered/0", body=b"x")
                    self.breaks.first_id, self.breaks.behind, self.breaks.by_reset = first_id, iter(behind), by_reset
                    headers = {} if last_event is None else {"Last-Event-Id": str(last_event)}
                    response, body = self.ask("POST", "/numbered/1", body=b"x", **headers)
                    start = first_id if last_event is None else last_event + 1
                    self.assertEqual(response.status, 200)
                    self.assertIsInstance(body, bytes)
                    self.assertEqual([int(n) for n in re.findall(rb"^id: (\d+)$", body, re.MULTILINE)],
                                     list(range(start, first_id + EVENTS)))


if __name__ == "__main__":
    unittest.main()
