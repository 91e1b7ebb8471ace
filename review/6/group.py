"""A group of ranks as PROTOCOL.md describes it: reports, counts, orders, holds and passes.

Each rank listens on its own loopback address, as the agents beside the ranks use one port on all hosts. A case decides
which orders get no answer and are carried out late (`applied_late`) by its `decide` function.
"""

import http.server
import json
import threading
import time

PASS_S = 0.06
EXPERTS = 8
SHIFT_S = 1.0  # when the demand shifts
LATE_FROM_S, LATE_TO_S = 2.0, 12.0  # when a late order is carried out, by `kinds`


class Late:
    """An order without an answer. It is carried out when `due` holds, between 2 and 12 s after it came."""

    def __init__(self, rank, order, due):
        self.rank, self.order, self.due = rank, order, due
        self.sent = time.monotonic()

    def ready(self, now):
        age = now - self.sent
        return age >= LATE_TO_S or (age >= LATE_FROM_S and self.due())


class Group:
    def __init__(self, name, hosts, port, note, decide):
        self.name, self.hosts, self.port, self.note, self.decide = name, hosts, port, note, decide
        self.size = len(hosts)
        self.lock = threading.RLock()
        self.epoch, self.step, self.wanted = 1, 0, []
        self.late, self.orders, self.late_orders, self.broken, self.switches = [], 0, 0, [], 0
        self.started = time.monotonic()
        self.born = int(time.time() * 1000)
        self.ranks = [{"map": 0, "experts": [e for e in range(EXPERTS) if e % self.size == r], "prepared": None,
                       "armed": None, "held": None, "highest": 0, "sequence": 0} for r in range(self.size)]
        for rank in range(self.size):
            self.listen(rank)
        threading.Thread(target=self.run, daemon=True).start()

    def listen(self, rank):
        group = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def answer(self, status, body):
                data = json.dumps(body).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    self.close_connection = True

            def do_GET(self):
                with group.lock:
                    if self.path.startswith("/cornelrelay/report"):
                        return self.answer(200, group.report(rank))
                    if self.path.startswith("/cornelrelay/picked"):
                        return self.answer(200, group.picked(rank, "lists" in self.path))
                return self.answer(200, {})

            def do_POST(self):
                order = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                with group.lock:
                    group.orders += 1
                    due = group.decide(rank, order)
                    if due is None:
                        status = group.execute(rank, order)
                        group.note(f"rank {rank}: {describe(order)} -> {status}")
                    else:
                        group.late_orders += 1
                        group.late.append(Late(rank, order, due))
                        group.note(f"rank {rank}: {describe(order)} gets no answer")
                if due is None:
                    return self.answer(status, {})
                try:
                    while self.connection.recv(4096):  # until the caller gives up
                        pass
                except OSError:
                    pass
                self.close_connection = True

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            allow_reuse_address = True

            def handle_error(self, *args):
                pass  # the other side has closed

            request_queue_size = 64

        server = Server((self.hosts[rank], self.port), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def report(self, rank):
        state = self.ranks[rank]
        return {"stage": "colocated", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                "sequence": state["sequence"], "waiting": 0, "running": 4, "kv_used": 1000, "kv_total": 90000,
                "handles": 0, "pace": 1.0, "born": self.born, "step": self.step, "size": self.size,
                "group": {"name": self.name, "epoch": self.epoch, "rank": rank, "state": "open"},
                "map": state["map"], "prepared": state["prepared"][0] if state["prepared"] else None,
                "armed": {"version": state["armed"][0], "step": state["armed"][1]} if state["armed"] else None,
                "held": state["held"]}

    def picked(self, rank, lists):
        # At first the experts of rank 0 are in demand, later two that rank 1 holds then.
        passed = time.monotonic() - self.started
        before, since = min(passed, SHIFT_S), max(passed - SHIFT_S, 0)
        if since and not self.wanted:
            self.wanted = [e for e in self.ranks[1]["experts"] if e not in self.ranks[0]["experts"]][:2]
        counts = [int(4000 * (before * (1 if e % self.size == 0 else 0.12) + since * (1 if e in self.wanted else 0.05)))
                  for e in range(EXPERTS)]
        body = {"step": self.step, "epoch": self.epoch, "counts": [counts]}
        if lists:
            state = self.ranks[rank]
            body["map"] = {"version": state["map"], "experts": [state["experts"]]}
            prepared = state["prepared"]
            body["prepared"] = {"version": prepared[0], "experts": [prepared[1]]} if prepared else None
        return body

    def execute(self, rank, order):
        state, kind = self.ranks[rank], order["operation"]
        if order.get("epoch", self.epoch) != self.epoch:
            return 409
        status = 202
        if kind == "prepare":
            experts = order["map"][0][rank]
            if order["version"] <= state["highest"] or state["armed"] or len(set(experts) - set(state["experts"])) > 4:
                return 409
            state["highest"] = order["version"]
            state["prepared"] = (order["version"], experts)
        elif kind == "arm":
            if not state["prepared"] or state["prepared"][0] != order["version"] or order["step"] <= self.step:
                return 409
            state["armed"] = (order["version"], order["step"])
        elif kind == "disarm":
            if state["map"] == order["version"]:
                return 409
            if not state["armed"] or state["armed"][0] != order["version"]:
                return 200
            state["armed"] = None
        elif kind == "hold":
            if order["step"] <= self.step or state["held"] not in (None, order["step"]):
                return 409
            state["held"] = order["step"]
        elif kind == "go":
            if state["held"] != order["step"]:
                return 200
            state["held"] = None
        else:
            return 400
        state["sequence"] += 1
        return status

    def run(self):
        next_pass = time.monotonic() + PASS_S
        while True:
            time.sleep(0.005)
            with self.lock:
                now = time.monotonic()
                for late in [late for late in self.late if late.ready(now)]:
                    self.late.remove(late)
                    status = self.execute(late.rank, late.order)
                    self.note(f"rank {late.rank}: {describe(late.order)}, {now - late.sent:.2f} s late -> {status}")
                if now < next_pass or any(state["held"] == self.step + 1 for state in self.ranks):
                    continue
                next_pass = now + PASS_S
                self.begin_pass()

    def begin_pass(self):
        self.step += 1
        switched = False
        for state in self.ranks:
            if state["armed"] and state["armed"][1] == self.step:
                state["map"], state["experts"] = state["prepared"]
                state["prepared"] = state["armed"] = None
                switched = True
        self.switches += switched
        versions = [state["map"] for state in self.ranks]
        if switched or len(set(versions)) > 1 and not self.broken:
            self.note(f"pass {self.step} begins with the maps {versions}")
        if len(set(versions)) > 1:
            self.broken.append((self.step, versions))

    def states(self):
        return "; ".join(f"rank {r}: map {s['map']}, prepared {s['prepared'] and s['prepared'][0]}, armed {s['armed']}, "
                         f"held {s['held']}" for r, s in enumerate(self.ranks))


def describe(order):
    return order["operation"] + "".join(f" {name} {order[name]}" for name in ("version", "step") if name in order)
