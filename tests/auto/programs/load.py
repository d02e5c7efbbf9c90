"""Callers that keep asking, in threads, and what they were told."""

import concurrent.futures
import contextlib
import threading
import time

from cluster import new_key


class Callers:
    """Each of `width` callers sends its next request when it has the answer
    to the last one."""

    def __init__(self, cluster, pool, address, width, service="keg-check",
                 deadline_ms=900, has_keys=False):
        self.answers = []
        self._cluster = cluster
        self._address = address
        self._service = service
        self._deadline_ms = deadline_ms
        self._has_keys = has_keys
        self._label = new_key()
        self._is_over = threading.Event()
        self._running = [pool.submit(self._ask, i) for i in range(width)]

    def _ask(self, caller):
        n = 0
        while not self._is_over.is_set():
            n += 1
            body = '{"burst": "%s", "caller": %d, "n": %d}' % (
                self._label, caller, n)
            status, answer = self._cluster.request(
                self._service, body, address=self._address,
                key=new_key() if self._has_keys else None,
                deadline_ms=self._deadline_ms)
            self.answers.append((body, status, answer))
            if status != 200:
                self._is_over.wait(0.02)

    def stop(self):
        self._is_over.set()
        for it in self._running:
            it.result()

    def answered(self):
        return sum(status == 200 for _, status, _ in self.answers)


@contextlib.contextmanager
def callers_at(cluster, widths, **options):
    """Runs callers at the entries named in `widths`; stops them at the end."""
    with concurrent.futures.ThreadPoolExecutor(sum(widths.values())) as pool:
        callers = {name: Callers(cluster, pool,
                                 cluster.entries[name]["address"], width,
                                 **options)
                   for name, width in widths.items()}
        try:
            yield callers
        finally:
            for it in callers.values():
                it.stop()


class Paced:
    """Sends `rate` requests a second in turn to all entries, whether or not
    earlier ones have their answers, for `seconds`."""

    def __init__(self, cluster, rate, seconds, width, service="keg-check",
                 deadline_ms=900):
        self.answers = []
        self._cluster = cluster
        self._service = service
        self._deadline_ms = deadline_ms
        self._addresses = [it["address"] for it in cluster.entries.values()]
        self._label = "%d/%g" % (rate, time.monotonic())
        start = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(width) as pool:
            for i in range(int(rate * seconds)):
                wait = start + i / rate - time.monotonic()
                if wait > 0:
                    time.sleep(wait)
                pool.submit(self._ask, i)
        self.took = time.monotonic() - start

    def _ask(self, i):
        body = '{"paced": "%s", "n": %d}' % (self._label, i)
        status, answer = self._cluster.request(
            self._service, body, address=self._addresses[i % 2],
            deadline_ms=self._deadline_ms)
        self.answers.append((body, status, answer))

    def answered(self):
        return sum(status == 200 for _, status, _ in self.answers)
