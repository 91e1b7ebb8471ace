"""Base of the process tests: one small deployment per test class, and callers that read step by step."""

import concurrent.futures
import http.client
import json
import os
import pathlib
import socket
import tempfile
import unittest

import deployment
import traffic

BIN = os.environ.get("CORNELRELAY_BIN", str(pathlib.Path(__file__).parents[2] / "build" / "bin"))


class SystemCase(unittest.TestCase):
    """Starts the deployment that `sizes` describes; logs are kept where CORNELRELAY_KEEP names a directory."""

    sizes = {"entries": 3, "engines": 3, "plains": 2, "accounts": 2}

    @classmethod
    def setUpClass(cls):
        scratch = tempfile.TemporaryDirectory()
        cls.addClassCleanup(scratch.cleanup)
        keep = os.environ.get("CORNELRELAY_KEEP")
        directory = pathlib.Path(keep) / cls.__name__ if keep else scratch.name
        cls.target = deployment.Deployment(BIN, directory, **cls.sizes)
        cls.addClassCleanup(cls.target.stop)
        cls.target.start()
        cls.pool = concurrent.futures.ThreadPoolExecutor(32)
        cls.addClassCleanup(cls.pool.shutdown)
        cls.key = cls.target.api_key("account-1")

    def chat(self, request_id, prompt, tokens, entry=0, stream=True):
        address = self.target.entry_address(self.target.entries[entry])
        return traffic.send_chat(address, self.key, request_id, prompt, tokens, stream)

    def order(self, request_id, key, body, entry=0):
        address = self.target.entry_address(self.target.entries[entry])
        return traffic.send_plain(address, self.key, request_id, "POST", "/orders", body, key)

    def open_stream(self, request_id, prompt, tokens, entry=0, receive_buffer=None):
        address = self.target.entry_address(self.target.entries[entry])
        return OpenStream(address, self.key, request_id, prompt, tokens, receive_buffer)

    def runs(self, engine):
        """Attempt id -> count of the requests that the engine started."""
        _, _, body = deployment.call(self.target.upstream_address(engine), "GET", "/runs")
        return json.loads(body)["runs"] or {}

    def total_runs(self, engine):
        return sum(self.runs(engine).values())

    def restart_upstream(self, name):
        self.target.start_upstream(name)
        address = self.target.upstream_address(name)

        def answers():
            try:
                return deployment.call(address, "GET", "/load", timeout=2)[0] == 200
            except (OSError, http.client.HTTPException):
                return False

        self.assertTrue(deployment.wait_until(answers, deployment.START_LIMIT_S))

    def replace_entries(self, *names):
        for name in names:
            self.target.start_entry(name)
        for name in names:
            self.target.wait_ready(name)
        self.target.wait_joined()


class OpenStream:
    """A streamed completion that the test reads piece by piece."""

    def __init__(self, address, api_key, request_id, prompt, tokens, receive_buffer=None):
        self.request_id = request_id
        self.tokens = tokens
        self.text = ""
        host, port = address.rsplit(":", 1)
        self.connection = http.client.HTTPConnection(host, int(port), timeout=60)
        if receive_buffer:
            self.connection.sock = socket.socket()
            self.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
            self.connection.sock.settimeout(60)
            self.connection.sock.connect((host, int(port)))
        headers = {"Authorization": f"Bearer {api_key}", "X-Request-Id": request_id}
        self.connection.request("POST", "/v1/chat/completions", traffic.chat_body(prompt, tokens, True), headers)
        self.response = self.connection.getresponse()

    def read_events(self, count):
        for _ in range(count):
            while not self.text.endswith("\n\n") or not self.text:
                self.text += self.response.readline().decode()
            self.text += self.response.readline().decode()

    def finish(self):
        """Reads to the end and returns the outcome; a connection that breaks ends the text there."""
        broken = False
        try:
            self.text += self.response.read().decode()
        except http.client.IncompleteRead as error:
            self.text += error.partial.decode()
            broken = True
        except OSError:
            broken = True
        self.connection.close()
        if self.response.status != 200:
            return traffic.classify_error(json.loads(self.text))
        outcome = traffic.check_stream(self.text, self.request_id, self.tokens)
        return traffic.Outcome("unknown", "connection_broken") if broken and outcome.kind == "answered" else outcome
