"""Bodies in chunks that arrive in small pieces, cut off or damaged, from callers and from replicas."""

import http.client
import random
import re
import socket
import threading
import time
import unittest

from relay_case import HOST, ROUTES, RelayCase, configuration, free_ports, route

SEED = 52
RANDOM_BODIES = 300
HEAD = (b"POST /order/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: id-1\r\nDeadline-Ms: 3000\r\nApi-Key: key-1\r\n"
        b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n")
ANSWER_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Seal: seal-raw\r\nTransfer-Encoding: chunked\r\n\r\n"
PIECES_OF_AN_EMPTY_BODY = [(b"0\r\n", b"\r", b"\n"), (b"0\r", b"\n", b"\r", b"\n"), (b"0", b"\r\n\r", b"\n")]


def send_pieces(connection, pieces, pause=0.02):
    """Returns whether the peer was still there."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        for piece in pieces:
            connection.sendall(piece)
            time.sleep(pause)
    except OSError:
        return False
    return True


def read_to_end(connection):
    received = b""
    try:
        while part := connection.recv(65536):
            received += part
    except OSError:
        pass
    return received


def random_pieces(source):
    """A body in chunks, sound, cut or damaged, in pieces of one to four bytes."""
    sizes = source.choices((1, 2, 3, 17), k=source.choice((0, 0, 1, 2)))
    body = b"".join(b"%x\r\n" % size + source.randbytes(size) + b"\r\n" for size in sizes)
    body += source.choice((b"0\r\n\r\n", b"0\r\n\r\n", b"00\r\n\r\n", b"0;x\r\n\r\n", b"0\r\nA: b\r\n\r\n"))
    if source.random() < 0.3:
        body = body[:source.randrange(len(body))]
    if source.random() < 0.3 and body:
        at = source.randrange(len(body))
        body = body[:at] + source.choice((b"", b"\r", b"\n", b"0", b"\x00")) + body[at + 1:]
    pieces = []
    while body:
        size = source.randint(1, 4)
        pieces.append(body[:size])
        body = body[size:]
    return pieces


class PiecewiseReplica:
    """Answers each request with the pieces that `choose` returns, and ends the connection."""

    def __init__(self, address, choose):
        self.choose = choose
        self.listener = socket.create_server(address)
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.answer, args=(connection,), daemon=True).start()

    def answer(self, connection):
        try:
            self.answer_one(connection)
        except OSError:
            pass  # the other side has closed

    def answer_one(self, connection):
        with connection, connection.makefile("rb") as reader:
            if not reader.readline():
                return  # a probe, which only connects
            headers = http.client.parse_headers(reader)
            reader.read(int(headers["Content-Length"] or 0))
            if send_pieces(connection, [ANSWER_HEAD % headers["Attempt-Id"].encode()]):
                send_pieces(connection, self.choose(), pause=0.005)

    def stop(self):
        self.listener.close()


class ChunkFramingTest(RelayCase):
    def setUp(self):
        super().setUp()
        self.process = self.entries[0].process
        self.pieces = lambda: (b"0\r\n\r\n",)
        address = (HOST, free_ports(1)[0])
        self.replica = PiecewiseReplica(address, lambda: self.pieces())
        self.addCleanup(self.replica.stop)
        self.store.put("servers/raw", {"service": "raw", "address": f"{HOST}:{address[1]}", "zone": "a", "version": "v1",
                                       "slots": 4, "state": "ready", "cold_remaining_ms": 0, "sequence": 0, "born": 1})
        changed = configuration(4, ROUTES + [route("fetch", "non_idempotent", service="raw")])
        changed["services"].append({"name": "raw", "health_path": "/healthz"})
        self.store.put("op/config", changed)
        self.wait_for(lambda: self.ask("POST", "/fetch/0", body=b"x")[0].status == 200)

    def port(self, name):
        return int(re.search(rf'^{name} = ".*:(\d+)"', self.entries[0].settings.read_text(), re.MULTILINE)[1])

    def check_alive(self):
        self.assertIsNone(self.process.poll(), "the entry process has ended")
        self.assertEqual(self.ask("POST", "/order/2", body=b"x")[0].status, 200)

    # Guards against LOST of review/12: one caller ends the entry process by an empty body in pieces.
    def test_empty_request_in_pieces(self):
        for pieces in PIECES_OF_AN_EMPTY_BODY:
            with self.subTest(pieces), socket.create_connection((HOST, self.entries[0].callers), timeout=5) as caller:
                send_pieces(caller, (HEAD, *pieces))
                self.assertTrue(read_to_end(caller).startswith(b"HTTP/1.1 200"))
                self.check_alive()

    # Guards against the fault of review/12 at the ports that are not for callers.
    def test_empty_request_in_pieces_at_each_port(self):
        for name in ("health", "metrics", "peers"):
            with self.subTest(name), socket.create_connection((HOST, self.port(name)), timeout=5) as peer:
                send_pieces(peer, (HEAD, b"0\r\n", b"\r", b"\n"))
                read_to_end(peer)
                self.check_alive()

    # Guards against LOST of review/11: a replica ends the entry process by an answer that is cut off.
    def test_empty_answer_in_pieces(self):
        for pieces in PIECES_OF_AN_EMPTY_BODY:
            for sent, status in ((pieces, 200), (pieces[:-1], 502)):
                with self.subTest(sent):
                    self.pieces = lambda sent=sent: sent
                    response, received = self.ask("POST", "/fetch/1", body=b"x")
                    self.assertEqual((response.status, type(received)), (status, bytes))
                    self.check_alive()

    # Guards against other bytes of callers and replicas that decide about an assertion of the process.
    def test_random_bodies_in_pieces(self):
        source = random.Random(SEED)
        bodies = [random_pieces(source) for _ in range(2 * RANDOM_BODIES)]
        answers = iter(bodies[:RANDOM_BODIES])
        self.pieces = lambda: next(answers, (b"0\r\n\r\n",))

        def fetch(count):
            for _ in range(count):
                try:
                    self.ask("POST", "/fetch/1", body=b"x")
                except (OSError, http.client.HTTPException):
                    pass

        def send(mine):
            for pieces in mine:
                with socket.create_connection((HOST, self.entries[0].callers), timeout=5) as caller:
                    if send_pieces(caller, (HEAD, *pieces), pause=0.002):
                        caller.shutdown(socket.SHUT_WR)
                    read_to_end(caller)

        threads = [threading.Thread(target=fetch, args=(RANDOM_BODIES // 10,)) for _ in range(10)]
        threads += [threading.Thread(target=send, args=(bodies[RANDOM_BODIES + n::10],)) for n in range(10)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.check_alive()


if __name__ == "__main__":
    unittest.main()
