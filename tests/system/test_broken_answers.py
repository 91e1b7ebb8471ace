"""Replicas in trouble: answers that are cut off, and bytes that are no valid answer."""

import http.client
import socket
import socketserver
import struct
import threading
import time
import unittest

from relay_case import HOST, ROUTES, RelayCase, configuration, free_ports, route

UPLOAD = b"x" * 7_500_000  # more than the kernel buffers between an entry process and the stand-in hold
AT_ONCE_S = 1.5  # half of the time that the route allows


class RawReplica:
    """Sends `answer` to each request, with the request's id for `{id}`, and ends the connection."""

    def __init__(self, address):
        self.answer = b""
        self.resets_during_upload = False
        self.requests = 0
        replica = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                if not self.rfile.readline():
                    return  # a probe, which only connects
                replica.requests += 1
                headers = http.client.parse_headers(self.rfile)
                if not replica.resets_during_upload:
                    self.rfile.read(int(headers["Content-Length"] or 0))
                self.wfile.write(replica.answer.replace(b"{id}", headers["Attempt-Id"].encode()))
                if replica.resets_during_upload:
                    time.sleep(0.05)  # the answer arrives first
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    self.connection.close()

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True

            def server_bind(self):
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                super().server_bind()

            def handle_error(self, request, client_address):
                pass  # the connection was reset, by either side

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


def answer(status=b"200 OK", *fields, body=b""):
    lines = [b"HTTP/1.1 " + status, b"Attempt-Id: {id}", b"Replica-Seal: seal-raw", *fields]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def with_length(body, status=b"200 OK", *fields):
    return answer(status, *fields, b"Content-Length: %d" % len(body.replace(b"{id}", b"id-1")), body=body)


class BrokenAnswersTest(RelayCase):
    CALLER_LIMITS = {"max_body_bytes": 8_000_000}

    def setUp(self):
        super().setUp()
        address = (HOST, free_ports(1)[0])
        self.raw = RawReplica(address)
        self.addCleanup(self.raw.stop)
        self.store.put("servers/raw", {"service": "raw", "address": f"{HOST}:{address[1]}", "zone": "a", "version": "v1",
                                       "slots": 4, "state": "ready", "cold_remaining_ms": 0, "sequence": 0, "born": 1})
        changed = configuration(4, ROUTES + [route("upload", "non_idempotent", service="raw"),
                                             route("speech", "streaming", service="raw")])
        changed["services"].append({"name": "raw", "health_path": "/healthz"})
        changed["limits"].update(self.CALLER_LIMITS)
        self.raw.answer = with_length(b"sound")
        self.store.put("op/config", changed)
        self.wait_for(lambda: self.ask("POST", "/upload/0", body=b"x")[1] == b"sound")

    def ask_raw(self, path, body, sent):
        """The reply to one request, which comes at once; a non-idempotent one reaches the replica once."""
        self.raw.answer = sent
        self.raw.requests = 0
        started = time.monotonic()
        response, received = self.ask("POST", path, body=body)
        self.assertLess(time.monotonic() - started, AT_ONCE_S)
        if path.startswith("/upload"):
            self.assertEqual(self.raw.requests, 1)
        return response, received

    def check_no_answer(self, path, body, sent):
        response, received = self.ask_raw(path, body, sent)
        self.assertEqual(response.status, 502, received[:40])

    # Guards against MIXED of issue 46: a part of an answer that reached the caller as a whole one.
    def test_part_of_an_answer_before_a_reset_during_the_upload(self):
        self.raw.resets_during_upload = True
        for body in (b"part of an answer", b"y" * 60_000):
            for path in ("/upload/1", "/speech/1"):
                with self.subTest(path, length=len(body)):
                    self.check_no_answer(path, UPLOAD, answer(body=body))
        event = b"id: 1\ndata: x\n\n"
        _, received = self.ask_raw("/speech/2", UPLOAD, answer(b"200 OK", b"Content-Type: text/event-stream", body=event))
        self.assertIsInstance(received, http.client.IncompleteRead)

    # Guards against the loss of a refusal that is sent without reading the upload.
    def test_whole_answer_before_a_reset_during_the_upload(self):
        self.raw.resets_during_upload = True
        response, received = self.ask_raw("/upload/1", UPLOAD, with_length(b"too large", b"413 Too Large"))
        self.assertEqual((response.status, received), (413, b"too large"))

    # Guards against MIXED of issue 46: a status that is none was passed on, or its body was taken for the answer.
    def test_answer_with_an_invalid_status(self):
        for status in (b"000 None", b"099 Odd", b"600 Odd", b"999 Odd"):
            for body in (b"hello", with_length(b"inner")):
                with self.subTest(status=status, body=body[:5]):
                    self.check_no_answer("/upload/1", b"x", with_length(body, status))

    # Guards against MIXED of issue 46: bytes behind an interim answer that no request asks for.
    def test_interim_answers(self):
        inner = with_length(b"inner")
        switch = answer(b"101 Switching Protocols", b"Connection: upgrade", b"Upgrade: other", body=inner)
        for sent in (switch, with_length(inner, b"103 Early Hints")):
            with self.subTest(sent[:12]):
                self.check_no_answer("/upload/1", b"x", sent)
        _, received = self.ask_raw("/upload/1", b"x", b"HTTP/1.1 100 Continue\r\n\r\n" + inner)
        self.assertEqual(received, b"inner")

    # Guards against MIXED of issue 46: a line that is no field was passed on, or hid the length of the body.
    def test_answer_with_an_invalid_field_name(self):
        for line in (b"X Name: 1", b"X-Name : 1", b"X\tName: 1", b"X\x00Name: 1", b"X\x01Name: 1", b"X\x7fName: 1",
                     b"X\rName: 1", b": 1", b"X-Name", b"Content-Length : 3"):
            with self.subTest(line):
                self.check_no_answer("/upload/1", b"x", with_length(b"hello", b"200 OK", line))
                trailers = b"5\r\nhello\r\n0\r\n" + line + b"\r\n\r\n"
                self.check_no_answer("/upload/1", b"x", answer(b"200 OK", b"Transfer-Encoding: chunked", body=trailers))

    # Guards against MIXED of issue 46: such a line that was joined to the one before, with the length of the body.
    def test_answer_with_a_field_name_that_begins_with_a_blank(self):
        for line in (b" X-Name: 1", b"\tX-Name: 1", b"  X-Name: 1", b" "):
            with self.subTest(line):
                self.check_no_answer("/upload/1", b"x", with_length(b"hello", b"200 OK", b"X-First: 1", line))
        hidden = answer(b"200 OK", b"X-First: 1", b" Content-Length: 100", body=b"hello")
        self.check_no_answer("/upload/1", b"x", hidden)
        self.check_no_answer("/speech/1", b"x", hidden)

    # Guards against MIXED: coded bytes that were passed on without the name of their coding.
    def test_answer_in_an_unknown_transfer_coding(self):
        for coding in (b"gzip", b"gzip, chunked", b"chunked, gzip"):
            with self.subTest(coding):
                sent = answer(b"200 OK", b"Transfer-Encoding: " + coding, body=b"5\r\nhello\r\n0\r\n\r\n")
                self.check_no_answer("/upload/1", b"x", sent)


if __name__ == "__main__":
    unittest.main()
