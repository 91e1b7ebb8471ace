"""The engines of one group of model replicas (PROTOCOL.md, "Requests" and "Model replicas"), on loopback addresses of
their own: orders, reports, counts, passes with their maps, and streams that get one event with each pass."""

import http.server
import json
import random
import threading
import time

PASS_S, SETS, EXPERTS, SPARE, LOAD_S = 0.045, 2, 16, 2, 0.05


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256


class Group:
    def __init__(self, addresses, seed=1):
        self.size = len(addresses)
        self.places = EXPERTS // self.size + 2
        self.lock = threading.RLock()
        self.begun = threading.Condition(self.lock)
        self.epoch, self.step, self.switches, self.liked = 3, 100, 0, 0
        self.random = random.Random(seed)
        self.broken = []  # passes with two maps
        self.orders = []
        self.on_order = None  # called with each order that was carried out, before it is answered
        first = [[[e for e in range(EXPERTS) if e % self.size == k] for k in range(self.size)] for _ in range(SETS)]
        self.ranks = [{"map": 0, "content": first, "had": 0, "loading": None, "prepared": None, "armed": None,
                       "held": None, "counts": [[0] * EXPERTS for _ in range(SETS)]} for _ in addresses]
        for k, address in enumerate(addresses):
            server = Server(address, type("Engine", (Engine,), {"group": self, "k": k}))
            threading.Thread(target=server.serve_forever, daemon=True).start()
        threading.Thread(target=self.run, daemon=True).start()

    def settle(self, rank):
        if rank["loading"] and rank["loading"][2] <= time.monotonic():
            rank["prepared"], rank["loading"] = rank["loading"][:2], None

    def order(self, k, order):
        with self.lock:
            rank, operation = self.ranks[k], order["operation"]
            self.settle(rank)
            status = self.carry_out(rank, k, operation, order)
            self.orders.append((time.monotonic(), k, operation, order.get("version"), order.get("step"), status))
            if status < 300 and self.on_order:
                self.on_order(operation, sum(r["armed"] is not None for r in self.ranks))
            return status

    def carry_out(self, rank, k, operation, order):
        if order.get("epoch") != self.epoch:
            return 409
        if operation == "prepare":
            new = max(len(set(order["map"][s][k]) - set(rank["content"][s][k])) for s in range(SETS))
            if order["version"] <= rank["had"] or rank["armed"] or new > SPARE:
                return 409
            rank["had"], rank["prepared"] = order["version"], None
            rank["loading"] = (order["version"], order["map"], time.monotonic() + LOAD_S)
            return 202
        if operation == "arm":
            if not rank["prepared"] or rank["prepared"][0] != order["version"] or order["step"] <= self.step:
                return 409
            rank["armed"] = (order["version"], order["step"], rank["prepared"][1])
            return 200
        if operation == "disarm":
            if rank["map"] == order["version"]:
                return 409
            if rank["armed"] and rank["armed"][0] == order["version"]:
                rank["armed"] = None
            return 200
        if operation == "hold":
            if order["step"] <= self.step or rank["held"] not in (None, order["step"]):
                return 409
            rank["held"] = order["step"]
            return 200
        if operation == "go":
            if rank["held"] == order["step"]:
                rank["held"] = None
            return 200
        return 400

    def run(self):
        while True:
            time.sleep(PASS_S)
            with self.lock:
                step = self.step + 1
                if any(rank["held"] == step for rank in self.ranks):
                    continue
                self.step = step
                switched = False
                for rank in self.ranks:
                    if rank["armed"] and rank["armed"][1] == step:
                        rank["map"], rank["content"] = rank["armed"][0], rank["armed"][2]
                        rank["armed"] = rank["prepared"] = None
                        switched = True
                    for s in range(SETS):
                        for _ in range(30):
                            expert = min(int(self.random.expovariate(0.3)), EXPERTS - 1)
                            rank["counts"][s][(expert + self.liked + 5 * s) % EXPERTS] += 1
                self.switches += switched
                maps = {(rank["map"], json.dumps(rank["content"])) for rank in self.ranks}
                if len(maps) > 1:
                    self.broken.append(step)
                self.begun.notify_all()

    def report(self, k):
        with self.lock:
            rank = self.ranks[k]
            self.settle(rank)
            armed = {"version": rank["armed"][0], "step": rank["armed"][1]} if rank["armed"] else None
            return {"stage": "colocated", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                    "sequence": 1, "waiting": 0, "running": 1, "kv_used": 0, "kv_total": 90000, "handles": 0,
                    "born": 1, "pace": 1.0, "size": self.size, "step": self.step, "map": rank["map"],
                    "group": {"name": "g1", "epoch": self.epoch, "rank": k, "state": "open"},
                    "prepared": rank["prepared"][0] if rank["prepared"] else None, "armed": armed,
                    "held": rank["held"]}

    def picked(self, k, lists):
        with self.lock:
            rank = self.ranks[k]
            if not lists:
                return {"step": self.step, "epoch": self.epoch, "counts": rank["counts"]}
            return {"step": self.step, "epoch": self.epoch, "counts": rank["counts"],
                    "map": {"version": rank["map"], "experts": [rank["content"][s][k] for s in range(SETS)]}}

    def held(self):
        with self.lock:
            return [rank["held"] for rank in self.ranks]


class Engine(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    EVENTS = 8

    def log_message(self, *args):
        pass

    def handle(self):
        try:
            super().handle()
        except OSError:
            pass

    def answer(self, status, body):
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self):
        if self.path.startswith("/cornelrelay/report"):
            return self.answer(200, self.group.report(self.k))
        if self.path.startswith("/cornelrelay/picked"):
            return self.answer(200, self.group.picked(self.k, "lists" in self.path))
        return self.answer(404, {})

    def do_POST(self):
        body = self.rfile.read(int(self.headers["Content-Length"] or 0))
        if self.path == "/cornelrelay/order":
            return self.answer(self.group.order(self.k, json.loads(body)), {})
        name = f"i-{self.k}"
        if self.headers["Expect-Replica"] not in (None, name):
            return self.answer(421, {})
        after = int(self.headers["Last-Event-Id"] or 0)
        left_at = time.monotonic() + int(self.headers["Deadline-Ms"] or 8000) / 1000
        started = False
        for number in range(after + 1, self.EVENTS + 1):
            with self.group.lock:
                step = self.group.step
                while self.group.step == step and time.monotonic() < left_at:
                    self.group.begun.wait(0.2)
            if time.monotonic() >= left_at:
                self.close_connection = True
                return
            if not started:
                self.send_response(200)
                self.send_header("Attempt-Id", self.headers["Attempt-Id"])
                self.send_header("Replica-Seal", "seal-" + name)
                self.send_header("Content-Type", "text/event-stream")
                self.send_header("Transfer-Encoding", "chunked")
                self.end_headers()
                started = True
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        self.wfile.write(b"0\r\n\r\n")
