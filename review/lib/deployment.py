"""A small deployment on loopback for the cases: store, replicas and entry processes, each with its own address."""

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
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "system"))
sys.dont_write_bytecode = True
from platform_stand_ins import Store  # noqa: E402: the project's own stand-in of the platform's store

HOST = "127.0.30.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"drain_ms": 2000, "grace_s": 8, "contact_ms": 3000, "config_apply_ms": 2000, "retry_budget_ratio": 0.2,
          "budget_slack": 92, "budget_window_s": 10}
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseFailed(Exception):
    """The case could not run."""


given_ports = set()


def free_port():
    while True:
        with socket.socket() as s:
            s.bind((HOST, 0))
            port = s.getsockname()[1]
        if port not in given_ports:
            given_ports.add(port)
            return port


def fill(template, fields):
    """Fills in the placeholders of a settings template, as DEPLOY.md describes them."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)
    return re.sub(r"\{\{([\w.]+)\}\}", value, template)


class Deployment:
    """Starts everything; `with` ends all processes that it started."""

    def __init__(self, folder):
        self.record_file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()
        self.processes = []

    def __enter__(self):
        self.directory = tempfile.TemporaryDirectory()
        self.path = pathlib.Path(self.directory.name)
        self.store_address = (HOST, free_port())
        self.store = Store(self.store_address)
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.store.stop()
        self.directory.cleanup()
        self.record_file.close()

    def now(self):
        return time.monotonic() - self.start

    def record(self, what, **fields):
        """One line of record.txt: seconds since the start, what happened, details."""
        with self.lock:
            details = " ".join(f"{name}={value}" for name, value in fields.items())
            self.record_file.write(f"{self.now():8.3f} {what} {details}\n")
            self.record_file.flush()

    def spawn(self, command, **more):
        process = subprocess.Popen(command, **more)
        self.processes.append(process)
        return process

    def wait_for(self, condition, limit, what):
        until = time.monotonic() + limit
        while not condition():
            if time.monotonic() > until:
                raise CaseFailed(f"not in time: {what}")
            time.sleep(0.02)

    def relay(self, name):
        return Relay(self, name)

    def replica(self, name, service, program, **options):
        return Replica(self, name, service, program, options)


class Relay:
    """An entry process: the command of the deploy file with settings from its template."""

    def __init__(self, deployment, name):
        self.deployment, self.name = deployment, name
        self.front, self.ready_port, peers = free_port(), free_port(), free_port()
        template = (ROOT / "deploy" / "relay.toml.in").read_text()
        # All processes share one address here, so each gets a metrics port of its own.
        template = template.replace("{{ip}}:9464", "{{ip}}:{{metrics_port}}")
        host, port = deployment.store_address
        fields = {"node": name, "zone": "a", "ip": HOST, "bounds": BOUNDS, "metrics_port": free_port(),
                  "internal_port_range": [peers, peers], "listen": {"front": f"{HOST}:{self.front}",
                                                                    "ready": f"{HOST}:{self.ready_port}"},
                  "platform": {"address": f"{host}:{port}"}, "limits": {"memory_mb": 260, "max_fds": 4100}}
        self.settings = deployment.path / f"{name}.toml"
        self.settings.write_text(fill(template, fields))
        self.log_path = deployment.path / f"{name}.log"
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.process = self.deployment.spawn(
                [str(ROOT / "target/bin/cornelrelay"), "relay"], cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "CORNELRELAY_CONFIG": str(self.settings)})
        self.deployment.wait_for(self.is_ready, 15, f"{self.name} ready")

    def is_ready(self):
        if self.process.poll() is not None:
            raise CaseFailed(f"{self.name} ended with {self.process.returncode}")
        try:
            with socket.create_connection((HOST, self.ready_port), timeout=2) as s:
                s.sendall(b"GET /cornelrelay/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Replica:
    """A replica in a process of its own, registered in the store as the platform's page says."""

    def __init__(self, deployment, name, service, program, options):
        self.deployment, self.name, self.service, self.program = deployment, name, service, program
        self.port, self.options, self.sequence = free_port(), options, 0
        self.journal = deployment.path / f"{name}.jsonl"
        self.state = "ready"
        self.start()

    def start(self):
        self.born = int(time.time() * 1000)
        arguments = {"name": self.name, "host": HOST, "port": self.port, "journal": str(self.journal), **self.options}
        self.process = self.deployment.spawn([sys.executable, "-B", str(self.program), json.dumps(arguments)])
        self.deployment.wait_for(self.listens, 15, f"{self.name} listens")
        self.register(self.state)

    def listens(self):
        try:
            with socket.create_connection((HOST, self.port), timeout=1):
                return True
        except OSError:
            return False

    def register(self, state):
        self.state = state
        self.sequence += 1
        self.deployment.store.put("servers/" + self.name, {
            "service": self.service, "address": f"{HOST}:{self.port}", "zone": "a", "version": "v1",
            "slots": self.options.get("slots", 12), "state": state, "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born})

    def unregister(self):
        self.deployment.store.remove("servers/" + self.name)

    def seen(self):
        """What the replica wrote down: requests as they arrived and what became of them."""
        if not self.journal.exists():
            return []
        return [json.loads(line) for line in self.journal.read_text().splitlines()]


def route(name, kind, service, **more):
    return {"name": name, "host": "shop.example", "prefix": f"/{name}/", "kind": kind, "timeout_ms": 8000,
            "target_latency_ms": 400, "gap_aim_ms": 120, "priority": 1, "service": service, "max_attempts": 2,
            "public": False, "sticky_sessions": kind == "streaming", **more}


def configuration(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz", "max_connections": 348} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "acme", "api_keys": ["key-1"]}]}


class Answer:
    """What a client saw of one request."""

    def __init__(self):
        self.status, self.headers, self.body = None, {}, b""
        self.complete = False  # ended as HTTP/1.1 says that a whole answer ends
        self.error = ""


def ask(port, method, path, attempt, body=b"", deadline_ms=8000, **headers):
    """Sends one request on a new connection and reads the answer until it is complete or broken off."""
    answer = Answer()
    lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", f"Attempt-Id: {attempt}", "Api-Key: key-1",
             f"Deadline-Ms: {deadline_ms}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    try:
        with socket.create_connection((HOST, port), timeout=1) as s:
            s.settimeout(deadline_ms / 1000 + 1)
            s.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            with s.makefile("rb") as stream:
                read_answer(stream, answer)
    except (OSError, ValueError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    return answer


def read_answer(stream, answer):
    line = stream.readline()
    if not line:
        raise ConnectionError("closed without an answer")
    answer.status = int(line.split()[1])
    while (line := stream.readline().strip()):
        name, _, value = line.decode().partition(":")
        answer.headers[name.lower()] = value.strip()
    if answer.headers.get("transfer-encoding") == "chunked":
        while True:
            line = stream.readline()
            if not line:
                answer.error = "closed"
                return
            size = int(line, 16)
            if size == 0:
                stream.readline()
                answer.complete = True
                return
            answer.body += stream.read(size)
            stream.readline()
    length = int(answer.headers.get("content-length", 0))
    answer.body = stream.read(length)
    answer.complete = len(answer.body) == length


def give_up(*_):
    raise CaseFailed("the time for the case is over")


def run_case(folder, case):
    """Runs the case; the exit code is 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    signal.signal(signal.SIGTERM, give_up)
    try:
        with Deployment(folder) as deployment:
            deployment.record("case", trouble=int(TROUBLE))
            broken = case(deployment)
            deployment.record("result", rule="broken" if broken else "held")
            return BROKEN if broken else HELD
    except Exception:  # whatever it is, it is no verdict on the rule
        traceback.print_exc()
        return NOT_RUN
