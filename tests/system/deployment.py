"""Starts a whole deployment on loopback: platform stand-ins, upstreams, agents and entry processes."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import time
import uuid

CONTROL_KEY = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"
CREDENTIAL = "system-test-operator-credential"
DATA_CENTRES = ["dc-a", "dc-b", "dc-c"]
START_LIMIT_S = 60


def uuid7(offset_ms=0):
    """A UUID of version 7 whose time differs from now by offset_ms."""
    milliseconds = int(time.time() * 1000) + offset_ms
    value = (milliseconds & ((1 << 48) - 1)) << 80
    value |= 0x7 << 76 | (uuid.uuid4().int >> 64 & 0xFFF) << 64
    value |= 0b10 << 62 | (uuid.uuid4().int & ((1 << 62) - 1))
    return str(uuid.UUID(int=value))


def call(address, method, path, body=None, headers=None, timeout=30):
    """One HTTP exchange; returns (status, headers, body bytes). Raises OSError or HTTPException."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    finally:
        connection.close()


def wait_until(condition, limit_s, step_s=0.05):
    """Polls until the condition holds; returns whether it did within the limit."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(step_s)
    return condition()


class Deployment:
    """All processes of one deployment; a context manager that ends every process it started."""

    def __init__(self, bin_dir, work_dir, entries=3, engines=6, plains=3, accounts=4, engine_args=(),
                 plain_args=(), lag_ms=30000, profiles=True):
        self.bin = pathlib.Path(bin_dir)
        self.dir = pathlib.Path(work_dir)
        self.dir.mkdir(parents=True, exist_ok=True)
        # Deployments that run side by side use different parts of the loopback network.
        self.net = 16 + os.getpid() % 200
        self.entries = [f"entry-{i + 1}" for i in range(entries)]
        self.engines = [f"assistant-{i + 1}" for i in range(engines)]
        self.plains = [f"orders-{i + 1}" for i in range(plains)]
        self.accounts = [f"account-{i + 1}" for i in range(accounts)]
        self.engine_args = list(engine_args)
        self.plain_args = list(plain_args)
        self.lag_ms = lag_ms
        self.profiles = profiles
        self.processes = {}

    # Addresses.

    def entry_address(self, name, port=8080):
        return f"127.{self.net}.1.{self.entries.index(name) + 1}:{port}"

    def admin_address(self, name):
        return self.entry_address(name, 8081)

    def upstream_address(self, name, port=9000):
        if name in self.engines:
            return f"127.{self.net}.2.{self.engines.index(name) + 1}:{port}"
        return f"127.{self.net}.3.{self.plains.index(name) + 1}:{port}"

    def store_address(self):
        return f"127.{self.net}.0.10:7201"

    def hosts_address(self):
        return f"127.{self.net}.0.10:7202"

    def data_centre(self, name):
        return DATA_CENTRES[(int(name.rsplit("-", 1)[1]) - 1) % len(DATA_CENTRES)]

    def api_key(self, account):
        return f"key-of-{account}-0123456789"

    def ledger_file(self, name):
        return self.dir / f"{name}.ledger"

    # Settings.

    def common_settings(self, name, control):
        peers = ", ".join(f'"{self.entry_address(e, 7101)}"' for e in self.entries)
        return (f'host_id = "{name}"\ndata_centre = "{self.data_centre(name.removeprefix("agent-"))}"\n'
                f'log_level = "info"\npeers = [{peers}]\nshutdown_limit_ms = 30000\n{{extra}}\n'
                f'[listen]\ncontrol = "{control}"\n{{listen}}\n'
                f'[control]\nkey = "{CONTROL_KEY}"\n'
                f'[platform]\nstore = "{self.store_address()}"\nhost_list = "{self.hosts_address()}"\n')

    def entry_settings(self, name):
        text = self.common_settings(name, self.entry_address(name, 7101)).format(
            extra="", listen=f'callers = "{self.entry_address(name)}"\nadmin = "{self.admin_address(name)}"')
        text += f'[operator]\ncredential = "{CREDENTIAL}"\n'
        for account in self.accounts:
            text += f'[[accounts]]\nid = "{account}"\napi_key = "{self.api_key(account)}"\n'
        for service, kind, members in (("assistant", "model", self.engines), ("orders", "plain", self.plains)):
            model = 'model = "order-assistant"\n' if kind == "model" else ""
            text += f'[[services]]\nid = "{service}"\nkind = "{kind}"\n{model}profile = "{service}"\n'
            for upstream in members:
                text += (f'[[services.upstreams]]\nid = "{upstream}"\nendpoint = "{self.upstream_address(upstream)}"\n'
                         f'agent = "{self.upstream_address(upstream, 7101)}"\n'
                         f'data_centre = "{self.data_centre(upstream)}"\n')
        return text

    def agent_settings(self, name):
        service, kind = ("assistant", "model") if name in self.engines else ("orders", "plain")
        text = self.common_settings("agent-" + name, self.upstream_address(name, 7101)).format(
            extra="poll_interval_ms = 200", listen="")
        return text + (f'[upstream]\nid = "{name}"\nendpoint = "{self.upstream_address(name)}"\n'
                       f'service = "{service}"\nkind = "{kind}"\n')

    # Processes.

    def spawn(self, name, *command):
        log = open(self.dir / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    def start_platform(self):
        fakes = self.bin / "cornelrelay-fakes"
        self.spawn("store", fakes, "store", "--listen", self.store_address())
        self.spawn("hosts", fakes, "hosts", "--listen", self.hosts_address(), "--lag-ms", str(self.lag_ms))

    def start_upstream(self, name):
        fakes = self.bin / "cornelrelay-fakes"
        if name in self.engines:
            self.spawn(name, fakes, "engine", "--id", name, "--listen", self.upstream_address(name), *self.engine_args)
        else:
            self.spawn(name, fakes, "plain", "--id", name, "--listen", self.upstream_address(name), "--ledger",
                       self.ledger_file(name), *self.plain_args)

    def start_agent(self, name):
        file = self.dir / f"agent-{name}.toml"
        file.write_text(self.agent_settings(name))
        self.spawn("agent-" + name, self.bin / "cornelrelay-agent", "--settings", file)

    def start_entry(self, name):
        file = self.dir / f"{name}.toml"
        file.write_text(self.entry_settings(name))
        self.spawn(name, self.bin / "cornelrelay", "serve", "--settings", file)

    def start(self):
        self.start_platform()
        for name in self.engines + self.plains:
            self.start_upstream(name)
            self.start_agent(name)
        for name in self.entries:
            self.start_entry(name)
        for name in self.entries:
            self.wait_ready(name)
        self.wait_joined()
        if self.profiles:
            self.install_profiles()
        return self

    def wait_ready(self, name):
        if not wait_until(lambda: self.healthy(name), START_LIMIT_S):
            raise RuntimeError(f"{name} did not become ready; see {self.dir}/{name}.log")

    def wait_joined(self):
        expected = len(self.entries)

        def joined():
            return all(self.live_entries(e) == expected for e in self.entries)

        if not wait_until(joined, START_LIMIT_S, 0.2):
            raise RuntimeError("the entry processes did not find each other")

    def live_entries(self, name):
        members = self.admin(name, "GET", "/status")["members"].values()
        return sum(1 for m in members if m["role"] == "entry" and m["life"] == "alive")

    def healthy(self, name):
        try:
            return call(self.entry_address(name), "GET", "/healthz", timeout=2)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def wait_exit(self, name, limit_s=60):
        return self.processes[name].wait(timeout=limit_s)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def __enter__(self):
        try:
            return self.start()
        except BaseException:
            self.stop()
            raise

    def __exit__(self, *_):
        self.stop()

    # Operators.

    def admin(self, entry, method, path, body=None):
        payload = None if body is None else json.dumps(body)
        status, _, answer = call(self.admin_address(entry), method, path, payload,
                                 {"Authorization": f"Bearer {CREDENTIAL}"})
        parsed = json.loads(answer)
        if status != 200:
            raise AdminError(status, parsed)
        return parsed

    def command(self, entry, *arguments):
        """Runs an operator command; returns the completed process."""
        environment = dict(os.environ, CORNELRELAY_CREDENTIAL=CREDENTIAL)
        return subprocess.run([self.bin / "cornelrelay", *arguments, "--admin", self.admin_address(entry)],
                              env=environment, capture_output=True, text=True, timeout=60, check=False)

    def edit(self, entry, edit, **fields):
        return self.admin(entry, "POST", "/edits", {"edit": edit, **fields})["revision"]

    def install_profiles(self):
        entry = self.entries[0]
        for name, text in (("assistant", ASSISTANT_PROFILE), ("orders", ORDERS_PROFILE)):
            self.edit(entry, {"kind": "create", "document": text})
            revision = self.edit(entry, {"kind": "assign", "service": name, "profile": name})
        if not self.wait_revision(revision):
            raise RuntimeError("the first profiles did not come into force")

    def wait_revision(self, revision, limit_s=16):
        return wait_until(lambda: all(self.revision(e) >= revision for e in self.entries
                                      if self.processes[e].poll() is None), limit_s)

    def revision(self, entry):
        return self.admin(entry, "GET", "/status")["revision"] or 0

    def store_faults(self, **faults):
        call(self.store_address(), "POST", "/faults", json.dumps(faults))

    def engine_faults(self, name, **faults):
        call(self.upstream_address(name), "POST", "/faults", json.dumps(faults))

    def effects(self):
        """How often each key ran, over all plain upstreams and their restarts."""
        counts = {}
        for name in self.plains:
            if self.ledger_file(name).exists():
                for key in self.ledger_file(name).read_text().split("\n")[:-1]:
                    counts[key] = counts.get(key, 0) + 1
        return counts


class AdminError(Exception):
    """The admin API answered with an error."""

    def __init__(self, status, body):
        super().__init__(f"{status}: {body}")
        self.status = status
        self.body = body


ASSISTANT_PROFILE = """
name = "assistant"
[request]
deadline_ms = 20000
priority = "normal"
all_idempotent = true
[retry]
attempts = 3
[account]
concurrency = 400
rate_per_s = 1000
queue = 400
[routing]
prefix_affinity = true
"""

ORDERS_PROFILE = """
name = "orders"
[request]
deadline_ms = 15000
priority = "high"
idempotent_calls = ["GET /"]
[retry]
attempts = 3
[account]
concurrency = 400
rate_per_s = 1000
queue = 400
"""
