"""Fault: a process that gets SIGHUP while it starts ends instead of starting."""

import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

import harness  # noqa: E402

MACHINES = 2
# The platform starts a process that ended again after a short delay.
RESTART_DELAY_S = 0.5
# Settings change in series; one SIGHUP comes this long after each start.
HUP_AFTER_START_S = 0.2
CHANGES = 3
# Ends of one machine's processes, on this many machines, that make a fault.
ENDS_MAX = 3
ENDED_MACHINES_MAX = 2


class Platform:
    """Starts the process of one machine, and again whenever it ends."""

    def __init__(self, record, instance):
        self.record = record
        self.instance = instance
        self.ends = 0
        self.started = threading.Semaphore(0)
        self.stopping = False

    def run(self):
        while not self.stopping:
            self.instance.start()
            self.record("started", instance=self.instance.name)
            self.started.release()
            code = self.instance.process.wait()
            if self.stopping:
                return
            self.ends += 1
            self.record("ended_by_itself", instance=self.instance.name, code=code)
            time.sleep(RESTART_DELAY_S)

    def change_settings(self, trouble):
        """Announce changed settings soon after each of the next starts."""
        for _ in range(CHANGES):
            if not self.started.acquire(timeout=5):
                # The process runs, as it should.
                self.started.release()
            time.sleep(HUP_AFTER_START_S)
            if trouble and self.instance.process.poll() is None:
                self.instance.process.send_signal(signal.SIGHUP)
                self.record("hup", instance=self.instance.name)


def main(record, scratch, trouble, instances):
    store = harness.Store(record)
    store.put("op/config", harness.make_configuration(1))
    harness.Backend("i-0", store, record)
    network = "127.31.7"
    hosts = [f"{network}.{number}" for number in range(1, MACHINES + 1)]
    ports = harness.free_ports(hosts)
    instances += [
        harness.Instance(host, number, scratch, store, "milano", [], ports=ports)
        for number, host in enumerate(hosts, 1)
    ]
    platforms = [Platform(record, each) for each in instances]
    for each in platforms:
        threading.Thread(target=each.run, daemon=True).start()
    changes = [
        threading.Thread(target=each.change_settings, args=(trouble,))
        for each in platforms
    ]
    for each in changes:
        each.start()
    for each in changes:
        each.join()
    ready = harness.wait_until(lambda: all(each.is_ready() for each in instances))
    for each in platforms:
        each.stopping = True
    ends = [each.ends for each in platforms]
    record("summary", ends=ends, ready=ready)
    print(f"processes that ended by themselves, by machine: {ends}; ready: {ready}")
    return sum(each >= ENDS_MAX for each in ends) >= ENDED_MACHINES_MAX


harness.run_case(main, FOLDER)
