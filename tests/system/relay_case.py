"""Entry processes on the users' platform, against stand-ins of its store and replicas."""

import http.client
import pathlib
import socket
import subprocess
import tempfile
import time
import unittest

from platform_stand_ins import Replica, Store
from system_case import BIN

HOST = "127.0.9.1"


given_ports = set()


def free_ports(count):
    """Ports that are free now and that no earlier call has given."""
    ports = []
    while len(ports) < count:
        with socket.socket() as s:
            s.bind((HOST, 0))
            port = s.getsockname()[1]
        if port not in given_ports:
            given_ports.add(port)
            ports.append(port)
    return ports


def route(name, kind, **more):
    return {"name": name, "host": "shop.example", "prefix": f"/{name}/", "kind": kind, "timeout_ms": 3000,
            "target_latency_ms": 1000, "priority": 1, "service": "svc", "max_attempts": 2, "public": False, **more}


def configuration(version, routes, keys=("key-1",)):
    return {"version": version, "routes": routes, "services": [{"name": "svc", "health_path": "/healthz"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 1000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "acme", "api_keys": list(keys)}]}


ROUTES = [route("look", "idempotent"), route("order", "non_idempotent"),
          route("story", "streaming", stream_resume=True), route("tale", "streaming")]


class Entry:
    """An entry process with its settings file and its log."""

    def __init__(self, name, directory, store, more_settings=""):
        self.callers, self.health, peers, metrics = free_ports(4)
        host, port = store.server.server_address
        self.settings = pathlib.Path(directory) / f"{name}.toml"
        self.settings.write_text(f"""
host_id = "{name}"
data_centre = "a"
shutdown_limit_s = 6
[listen]
callers = "{HOST}:{self.callers}"
health = "{HOST}:{self.health}"
peers = "{HOST}:{peers}"
metrics = "{HOST}:{metrics}"
[store]
endpoint = "{host}:{port}"
[retries]
ratio = 1.0
slack = 200
window_s = 10
{more_settings}""")
        self.log = open(pathlib.Path(directory) / f"{name}.log", "wb")
        self.process = None

    def start(self):
        self.process = subprocess.Popen([f"{BIN}/cornelrelay", "relay", "--settings", str(self.settings)],
                                        stdout=self.log)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def ready(self):
        try:
            connection = http.client.HTTPConnection(HOST, self.health, timeout=2)
            connection.request("GET", "/")
            return connection.getresponse().status
        except OSError:
            return 0


class RelayCase(unittest.TestCase):
    """Entry processes before replicas of one service."""

    ENTRIES = 1
    REPLICAS = 2
    MORE_SETTINGS = ""  # further sections of the settings files
    CALLER_LIMITS = {}  # of the configuration, in place of the usual ones

    def setUp(self):
        self.store = Store((HOST, free_ports(1)[0]))
        self.addCleanup(self.store.stop)
        self.replicas = [Replica(f"i-{n}", (HOST, port)) for n, port in enumerate(free_ports(self.REPLICAS))]
        for replica in self.replicas:
            self.addCleanup(replica.stop)
            self.store.put("servers/" + replica.name, replica.entry("svc"))
        self.store.put("servers/broken", b"\xff not JSON")
        first = configuration(3, ROUTES)
        first["limits"].update(self.CALLER_LIMITS)
        self.store.put("op/config", first)
        self.directory = tempfile.TemporaryDirectory()
        self.addCleanup(self.directory.cleanup)
        self.entries = [Entry(f"relay-{n + 1}", self.directory.name, self.store, self.MORE_SETTINGS)
                        for n in range(self.ENTRIES)]
        for entry in self.entries:
            self.addCleanup(entry.log.close)
            self.addCleanup(entry.end)
            entry.start()
        for entry in self.entries:
            self.wait_for(lambda entry=entry: entry.ready() == 200)
        # Requests earn the retries that the tests need.
        for _ in range(20):
            self.ask("GET", "/look/earn")
        for replica in self.replicas:
            replica.seen.clear()

    def wait_for(self, condition, limit=8.0):
        until = time.monotonic() + limit
        while not condition():
            self.assertLess(time.monotonic(), until)
            time.sleep(0.02)

    def ask(self, method, path, key="key-1", body=None, entry=0, **headers):
        sent = {"Host": "shop.example", "Attempt-Id": "id-1", "Deadline-Ms": "3000", **headers}
        timeout = int(sent["Deadline-Ms"]) / 1000 + 3
        connection = http.client.HTTPConnection(HOST, self.entries[entry].callers, timeout=timeout)
        if key:
            sent["Api-Key"] = key
        connection.request(method, path, body=body, headers=sent)
        response = connection.getresponse()
        try:
            return response, response.read()
        except http.client.IncompleteRead as error:
            return response, error
        finally:
            connection.close()

    def runs(self):
        return sum(len(replica.seen) for replica in self.replicas)

    def plan(self, *steps):
        """The same steps for whichever replica is asked first."""
        shared = list(steps)
        for replica in self.replicas:
            replica.plan = shared
