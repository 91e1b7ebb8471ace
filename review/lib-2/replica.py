"""A replica as PROTOCOL.md describes it: one process, one thread a connection, started and killed by a case.

Usage: replica.py ID HOST:PORT RUNS_FILE OPTIONS_JSON

Each request that it begins to run is one JSON line in RUNS_FILE. Options, by the first segment of the path:
  parts      the answer is sent in so many parts (1)
  gap_s      pause before each part but the first (0)
  before_s   work before the first part (0.02)
  unframed   neither a length nor chunks: the answer ends with its connection
  stream     the parts are events of a stream, so many
  first_id   id of its first event (1); it goes on behind the Last-Event-Id of a request
  bytes      length of the body of an answer that is no stream (800)
  read_bps   the body of the request is read at so many bytes a second (as fast as it comes)
The option "deadly" names a part of a prompt: the replica crashes as it begins to write an answer on it, after so many
events as "deadly_after" says (0).
"""

import json
import os
import signal
import socket
import sys
import threading
import time


def digest(identity, length):
    """The body that belongs to a request: it depends on the request's id alone."""
    text = f"<answer to {identity}>"
    return (text * (length // len(text) + 1))[:length].encode()


def event(identity, number):
    return f"id: {number}\ndata: piece {number} of {identity}\n\n".encode()


class Replica:
    def __init__(self, name, address, runs, options):
        self.name = name
        self.address = address
        self.runs = open(runs, "a", encoding="ascii", buffering=1)
        self.options = options
        self.lock = threading.Lock()

    def serve_forever(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(128)
        print("listening", flush=True)
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def note(self, **fields):
        with self.lock:
            self.runs.write(json.dumps({"at": time.monotonic(), "replica": self.name, **fields}) + "\n")

    def crash(self, identity):
        self.note(id=identity, crashed=True)
        os.kill(os.getpid(), signal.SIGKILL)

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = connection.makefile("rb")
        try:
            while self.serve_one(connection, reader):
                pass
        except OSError:
            pass  # the other side has closed
        reader.close()
        connection.close()

    def serve_one(self, connection, reader):
        line = reader.readline()
        if not line.strip():
            return False
        method, target, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while True:
            line = reader.readline()
            if not line:
                return False
            if line in (b"\r\n", b"\n"):
                break
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        how = self.options.get(target.split("/")[1], {})
        length = int(headers.get("content-length", "0"))
        if how.get("read_bps") and length:
            body = b""
            while len(body) < length:
                piece = reader.read1(min(16384, length - len(body)))
                if not piece:
                    return False
                body += piece
                time.sleep(len(piece) / how["read_bps"])
        else:
            body = reader.read(length)
        if len(body) < length:
            return False
        identity = headers.get("attempt-id", "")
        head = f"Attempt-Id: {identity}\r\n"
        if headers.get("expect-replica", self.name) != self.name:
            connection.sendall(f"HTTP/1.1 421 Misdirected Request\r\n{head}Replica-Id: {self.name}\r\n"
                               "Content-Length: 0\r\n\r\n".encode())
            return True
        self.note(id=identity, method=method, target=target, body=len(body),
                  last_event=headers.get("last-event-id"))
        prefix = headers.get("prompt-prefix", "")
        deadly = self.options.get("deadly") in [part.split(":")[0] for part in prefix.split(",")[:-1]]
        if deadly and not self.options.get("deadly_after"):
            time.sleep(0.05)
            self.crash(identity)
        time.sleep(how.get("before_s", 0.02))
        head = f"HTTP/1.1 200 OK\r\n{head}Replica-Seal: seal.{identity}.{self.name}\r\n"
        if how.get("stream"):
            head += "Content-Type: text/event-stream\r\n"
            first = how.get("first_id", 1)
            after = headers.get("last-event-id")
            start = int(after) + 1 if after is not None else first
            parts = [event(identity, number) for number in range(start, first + how["stream"])]
        else:
            whole = digest(identity, how.get("bytes", 800))
            count = how.get("parts", 1)
            size = -(-len(whole) // count)
            parts = [whole[at:at + size] for at in range(0, len(whole), size)]
        unframed = how.get("unframed", False)
        if unframed:
            head += "Connection: close\r\n\r\n"
        elif how.get("stream"):
            head += "Transfer-Encoding: chunked\r\n\r\n"
        else:
            head += f"Content-Length: {sum(map(len, parts))}\r\n\r\n"
        connection.sendall(head.encode())
        for number, part in enumerate(parts):
            if number:
                time.sleep(how.get("gap_s", 0))
            if how.get("stream") and not unframed:
                part = b"%x\r\n%s\r\n" % (len(part), part)
            connection.sendall(part)
            if deadly and number + 1 == self.options["deadly_after"]:
                time.sleep(0.01)
                self.crash(identity)
        if how.get("stream") and not unframed:
            connection.sendall(b"0\r\n\r\n")
        self.note(id=identity, answered=True)
        return not unframed


if __name__ == "__main__":
    host, _, port = sys.argv[2].rpartition(":")
    Replica(sys.argv[1], (host, int(port)), sys.argv[3], json.loads(sys.argv[4])).serve_forever()
