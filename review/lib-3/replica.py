"""A replica of a streaming service (PROTOCOL.md), in a process of its own so that it can be killed.

Usage: replica.py ID HOST:PORT RUNS_FILE FIRST_ID EVENTS PAUSE_MS
Its streams have EVENTS events, whose ids rise by one from FIRST_ID; `Last-Event-Id: N` goes on behind event N.
Each run is a line in RUNS_FILE."""

import http.server
import json
import os
import sys
import time

NAME, ADDRESS, RUNS, FIRST, EVENTS, PAUSE = sys.argv[1:7]
FIRST, EVENTS, PAUSE = int(FIRST), int(EVENTS), float(PAUSE) / 1000
runs = os.open(RUNS, os.O_WRONLY | os.O_APPEND | os.O_CREAT)


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def do_GET(self):  # the health path
        self.head(200, {"Content-Length": "0", "Replica-Id": NAME})

    def head(self, status, headers):
        self.send_response(status)
        if self.headers["Attempt-Id"]:
            self.send_header("Attempt-Id", self.headers["Attempt-Id"])
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()

    def do_POST(self):
        self.rfile.read(int(self.headers["Content-Length"] or 0))
        if self.headers["Expect-Replica"] not in (None, NAME):
            return self.head(421, {"Content-Length": "0", "Replica-Id": NAME})
        after = self.headers["Last-Event-Id"]
        first = FIRST if after is None else int(after) + 1
        os.write(runs, (json.dumps({"at": time.monotonic(), "replica": NAME, "id": self.headers["Attempt-Id"],
                                    "after": after}) + "\n").encode())
        self.head(200, {"Replica-Seal": "seal-" + NAME, "Content-Type": "text/event-stream",
                        "Transfer-Encoding": "chunked"})
        try:
            for number in range(first, FIRST + EVENTS):
                time.sleep(PAUSE)
                event = b"id: %d\ndata: piece %d\n\n" % (number, number)
                self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            self.wfile.write(b"0\r\n\r\n")
        except OSError:
            self.close_connection = True


host, port = ADDRESS.rsplit(":", 1)
Server((host, int(port)), Handler).serve_forever()
