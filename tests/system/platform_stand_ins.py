"""Stand-ins of the users' platform for tests: its store and a replica, as their protocol describes them."""

import base64
import http.server
import json
import socket
import struct
import threading
import time
import urllib.parse


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True


class Store:
    """The platform's store: items with revisions, ranges, watches and conditional writes."""

    def __init__(self, address):
        self.changed = threading.Condition()
        self.items = {}
        self.log = []
        self.revision = 1
        self.era = 1  # rises by one with each restore
        self.down = False
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def answer(self, status, body):
                data = json.dumps(body).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Length", str(len(data)))
                    self.send_header("Store-Era", str(store.era))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:  # the process under test has ended while its watch was waiting
                    self.close_connection = True

            def do_GET(self):
                if store.down:
                    return self.answer(503, {})
                url = urllib.parse.urlparse(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if url.path == "/cornelrelay/kv-range":
                    return self.answer(200, store.range(query["prefix"], query.get("after", "")))
                if url.path == "/cornelrelay/kv-watch":
                    return self.answer(*store.watch(query))
                return self.answer(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"] or 0)) or b"{}")
                if store.down:
                    return self.answer(503, {})
                return self.answer(*store.transact(body))

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        self.server.shutdown()
        self.server.server_close()

    def put(self, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            self.items[key] = {"key": key, "value": base64.b64encode(text).decode(), "revision": self.revision,
                               "create_rev": self.revision, "lease": 0}
            self.log.append(self.items[key])
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.log.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()

    def range(self, prefix, after):
        with self.changed:
            found = [self.items[k] for k in sorted(self.items) if k.startswith(prefix) and k > after]
            return {"items": found[:3], "truncated": len(found) > 3, "current_rev": self.revision}

    def copy(self):
        """The state of the store as restore() takes it."""
        with self.changed:
            return dict(self.items), list(self.log), self.revision

    def restore(self, copy):
        """Goes back to a copy: what was written since is gone, and its revisions are given out again."""
        with self.changed:
            items, log, self.revision = copy
            self.items, self.log = dict(items), list(log)
            self.era += 1
            self.changed.notify_all()

    def watch(self, query):
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.changed:
            era = self.era
            while True:
                if self.era != era or int(query["after"]) > self.revision:
                    return 410, {}
                events = [e for e in self.log if e["key"].startswith(query["prefix"])
                          and e["revision"] > int(query["after"])]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                self.changed.wait(left)

    def transact(self, body):
        with self.changed:
            for row in body["precondition"]:
                current = self.items.get(row["key"])
                if (current["revision"] if current else 0) != row["revision"]:
                    return 412, {"items": [current] if current else []}
            for item in body["put_items"]:
                self.put(item["key"], base64.b64decode(item["value"]))
            return 200, {"revision": self.revision}


class Replica:
    """A replica that answers as its `plan` says: one entry for each request that it gets, the last one for all others."""

    def __init__(self, name, address):
        self.name = name
        self.plan = ["ok"]
        self.seen = []
        self.abandoned = 0  # streams whose caller left before their end
        self.endless_bytes = 0  # that its callers took of answers without end
        self.flooded_bytes = 0  # that its callers took of a `flood`
        self.unread_path = None  # requests for it are not read beyond their head
        self.large_answers = {}  # their lengths by path, whatever the plan says
        self.read_bytes_per_s = None  # at which bodies are read; as fast as they come if none
        self.endless_kept = 0  # such answers that no caller closed
        self.left_at = None  # when the caller of the last `until left` was gone
        self.address = address
        self.crashing_segment = None  # crashes when it begins to answer a prompt with this segment
        self.crashes_behind_event = False  # with that segment, just after the first event instead
        self.crashing_body = None  # crashes when it runs a request with this body
        self.rate_limit = None  # requests a second, named in each answer
        self.leaving = False  # says so in each answer
        self.crashes = []
        self.down_s = 0.5  # after a crash
        self.connections = set()
        self.down = threading.Lock()  # held from a crash until the replica is back
        self.stopped = False
        replica = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def head(self, status, length=None, **more):
                self.send_response(status)
                self.send_header("Attempt-Id", self.headers["Attempt-Id"])
                if replica.rate_limit is not None:
                    self.send_header("Server-Limit", str(replica.rate_limit))
                if replica.leaving:
                    self.send_header("Server-Leaving", "1")
                for name, value in more.items():
                    self.send_header(name.replace("_", "-"), value)
                if length is not None:
                    self.send_header("Content-Length", str(length))
                self.end_headers()

            def hang_up(self):
                self.close_connection = True
                self.connection.shutdown(socket.SHUT_RDWR)

            def setup(self):
                super().setup()
                self.refusal = None  # as it was written on this connection
                replica.connections.add(self.connection)

            def finish(self):
                replica.connections.discard(self.connection)
                super().finish()

            def do_GET(self):
                self.serve()

            def do_POST(self):
                self.serve()

            def serve(self):
                if self.path == replica.unread_path:
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                    time.sleep(4)
                    return self.hang_up()
                body = self.read_body(int(self.headers["Content-Length"] or 0))
                step = replica.plan.pop(0) if len(replica.plan) > 1 else replica.plan[0]
                replica.seen.append({"path": self.path, "body": body, "headers": dict(self.headers),
                                     "at": time.monotonic()})
                if self.path in replica.large_answers:
                    return self.large(replica.large_answers[self.path])
                if body == replica.crashing_body:
                    return replica.crash()
                segments = [part.split(":")[0] for part in self.headers.get("Prompt-Prefix", "").split(",")]
                if replica.crashing_segment in segments:
                    self.head(200, Replica_Seal="seal-" + replica.name, Content_Type="text/event-stream",
                              Transfer_Encoding="chunked")
                    self.wfile.flush()
                    if replica.crashes_behind_event:
                        self.chunk(b"id: 1\ndata: piece 1\n\n")
                        time.sleep(0.01)
                    return replica.crash()
                if step.startswith("refuse"):
                    return self.refuse(step)
                if step == "repeat refusal":
                    return self.repeat_refusal()
                if step.startswith("half head"):
                    return self.half_head(step)
                if step == "unknown":
                    self.head(404, 14, Replica_Seal="seal-" + replica.name)
                    return self.wfile.write(b"no such stream")
                if step == "fail":
                    self.head(500, 4, Replica_Seal="seal-" + replica.name)
                    return self.wfile.write(b"fail")
                if step.startswith("status"):
                    self.head(int(step.split()[1]), 4, Replica_Seal="seal-" + replica.name)
                    return self.wfile.write(b"fail")
                if step == "misdirected":
                    return self.head(421, 0)
                if step == "late fail":
                    time.sleep(0.8)
                    self.head(500, 4, Replica_Seal="seal-" + replica.name)
                    return self.wfile.write(b"fail")
                if step == "reset":
                    return self.hang_up()
                if step.startswith("unframed"):
                    return self.unframed(step)
                if step.startswith("endless"):
                    return self.endless(step.partition(" ")[2])
                if step.startswith("large"):
                    return self.large(int(step.split()[1]))
                if step == "flood":
                    return self.flood()
                if step.startswith("steady"):
                    return self.steady(step)
                if step.startswith("comments"):
                    return self.comments(step)
                if step.startswith("stream"):
                    return self.stream(step)
                if step == "until left":
                    replica.left_at = self.wait_for_close()
                    return self.hang_up()
                if step.startswith("slow"):
                    time.sleep(float(step.split()[1]))
                answer = b"answer of " + replica.name.encode()
                self.head(200, len(answer), Replica_Seal="seal-" + replica.name)
                return self.wfile.write(answer)

            def large(self, length):
                self.head(200, length, Replica_Seal="seal-" + replica.name)
                self.wfile.write(b"x" * length)

            def read_body(self, length):
                if replica.read_bytes_per_s is None:
                    return self.rfile.read(length)
                body = b""
                while len(body) < length:
                    body += self.rfile.read(min(replica.read_bytes_per_s // 20, length - len(body)))
                    time.sleep(0.05)
                return body

            def refuse(self, step):
                """`refuse N` asks for no requests for N seconds; `refuse cut` breaks off inside the body."""
                if step == "refuse cut":
                    self.head(503, 100, Not_Executed="1")
                    self.wfile.write(b"busy")
                    self.wfile.flush()
                    time.sleep(0.1)
                    return self.hang_up()
                more = {"Retry_After": step.split()[1]} if " " in step else {}
                return self.head(503, 0, Not_Executed="1", **more)

            def repeat_refusal(self):
                """Refuses the first request of a connection, and writes that once more before the answer to the next."""
                if self.refusal is None:
                    self.refusal = (f"HTTP/1.1 503 Full\r\nAttempt-Id: {self.headers['Attempt-Id']}\r\n"
                                    "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").encode()
                    return self.wfile.write(self.refusal)
                replica.seen[-1]["ran"] = True
                self.wfile.write(self.refusal)
                self.wfile.flush()
                time.sleep(0.1)
                answer = b"answer of " + replica.name.encode()
                self.head(200, len(answer), Replica_Seal="seal-" + replica.name)
                return self.wfile.write(answer)

            def half_head(self, step):
                """Ends the connection inside the head: `half head N` after N header lines and a part of the next."""
                lines = ["HTTP/1.1 200 OK", f"Attempt-Id: {self.headers['Attempt-Id']}",
                         "Replica-Seal: seal-" + replica.name, "Content-Length: 4", "X-Last: 1"]
                count = int(step.split()[2])
                self.wfile.write("\r\n".join(lines[:count] + [lines[count][:-2]]).encode())
                self.wfile.flush()
                return self.hang_up()

            def wait_for_close(self):
                """Works on the request until the other side closes. Returns when it did, or none after 5 s."""
                self.connection.settimeout(5)
                try:
                    while self.connection.recv(1):
                        pass
                except TimeoutError:
                    return None
                except ConnectionError:
                    pass
                return time.monotonic()

            def unframed(self, step):
                """Answers without length and chunks: `unframed`, `unframed reset`, `unframed N` as `stream N`."""
                self.close_connection = True
                last = int(self.headers["Last-Event-Id"] or 0)
                how = step.partition(" ")[2]
                if self.path.startswith("/look"):
                    self.head(200, Replica_Seal="seal-" + replica.name, Connection="close")
                    self.wfile.write(b"answer of " + replica.name.encode())
                else:
                    self.head(200, Replica_Seal="seal-" + replica.name, Content_Type="text/event-stream",
                              Connection="close")
                    for number in range(last + 1, 7):
                        event = f"id: {number}\ndata: piece {number}\n\n".encode()
                        if how == str(number):
                            return self.wfile.write(event[: len(event) // 2])
                        self.wfile.write(event)
                self.wfile.flush()
                if how == "reset":
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    self.connection.close()

            def endless(self, part):
                """Bytes that are no answer, in a `head`, a `body`, an `event` or as `noise`, until the caller closes."""
                self.close_connection = True
                filler = b"0123456789abcdef" * 4096
                if part == "head":
                    filler = b"X-Filler: 0123456789\r\n" * 3000
                    self.wfile.write(b"HTTP/1.1 200 OK\r\n")
                elif part in ("body", "event"):
                    more = {"Content_Type": "text/event-stream"} if part == "event" else {}
                    self.head(200, Replica_Seal="seal-" + replica.name, **more)
                    if part == "event":
                        self.wfile.write(b"id: 1\ndata: ")
                until = time.monotonic() + 10
                try:
                    while time.monotonic() < until:
                        self.wfile.write(filler)
                        replica.endless_bytes += len(filler)
                    replica.endless_kept += 1
                except OSError:
                    pass  # the caller has closed

            def flood(self):
                """A stream of 64 MiB, as fast as its caller takes it."""
                self.head(200, Replica_Seal="seal-" + replica.name, Content_Type="text/event-stream",
                          Transfer_Encoding="chunked")
                try:
                    for number in range(1, 4097):
                        self.chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * 16384))
                        replica.flooded_bytes += 16384
                    self.wfile.write(b"0\r\n\r\n")
                except OSError:
                    replica.abandoned += 1
                    self.close_connection = True

            def events(self, numbers):
                for number in numbers:
                    self.chunk(f"id: {number}\ndata: piece {number}\n\n".encode())
                    time.sleep(0.05)

            def chunk(self, data):
                self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
                self.wfile.flush()

            def steady(self, step):
                """`steady` sends 40 events in 2 s; `steady N S` pauses for S seconds before event N of a new stream."""
                pause_before, pause = (step.split()[1:] + [0, 0])[:2]
                first = int(self.headers["Last-Event-Id"] or 0) + 1
                self.head(200, Replica_Seal="seal-" + replica.name, Content_Type="text/event-stream",
                          Transfer_Encoding="chunked")
                try:
                    if first <= int(pause_before):
                        self.events(range(first, int(pause_before)))
                        first = int(pause_before)
                        time.sleep(float(pause))
                    self.events(range(first, 41))
                    self.wfile.write(b"0\r\n\r\n")
                except OSError:
                    replica.abandoned += 1
                    self.close_connection = True

            def comments(self, step):
                """`comments S`: 3 events, comments for S seconds, and the other 3 events."""
                self.head(200, Replica_Seal="seal-" + replica.name, Content_Type="text/event-stream",
                          Transfer_Encoding="chunked")
                self.events(range(1, 4))
                until = time.monotonic() + float(step.split()[1])
                try:
                    while time.monotonic() < until:
                        self.chunk(b": busy\n\n")
                        time.sleep(0.1)
                    self.events(range(4, 7))
                    self.wfile.write(b"0\r\n\r\n")
                except OSError:  # the caller has left
                    self.close_connection = True

            def stream(self, step):
                """`stream N` sends events up to 6; with N it breaks off in the middle of event N."""
                last = int(self.headers["Last-Event-Id"] or 0)
                cut = int(step.split()[1]) if " " in step else None
                self.head(200, Replica_Seal="seal-" + replica.name, Content_Type="text/event-stream",
                          Transfer_Encoding="chunked")
                for number in range(last + 1, 7):
                    event = f"id: {number}\ndata: piece {number}\n\n".encode()
                    if cut == number:
                        event = event[: len(event) // 2]
                    self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
                    self.wfile.flush()
                    if cut == number:
                        return self.hang_up()
                return self.wfile.write(b"0\r\n\r\n")

        self.handler = Handler
        self.start()

    def start(self):
        self.server = Server(self.address, self.handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        self.stopped = True
        self.end()

    def end(self):
        self.server.shutdown()
        self.server.server_close()

    def crash(self):
        """Ends all connections and refuses new ones until the replica is back."""
        if not self.down.acquire(blocking=False):
            return
        self.crashes.append(time.monotonic())
        # Called on a thread of the server, which must not wait for itself.
        threading.Thread(target=self.crash_and_return, daemon=True).start()

    def crash_and_return(self):
        self.end()
        for connection in list(self.connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # its caller has closed it
        time.sleep(self.down_s)
        if not self.stopped:
            self.start()
        self.down.release()

    def entry(self, service, state="ready", sequence=0):
        host, port = self.address
        return {"service": service, "address": f"{host}:{port}", "zone": "a", "version": "v1", "slots": 4,
                "state": state, "cold_remaining_ms": 0, "sequence": sequence, "born": 1}
