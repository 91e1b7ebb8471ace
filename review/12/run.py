"""A client whose requests have an empty body in chunks, sent on a link that delivers small pieces."""

import os
import pathlib
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-3"))
from kept import play  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def small_pieces(entries, end):
    """The same requests with and without the disruption; only how their bytes are divided differs."""
    number = 0
    while time.monotonic() < end - 2:
        time.sleep(2)
        number += 1
        entry = entries[number % 2]
        head = (f"POST /look/{number} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: p-{number}\r\n"
                "Deadline-Ms: 1500\r\nApi-Key: key-1\r\nTransfer-Encoding: chunked\r\n\r\n").encode()
        body = b"0\r\n\r\n"
        pieces = [head, body[:3], body[3:4], body[4:]] if TROUBLE else [head + body]
        try:
            with socket.create_connection((entry.host, entry.front), 1) as s:
                s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                for piece in pieces:
                    s.sendall(piece)
                    time.sleep(0.02)
                s.settimeout(1)
                s.recv(4096)
        except OSError:
            pass


sys.exit(play(HERE, 0, small_pieces))
