"""Callers' side: sends requests, checks each answer against its request, and counts outcomes."""

import collections
import concurrent.futures
import http.client
import json
import random
import threading
import time

import deployment

MODEL = "order-assistant"
HEALTH_INTERVAL_S = 0.2


class Outcome:
    """What the caller learned about one request."""

    def __init__(self, kind, error_type=None, detail=None):
        self.kind = kind  # answered, not_run, unknown, completed_before, truncated, crossed
        self.error_type = error_type
        self.detail = detail


def chat_body(prompt, tokens, stream):
    return json.dumps({"model": MODEL, "stream": stream, "max_tokens": tokens,
                       "messages": [{"role": "user", "content": prompt}]})


def parse_events(text):
    """Server-sent events as (event, data) pairs."""
    events = []
    for block in text.split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.split("\n") if ": " in line)
        if "data" in fields:
            events.append((fields.get("event", "message"), fields["data"]))
    return events


def classify_error(body):
    error = body["error"]
    kinds = {"not_run": "not_run", "unknown": "unknown", "completed": "completed_before"}
    return Outcome(kinds[error["execution"]], error["type"], error)


def check_stream(text, request_id, tokens):
    """The verdict on a whole stream, as a careful client gives it."""
    contents = []
    for event, data in parse_events(text):
        if event == "error":
            return classify_error(json.loads(data))
        if data == "[DONE]":
            return Outcome("answered" if len(contents) == tokens else "truncated", None, contents)
        chunk = json.loads(data)
        if chunk["id"] != request_id:
            return Outcome("crossed", None, chunk["id"])
        contents.append(chunk["choices"][0]["delta"]["content"])
    return Outcome("truncated", None, contents)


def send_chat(address, api_key, request_id, prompt, tokens=8, stream=True, timeout=40):
    headers = {"Authorization": f"Bearer {api_key}", "X-Request-Id": request_id, "Content-Type": "application/json"}
    try:
        status, _, body = deployment.call(address, "POST", "/v1/chat/completions", chat_body(prompt, tokens, stream),
                                          headers, timeout)
    except http.client.IncompleteRead as error:
        # The connection was closed without the last chunk; what came before may hold a typed error.
        outcome = check_stream(error.partial.decode(), request_id, tokens)
        return Outcome("unknown", "connection_broken") if outcome.kind in ("answered", "truncated") else outcome
    except (OSError, http.client.HTTPException) as error:
        return Outcome("unknown", "connection_broken", repr(error))
    if status != 200:
        return classify_error(json.loads(body))
    if stream:
        return check_stream(body.decode(), request_id, tokens)
    answer = json.loads(body)
    if answer["id"] != request_id:
        return Outcome("crossed", None, answer["id"])
    return Outcome("answered", None, answer["choices"][0]["message"]["content"])


def send_plain(address, api_key, request_id, method, path, body="", key=None, timeout=40):
    headers = {"Authorization": f"Bearer {api_key}", "X-Request-Id": request_id}
    if key:
        headers["Idempotency-Key"] = key
    try:
        status, _, answer = deployment.call(address, method, "/services/orders" + path, body, headers, timeout)
    except (OSError, http.client.HTTPException) as error:
        return Outcome("unknown", "connection_broken", repr(error))
    parsed = json.loads(answer)
    if status != 200:
        return classify_error(parsed)
    if parsed.get("echo") != body:
        return Outcome("crossed", None, parsed)
    return Outcome("answered", None, parsed)


class Mix:
    """A seeded mix of streamed quotes, whole summaries, stock checks and non-repeatable orders."""

    def __init__(self, target, seed):
        self.target = target
        self.random = random.Random(seed)
        self.lock = threading.Lock()
        self.counts = collections.Counter()
        self.errors = collections.Counter()
        self.orders = {}  # key -> kinds of all tries
        self.sent = 0
        self.healthy = list(target.entries)

    def next_request(self):
        with self.lock:
            self.sent += 1
            return self.sent, self.random.random(), self.random.choice(self.target.accounts), self.random.randrange(1 << 30)

    def entry(self, choice):
        healthy = self.healthy
        return self.target.entry_address(healthy[choice % len(healthy)])

    def check_health(self, running):
        """Does what the platform's balancer does: sends nothing new where the health check fails."""
        while running():
            healthy = [e for e in self.target.entries if self.target.healthy(e)]
            self.healthy = healthy or self.healthy
            time.sleep(HEALTH_INTERVAL_S)

    def run_one(self):
        number, kind, account, choice = self.next_request()
        key = self.target.api_key(account)
        request_id = f"req-{number}"
        address = self.entry(choice)
        if kind < 0.45:
            outcome = send_chat(address, key, request_id, f"quote {number} for {account}", 4 + choice % 12)
        elif kind < 0.6:
            outcome = send_chat(address, key, request_id, f"summary {number}", 4 + choice % 12, stream=False)
        elif kind < 0.8:
            outcome = send_plain(address, key, request_id, "GET", f"/stock/{number}")
        else:
            outcome = self.place_order(number, key, choice)
        with self.lock:
            self.counts[outcome.kind] += 1
            if outcome.error_type:
                self.errors[outcome.error_type] += 1

    def place_order(self, number, api_key, choice):
        """Sends an order and, now and then, the same order again by another entry process."""
        order_key = deployment.uuid7()
        kinds = []
        for attempt in range(2 if choice % 4 == 0 else 1):
            outcome = send_plain(self.entry(choice + attempt), api_key, f"req-{number}-{attempt}", "POST", "/orders",
                                 f"order {number}", order_key)
            kinds.append(outcome.kind)
        with self.lock:
            self.orders[order_key] = kinds
        return outcome

    def run_for(self, seconds, workers=12):
        end = time.monotonic() + seconds
        self.run_while(lambda: time.monotonic() < end, workers)

    def run_while(self, running, workers=12):
        """Sends requests until `running` turns false; a slow request holds up its own worker only."""
        failures = []

        def loop():
            try:
                while running() and not failures:
                    self.run_one()
            except Exception as error:  # a defect of the test itself must fail the run
                failures.append(error)

        with concurrent.futures.ThreadPoolExecutor(workers + 1) as pool:
            pool.submit(self.check_health, running)
            for _ in range(workers):
                pool.submit(loop)
        if failures:
            raise failures[0]

    def false_not_run(self, effects):
        """Orders of which every try was answered not_run, and that ran all the same."""
        return [key for key, kinds in self.orders.items()
                if kinds and all(kind == "not_run" for kind in kinds) and effects.get(key, 0) > 0]

    def answered_without_effect(self, effects):
        return [key for key, kinds in self.orders.items() if "answered" in kinds and effects.get(key, 0) == 0]
