"""Entries of other writers among those of the replicas, in whatever state."""

import time
import unittest

from relay_case import HOST, RelayCase, free_ports

LONG_ID = "inventory-export-" + "0123456789abcdef" * 6


class ForeignEntriesTest(RelayCase):
    ENTRIES = 2

    def sound_entry(self, **changes):
        return {**self.replicas[0].entry("svc"), "address": f"{HOST}:{free_ports(1)[0]}", **changes}

    def check_processes(self, seconds=2.0):
        """All entry processes serve all requests, and none has ended."""
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            for entry in range(self.ENTRIES):
                number += 1
                method, path = (("POST", "/order/1"), ("GET", "/look/1"))[number % 2]
                status = self.ask(method, path, entry=entry, **{"Attempt-Id": f"id-{number}"})[0].status
                self.assertEqual(status, 200)
        for entry in self.entries:
            self.assertIsNone(entry.process.poll())

    # Guards against entry processes that end again and again, or close each request, because of an entry with a long id
    # and without some of its fields (review/2).
    def test_entry_with_a_long_id_and_without_some_fields(self):
        entry = self.sound_entry()
        for name in ("cold_remaining_ms", "sequence", "born"):
            del entry[name]
        self.store.put("servers/" + LONG_ID, entry)
        self.check_processes()

    # Guards against the same because of a sound replica whose id is as long as the store allows.
    def test_replica_with_the_longest_id(self):
        replica = self.replicas[1]
        self.store.remove("servers/" + replica.name)
        self.store.put("servers/" + "i" * 192, {**replica.entry("svc"), "born": 2})
        self.wait_for(lambda: self.ask("GET", "/look/1")[0].status == 200 and replica.seen)
        self.check_processes()

    # Guards against entry processes that stop following the entries because one of them is odd.
    def test_odd_entries_hide_no_others(self):
        odd = {
            "nested": b"[" * 30_000 + b"]" * 30_000,
            "nested-field": b'{"service":' + b"[" * 30_000 + b"]" * 30_000 + b"}",
            "unclosed": b"{" * 30_000,
            "digits": b'{"slots":' + b"9" * 400 + b"}",
            "slots": self.sound_entry(slots=2**64 + 1),
            "negative": self.sound_entry(slots=-1),
            "born": self.sound_entry(born=10**30),
            "sequence": self.sound_entry(sequence=-5),
            "port-0": self.sound_entry(address=f"{HOST}:0"),
            "port-70000": self.sound_entry(address=f"{HOST}:70000"),
            "port-minus": self.sound_entry(address=f"{HOST}:-1"),
            "address": self.sound_entry(address="nowhere:80"),
            "no-text": b"\xff\xfe\x00\x80",
            "empty": b"",
            "null": b"null",
            "": self.sound_entry(),
            "long-field": self.sound_entry(zone="z" * 100_000),
            "i" * 192: self.sound_entry(service="s" * 5_000),
        }
        for name, value in odd.items():
            self.store.put("servers/" + name, value)
        self.check_processes()
        # Entries that come later are followed.
        replica = self.replicas[0]
        self.store.remove("servers/" + replica.name)
        time.sleep(0.5)
        replica.seen.clear()
        self.check_processes(0.5)
        self.assertEqual(replica.seen, [])
        self.store.put("servers/" + replica.name, {**replica.entry("svc"), "born": 2})
        self.wait_for(lambda: self.ask("GET", "/look/1")[0].status == 200 and replica.seen)


if __name__ == "__main__":
    unittest.main()
