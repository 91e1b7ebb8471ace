"""A replica of a plain service (PROTOCOL.md), in a process of its own.

Usage: plain.py ID HOST:PORT RUNS_FILE WORK_MS SPOIL_EVERY
It answers after WORK_MS. With SPOIL_EVERY above 0 it is faulty: each answer with that number is truncated inside the
end of its body, which is empty and sent in chunks. Each run is a line in RUNS_FILE."""

import http.server
import json
import os
import socket
import sys
import threading
import time

NAME, ADDRESS, RUNS, WORK, SPOIL_EVERY = sys.argv[1:6]
WORK, SPOIL_EVERY = float(WORK) / 1000, int(SPOIL_EVERY)
runs = os.open(RUNS, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
lock = threading.Lock()
answers = 0


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *args):
        pass

    def head(self, status, headers):
        self.send_response(status)
        if self.headers["Attempt-Id"]:
            self.send_header("Attempt-Id", self.headers["Attempt-Id"])
        for name, value in headers.items():
            self.send_header(name, value)
        self.end_headers()

    def do_GET(self):
        global answers
        self.rfile.read(int(self.headers["Content-Length"] or 0))
        if self.headers["Expect-Replica"] not in (None, NAME):
            return self.head(421, {"Content-Length": "0", "Replica-Id": NAME})
        with lock:
            answers += 1
            spoil = SPOIL_EVERY > 0 and answers % SPOIL_EVERY == 0
        os.write(runs, (json.dumps({"at": time.monotonic(), "replica": NAME, "id": self.headers["Attempt-Id"],
                                    "spoiled": spoil}) + "\n").encode())
        time.sleep(WORK)
        try:
            if spoil:
                return self.spoil()
            body = b"answer to " + (self.headers["Attempt-Id"] or "").encode()
            self.head(200, {"Replica-Seal": "seal-" + NAME, "Content-Length": str(len(body))})
            self.wfile.write(body)
        except OSError:
            self.close_connection = True

    do_POST = do_GET

    def spoil(self):
        self.head(200, {"Replica-Seal": "seal-" + NAME, "Transfer-Encoding": "chunked"})
        for part in (b"0\r\n", b"\r"):
            time.sleep(0.02)
            self.wfile.write(part)
        time.sleep(0.02)
        self.close_connection = True
        self.connection.shutdown(socket.SHUT_RDWR)


host, port = ADDRESS.rsplit(":", 1)
Server((host, int(port)), Handler).serve_forever()
