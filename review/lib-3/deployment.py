"""Starts the project's own programs with the commands of the deploy file, and what they need, on loopback addresses."""

import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time

from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
BIN = ROOT / "target" / "bin"
_given = set()


def free_port(host):
    while True:
        with socket.socket() as s:
            s.bind((host, 0))
            port = s.getsockname()[1]
        if (host, port) not in _given:
            _given.add((host, port))
            return port


def fill_in(template, fields):
    """The placeholders of a settings template (DEPLOY.md); the templates of the project use plain ones only."""
    def value(match):
        found = fields
        for part in match.group(1).split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return str(found)
    return re.sub(r"\{\{([a-z_.0-9]+)\}\}", value, template)


BOUNDS = {"grace_s": 8, "retry_budget_ratio": 0.2, "budget_slack": 92, "budget_window_s": 10}


class Deployment:
    def __init__(self, host="127.0.11.1"):
        self.host = host
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store((host, free_port(host)))
        self.processes = []

    def start_process(self, command, name, **environment):
        log = open(self.directory / (name + ".log"), "ab")
        process = subprocess.Popen([str(c) for c in command], cwd=ROOT, stdout=log, stderr=log,
                                   env={"PATH": os.environ["PATH"], **environment})
        log.close()
        self.processes.append(process)
        return process

    def start_entry(self, name, zone="a"):
        host = self.host
        front, ready, peers = free_port(host), free_port(host), free_port(host)
        fields = {"node": name, "zone": zone, "ip": host, "internal_port_range": [peers, peers + 1],
                  "listen": {"front": f"{host}:{front}", "ready": f"{host}:{ready}"},
                  "limits": {"memory_mb": 260, "max_fds": 4100}, "bounds": BOUNDS,
                  "platform": {"address": self.store.address}}
        text = fill_in((ROOT / "deploy" / "relay.toml.in").read_text(), fields)
        text = text.replace(f"{host}:9464", f"{host}:{free_port(host)}")  # metrics: any free port
        settings = self.directory / (name + ".toml")
        settings.write_text(text)
        process = self.start_process([BIN / "cornelrelay", "relay"], name, CORNELRELAY_CONFIG=str(settings))
        return Entry(process, host, front, ready)

    def start_python(self, program, name, *arguments):
        return self.start_process(["python3", "-B", program, *arguments], name)

    def log_lines(self, name, event):
        lines = []
        for line in (self.directory / (name + ".log")).read_text(errors="replace").splitlines():
            if f'"event":"{event}"' in line:
                lines.append(json.loads(line))
        return lines

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.store.stop()
        shutil.rmtree(self.directory, ignore_errors=True)


class Entry:
    def __init__(self, process, host, front, ready):
        self.process, self.host, self.front, self.ready_port = process, host, front, ready

    def is_ready(self):
        try:
            with socket.create_connection((self.host, self.ready_port), 1) as s:
                s.sendall(b"GET /cornelrelay/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return s.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


def wait_for(condition, seconds=10):
    until = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > until:
            return False
        time.sleep(0.02)
    return True


def route(name, kind, **more):
    return {"name": name, "host": "shop.example", "prefix": f"/{name}/", "kind": kind, "timeout_ms": 8000,
            "target_latency_ms": 400, "priority": 1, "service": "svc", "max_attempts": 3, "public": False, **more}


def configuration(version, routes, **more):
    return {"version": version, "routes": routes, "services": [{"name": "svc", "health_path": "/healthz"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 1000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "acme", "api_keys": ["key-1"]}], **more}


def registration(name, address, slots=12, born=1, **more):
    return {"service": "svc", "address": address, "zone": "a", "version": "v1", "slots": slots, "state": "ready",
            "cold_remaining_ms": 0, "sequence": 1, "born": born, **more}
