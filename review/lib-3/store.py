"""The platform's store as PROTOCOL.md describes it, for the cases 11 to 15: items, ranges, watches, conditional
writes and leases. It loses nothing and answers at once."""

import base64
import http.server
import json
import threading
import time
import urllib.parse


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256


class Store:
    def __init__(self, address):
        self.changed = threading.Condition()
        self.items = {}
        self.log = []
        self.revision = 100
        self.leases = {}  # number: (end, ttl)
        self.last_lease = 0
        self.on_write = None  # called with (key, value) of each conditional write
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def answer(self, status, body):
                data = json.dumps(body).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.send_header("Store-Era", "1")
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    self.close_connection = True

            def body(self):
                return json.loads(self.rfile.read(int(self.headers["Content-Length"] or 0)) or b"{}")

            def do_GET(self):
                url = urllib.parse.urlparse(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if url.path == "/cornelrelay/kv-range":
                    return self.answer(200, store.range(query.get("prefix", ""), query.get("after", "")))
                if url.path == "/cornelrelay/kv-watch":
                    return self.answer(200, store.watch(query))
                if url.path == "/cornelrelay/kv-key":
                    return self.answer(*store.get(query["key"]))
                return self.answer(404, {})

            def do_POST(self):
                body = self.body()
                if self.path == "/cornelrelay/kv-txn":
                    return self.answer(*store.transact(body))
                if self.path == "/cornelrelay/kv-lease":
                    return self.answer(*store.grant(body))
                if self.path.startswith("/cornelrelay/kv-keep/"):
                    return self.answer(*store.keep(int(self.path.rsplit("/", 1)[1])))
                return self.answer(404, {})

            def do_DELETE(self):
                self.body()
                return self.answer(*store.end_lease(int(self.path.rsplit("/", 1)[1])))

        self.server = Server(address, Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def stop(self):
        self.server.shutdown()
        self.server.server_close()

    def put(self, key, value, lease=0):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.revision += 1
            old = self.items.get(key)
            item = {"key": key, "value": base64.b64encode(text).decode(), "revision": self.revision,
                    "create_rev": old["create_rev"] if old else self.revision, "lease": lease}
            self.items[key] = item
            self.log.append(item)
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            if key not in self.items:
                return
            self.revision += 1
            del self.items[key]
            self.log.append({"key": key, "revision": self.revision, "deleted": True})
            self.changed.notify_all()

    def get(self, key):
        with self.changed:
            item = self.items.get(key)
            return (200, {**item, "current_rev": self.revision}) if item else (404, {})

    def range(self, prefix, after):
        with self.changed:
            found = [self.items[k] for k in sorted(self.items) if k.startswith(prefix) and k > after]
            return {"items": found[:500], "truncated": len(found) > 500, "current_rev": self.revision}

    def watch(self, query):
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        after, prefix = int(query["after"]), query.get("prefix", "")
        with self.changed:
            while True:
                events = [e for e in self.log if e["revision"] > after and e["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "current_rev": self.revision}
                self.changed.wait(left)

    def transact(self, body):
        with self.changed:
            current = [self.items.get(row["key"]) for row in body.get("precondition", [])]
            wanted = [row["revision"] for row in body.get("precondition", [])]
            if any((item["revision"] if item else 0) != want for item, want in zip(current, wanted)):
                return 412, {"items": [item for item in current if item]}
            for item in body.get("put_items", []):
                if item.get("lease") and item["lease"] not in self.leases:
                    return 404, {}
            for item in body.get("put_items", []):
                value = base64.b64decode(item["value"])
                self.put(item["key"], value, item.get("lease", 0))
                if self.on_write:
                    self.on_write(item["key"], value)
            for key in body.get("remove", []):
                self.remove(key)
            return 200, {"revision": self.revision}

    def grant(self, body):
        with self.changed:
            self.last_lease += 1
            ttl = min(max(body["ttl_ms"], 1000), 600_000)
            self.leases[self.last_lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": self.last_lease, "ttl_ms": ttl}

    def keep(self, lease):
        with self.changed:
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttl_ms": ttl}

    def end_lease(self, lease):
        with self.changed:
            if self.leases.pop(lease, None) is None:
                return 404, {}
            for key in [k for k, item in self.items.items() if item["lease"] == lease]:
                self.remove(key)
            return 200, {}

    def expire(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                now = time.monotonic()
                ended = [lease for lease, (end, _) in self.leases.items() if end <= now]
            for lease in ended:
                self.end_lease(lease)
