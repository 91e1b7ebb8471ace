"""A small deployment for the cases of this review: the users' store, replicas and entry processes on loopback.

The store follows PROTOCOL.md ("The platform's metadata store"): items with revisions, ranges in pages, watches with
410, conditional writes and leases. Entry processes are started with the command of deploy/system.toml and with
settings made from its template.
"""

import base64
import http.server
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[1]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2  # heartbeat_ms of the settings

_given = set()


def free_ports(count):
    ports = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind((HOST, 0))
            port = probe.getsockname()[1]
        if port not in _given:
            _given.add(port)
            ports.append(port)
    return ports


class Store:
    def __init__(self):
        self.address = (HOST, free_ports(1)[0])
        self.changed = threading.Condition()
        self.items = {}
        self.log = []
        self.revision = 1
        self.leases = {}
        self.calls = 0
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

            def do_GET(self):
                url = urllib.parse.urlparse(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if url.path == "/cornelrelay/kv-key":
                    return self.answer(*store.get(query["key"]))
                if url.path == "/cornelrelay/kv-range":
                    return self.answer(200, store.range(query["prefix"], query.get("after", "")))
                if url.path == "/cornelrelay/kv-watch":
                    return self.answer(*store.watch(query))
                return self.answer(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"] or 0)) or b"{}")
                path = self.path
                if path == "/cornelrelay/kv-txn":
                    return self.answer(*store.transact(body))
                if path == "/cornelrelay/kv-lease":
                    return self.answer(200, store.grant(body["ttl_ms"]))
                if path.startswith("/cornelrelay/kv-keep/"):
                    return self.answer(*store.keep(int(path.rpartition("/")[2])))
                return self.answer(404, {})

            def do_DELETE(self):
                store.end_lease(int(self.path.rpartition("/")[2]))
                return self.answer(200, {})

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            allow_reuse_address = True

            def handle_error(self, *args):
                pass  # the other side has closed

            request_queue_size = 128

        self.server = Server(self.address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire, daemon=True).start()

    def _put(self, key, text, lease=0):
        self.revision += 1
        old = self.items.get(key)
        self.items[key] = {"key": key, "value": base64.b64encode(text).decode(), "revision": self.revision,
                           "create_rev": old["create_rev"] if old else self.revision, "lease": lease}
        self.log.append((time.monotonic(), self.items[key]))
        self.changed.notify_all()

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.log.append((time.monotonic(), {"key": key, "revision": self.revision, "deleted": True}))
            self.changed.notify_all()

    def put(self, key, value):
        with self.changed:
            self._put(key, json.dumps(value).encode())

    def remove(self, key):
        with self.changed:
            self._remove(key)

    def get(self, key):
        with self.changed:
            item = self.items.get(key)
            return (200, {**item, "current_rev": self.revision}) if item else (404, {"current_rev": self.revision})

    def range(self, prefix, after):
        with self.changed:
            found = [self.items[k] for k in sorted(self.items) if k.startswith(prefix) and k > after]
            return {"items": found[:500], "truncated": len(found) > 500, "current_rev": self.revision}

    def watch(self, query):
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        after = int(query["after"])
        with self.changed:
            while True:
                if after > self.revision:
                    return 410, {}
                events = [e for _, e in self.log if e["key"].startswith(query["prefix"]) and e["revision"] > after]
                left = until - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "current_rev": self.revision}
                self.changed.wait(left)

    def transact(self, body):
        with self.changed:
            rows = body.get("precondition", [])
            for row in rows:
                current = self.items.get(row["key"])
                if (current["revision"] if current else 0) != row["revision"]:
                    return 412, {"items": [self.items[r["key"]] for r in rows if r["key"] in self.items]}
            for item in body.get("put_items", []):
                if item.get("lease") and item["lease"] not in self.leases:
                    return 404, {}
            for item in body.get("put_items", []):
                self._put(item["key"], base64.b64decode(item["value"]), item.get("lease", 0))
            for key in body.get("remove", []):
                self._remove(key)
            return 200, {"revision": self.revision}

    def grant(self, ttl_ms):
        with self.changed:
            self.revision += 1
            self.leases[self.revision] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return {"lease": self.revision, "ttl_ms": ttl_ms}

    def keep(self, lease):
        with self.changed:
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}

    def end_lease(self, lease):
        with self.changed:
            self.leases.pop(lease, None)
            for key in [k for k, item in self.items.items() if lease and item["lease"] == lease]:
                self._remove(key)

    def expire(self):
        while True:
            time.sleep(0.05)
            now = time.monotonic()
            for lease in [n for n, (end, _) in list(self.leases.items()) if end <= now]:
                self.end_lease(lease)


def render(template, fields):
    """Fills in the placeholders that deploy/*.toml.in use."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, (ROOT / template).read_text())


class Process:
    """A program that the case has started, ended by its id."""

    def __init__(self, words, env=None, log=None):
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=log or subprocess.PIPE, env=env)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Entry(Process):
    def __init__(self, name, store, directory, memory_mb=260, zone="zone-a"):
        self.callers, self.ready, self.peers, self.metrics = free_ports(4)
        fields = {"node": name, "zone": zone, "ip": HOST, "internal_port_range": [self.peers, self.peers],
                  "listen": {"front": f"{HOST}:{self.callers}", "ready": f"{HOST}:{self.ready}"},
                  "platform": {"address": "%s:%d" % store.address},
                  "limits": {"memory_mb": memory_mb, "max_fds": 4100},
                  "bounds": {"grace_s": 8, "retry_budget_ratio": 0.2, "budget_slack": 92, "budget_window_s": 10}}
        text = render("deploy/relay.toml.in", fields).replace(":9464", f":{self.metrics}")
        self.settings = pathlib.Path(directory) / f"{name}.toml"
        self.settings.write_text(text)
        self.log_path = pathlib.Path(directory) / f"{name}.log"
        self.words = ["target/bin/cornelrelay", "relay"]
        self.env = {"PATH": os.environ["PATH"], "CORNELRELAY_CONFIG": str(self.settings)}
        super().__init__(self.words, self.env, open(self.log_path, "ab"))

    def wait_ready(self, limit_s=10):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                with socket.create_connection((HOST, self.ready), 1) as probe:
                    probe.sendall(b"GET /cornelrelay/readyz HTTP/1.1\r\nHost: ready\r\n\r\n")
                    if b" 200 " in probe.recv(64):
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise RuntimeError("the entry process is not ready")


class ReplicaProcess(Process):
    """One start of a replica. Its entry in the store is kept by beat() and goes after three intervals of silence."""

    def __init__(self, name, port, service, options, directory, zone="zone-a"):
        self.name, self.port, self.service, self.zone = name, port, service, zone
        self.born = int(time.time() * 1000)
        self.runs = pathlib.Path(directory) / "runs.jsonl"
        super().__init__([sys.executable, str(HERE / "replica.py"), name, f"{HOST}:{port}", str(self.runs),
                          json.dumps(options)])
        self.process.stdout.readline()

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{HOST}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": 12, "state": state, "cold_remaining_ms": 0, "sequence": int(time.monotonic() * 10),
                "born": self.born}


class Deployment:
    """Use as a context manager: it ends all processes that it started."""

    def __init__(self):
        self.scratch = tempfile.TemporaryDirectory()
        self.directory = self.scratch.name
        self.store = Store()
        self.processes = []
        self.replicas = {}
        self.silent = {}
        self.lock = threading.Lock()
        self.stopped = False
        self.started = time.monotonic()
        self.record = []
        threading.Thread(target=self.beat, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.stopped = True
        for process in self.processes:
            process.end()
        self.scratch.cleanup()

    def note(self, *words):
        line = f"{time.monotonic() - self.started:8.3f} " + " ".join(str(word) for word in words)
        with self.lock:
            self.record.append(line)

    def write_record(self, path, verdict):
        runs = pathlib.Path(self.directory) / "runs.jsonl"
        lines = list(self.record)
        if runs.exists():
            for text in runs.read_text().splitlines():
                run = json.loads(text)
                at = run.pop("at") - self.started
                lines.append(f"{at:8.3f} replica {run.pop('replica')}: " + json.dumps(run))
        lines.sort()
        pathlib.Path(path).write_text(f"trouble: {'yes' if TROUBLE else 'no'}\n" + "\n".join(lines) + f"\n{verdict}\n")

    def runs(self):
        path = pathlib.Path(self.directory) / "runs.jsonl"
        return [json.loads(line) for line in path.read_text().splitlines()] if path.exists() else []

    def configure(self, version, routes, service="svc", limits=None, engine=None):
        self.store.put("op/config", {
            "version": version, "routes": routes,
            "services": [{"name": service, "health_path": "/healthz", "max_connections": 348, "protocol": "h1",
                          "tls": False, **({"engine": engine} if engine else {})}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000, **(limits or {})},
            "tenants": [{"name": "tenant-1", "api_keys": ["key-1"], "priority": 1}]})

    def start_replica(self, name, port, options, service="svc"):
        replica = ReplicaProcess(name, port, service, options, self.directory)
        self.processes.append(replica)
        self.note("replica", name, "started, pid", replica.process.pid)
        self.store.put("servers/" + name, replica.entry())
        with self.lock:
            self.replicas[name] = replica
            self.silent[name] = 0
        return replica

    def start_entry(self, name="front-zone-a-1", **more):
        entry = Entry(name, self.store, self.directory, **more)
        self.processes.append(entry)
        entry.wait_ready()
        self.note("entry process", name, "ready, pid", entry.process.pid)
        return entry

    def beat(self):
        while not self.stopped:
            time.sleep(HEARTBEAT_S)
            with self.lock:
                known = list(self.replicas.items())
            for name, replica in known:
                if replica.process.poll() is None:
                    self.store.put("servers/" + name, replica.entry())
                    self.silent[name] = 0
                    continue
                self.silent[name] += 1
                if self.silent[name] >= 3:
                    self.store.remove("servers/" + name)
                    with self.lock:
                        del self.replicas[name]


def route(name, kind, service="svc", **more):
    return {"name": name, "host": "shop.example", "prefix": f"/{name}/", "kind": kind, "timeout_ms": 4000,
            "target_latency_ms": 300, "priority": 1, "service": service, "max_attempts": 1, "public": False, **more}


class Answer:
    """What a client got on its socket."""

    def __init__(self):
        self.raw = b""
        self.status = None
        self.headers = {}
        self.body = b""
        self.complete = False  # by its framing
        self.error = ""


def ask(port, method, target, identity, deadline_ms=4000, body=b"", key="key-1", headers=(), slow_read=None):
    """One client attempt on a connection of its own."""
    answer = Answer()
    words = [f"{method} {target} HTTP/1.1", "Host: shop.example", f"Attempt-Id: {identity}",
             f"Deadline-Ms: {deadline_ms}", *headers]
    if key:
        words.append(f"Api-Key: {key}")
    if body or method == "POST":
        words.append(f"Content-Length: {len(body)}")
    until = time.monotonic() + deadline_ms / 1000
    try:
        with socket.create_connection((HOST, port), 1) as connection:
            connection.settimeout(deadline_ms / 1000)
            connection.sendall("\r\n".join(words).encode() + b"\r\n\r\n" + body)
            while not answer.complete:
                left = until - time.monotonic()
                if left <= 0:
                    answer.error = "deadline"
                    break
                connection.settimeout(left)
                piece = connection.recv(65536)
                if not piece:
                    answer.error = "closed"
                    break
                answer.raw += piece
                parse(answer)
    except (TimeoutError, socket.timeout):
        answer.error = "deadline"
    except OSError as error:
        answer.error = type(error).__name__
    return answer


def parse(answer):
    head, separator, rest = answer.raw.partition(b"\r\n\r\n")
    if not separator:
        return
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split()[1])
    answer.headers = {name.strip().lower(): value.strip() for name, _, value in
                      (line.partition(":") for line in lines[1:])}
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size, separator, rest = rest.partition(b"\r\n")
            if not separator:
                break
            length = int(size.split(b";")[0], 16)
            if len(rest) < length + 2:
                break
            if length == 0:
                answer.complete = True
                break
            body += rest[:length]
            rest = rest[length + 2:]
        answer.body = body
        return
    length = int(answer.headers.get("content-length", "0"))
    answer.body = rest[:length]
    answer.complete = len(rest) >= length
