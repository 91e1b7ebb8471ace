"""A store that comes back from an older copy: entry processes go on with what has been confirmed."""

import http.client
import time
import unittest

from platform_stand_ins import Replica
from relay_case import HOST, ROUTES, RelayCase, configuration, free_ports, route

APPLY_S = 2.0  # config_apply_ms of the rules
AWAY_S = 0.5


class RestoredStoreTest(RelayCase):
    ENTRIES = 2

    def status(self, path, entry=0, key="key-1"):
        try:
            return self.ask("GET", path, entry=entry, key=key)[0].status
        except (OSError, http.client.HTTPException):
            return None

    def confirm(self, version, *names, keys=("key-1",)):
        """Writes a configuration with these further routes. Returns it when all processes have it in force."""
        written = configuration(version, ROUTES + [route(name, "idempotent") for name in names], keys)
        self.store.put("op/config", written)
        for entry in range(self.ENTRIES):
            self.wait_for(lambda entry=entry: self.status(f"/{names[-1]}/x", entry) == 200, APPLY_S)
        return written

    def write_unrelated(self, count):
        for number in range(count):
            self.store.put("op/other", {"number": number})

    def restore(self, copy):
        self.store.down = True
        time.sleep(AWAY_S)
        self.store.restore(copy)
        self.store.down = False

    # Guards against CONFIG of issue 27: a change after the restore was ignored, as its revision was lower than known ones.
    def test_change_soon_after_a_restore_is_in_force_in_time(self):
        copy = self.store.copy()
        self.write_unrelated(20)
        self.confirm(5, "second")
        self.restore(copy)
        self.store.put("op/config", configuration(5, ROUTES + [route("second", "idempotent")]))
        self.confirm(7, "second", "third")

    # Guards against CONFIG of issue 27: a key that is taken away after the restore was accepted for long.
    def test_key_taken_away_soon_after_a_restore_is_refused_in_time(self):
        copy = self.store.copy()
        self.write_unrelated(20)
        self.confirm(5, "second", keys=("key-1", "key-2"))
        self.restore(copy)
        self.store.put("op/config", configuration(8, ROUTES, ("key-1",)))
        for entry in range(self.ENTRIES):
            self.wait_for(lambda entry=entry: self.status("/look/x", entry, "key-2") == 401, APPLY_S)

    # The counter of the restored store passes the known revision before a watch is answered: no 410 tells of the restore.
    def test_restore_that_no_watch_is_told_of_is_noticed(self):
        copy = self.store.copy()
        self.confirm(5, "second")
        self.store.down = True
        time.sleep(AWAY_S)
        self.store.restore(copy)
        self.store.put("op/config", configuration(7, ROUTES + [route("third", "idempotent")]))
        self.write_unrelated(20)
        self.store.down = False
        for entry in range(self.ENTRIES):
            self.wait_for(lambda entry=entry: self.status("/third/x", entry) == 200, APPLY_S)

    # Guards against CONFIG of issue 27: a confirmed configuration that is missing in the copy was taken back.
    def test_confirmed_configuration_stays_in_force_until_it_is_written_again(self):
        copy = self.store.copy()
        written = self.confirm(5, "second")
        self.restore(copy)
        until = time.monotonic() + 2.0
        while time.monotonic() < until:
            for entry in range(self.ENTRIES):
                self.assertEqual(self.status("/second/x", entry), 200)
            time.sleep(0.05)
        self.store.put("op/config", written)
        self.confirm(6, "second", "third")

    # Guards against CONFIG of issue 27: a process that starts after the restore knew the configuration of the copy only.
    def test_process_that_starts_after_a_restore_learns_the_confirmed_configuration(self):
        copy = self.store.copy()
        self.confirm(5, "second")
        self.restore(copy)
        self.wait_for(lambda: self.store.items["op/config"]["revision"] <= copy[2])
        self.entries[1].end()
        self.entries[1].start()
        self.wait_for(lambda: self.entries[1].ready() == 200)
        self.wait_for(lambda: self.status("/second/x", 1) == 200, APPLY_S)

    # Guards against DRAIN: the copy holds entries of replicas that have left, or announced it, since.
    def test_replicas_that_left_after_the_copy_get_nothing(self):
        third = Replica("i-2", (HOST, free_ports(1)[0]))
        self.addCleanup(third.stop)
        self.store.put("servers/i-2", third.entry("svc"))
        self.wait_for(lambda: self.status("/look/1") == 200 and third.seen)
        copy = self.store.copy()
        self.store.put("servers/i-1", self.replicas[1].entry("svc", "draining", sequence=1))
        self.store.remove("servers/i-2")
        time.sleep(0.5)
        self.restore(copy)
        time.sleep(0.5)
        for replica in (self.replicas[1], third):
            replica.seen.clear()
        until = time.monotonic() + 2.0
        while time.monotonic() < until:
            for entry in range(self.ENTRIES):
                self.assertEqual(self.status("/look/1", entry), 200)
        self.assertEqual((self.replicas[1].seen, third.seen), ([], []))

    # Guards against refusals: replicas that registered after the copy are alive, though the restored store lacks them.
    def test_replicas_that_joined_after_the_copy_stay_in_use(self):
        copy = self.store.copy()
        self.store.remove("servers/i-0")
        self.store.remove("servers/i-1")
        joined = Replica("i-2", (HOST, free_ports(1)[0]))
        self.addCleanup(joined.stop)
        self.store.put("servers/i-2", joined.entry("svc"))
        self.wait_for(lambda: self.status("/look/1") == 200 and joined.seen)
        time.sleep(1.5)  # the removal of both is in force
        self.restore(copy)
        until = time.monotonic() + 1.5
        while time.monotonic() < until:
            self.assertEqual(self.status("/look/1"), 200)
            time.sleep(0.02)
        self.store.put("servers/i-2", joined.entry("svc", sequence=1))
        self.store.remove("servers/i-0")
        self.store.remove("servers/i-1")
        time.sleep(2.5)
        self.assertEqual(self.status("/look/1"), 200)

    # Guards against CONFIG of issue 27 when the store is restored more than once.
    def test_two_restores_one_after_the_other(self):
        copy = self.store.copy()
        self.write_unrelated(20)
        self.confirm(5, "second")
        self.restore(copy)
        self.write_unrelated(10)
        self.confirm(6, "second", "third")
        self.restore(copy)
        self.confirm(9, "second", "third", "fourth")


if __name__ == "__main__":
    unittest.main()
