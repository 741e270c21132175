"""The record of a run: what was sent, answered and run, with its time."""

import time


class Record:
    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        """Seconds since the start of the run."""
        return time.monotonic() - self._start

    def write(self, text):
        self._file.write(f"{self.now():9.4f} {text}\n")

    def close(self):
        self._file.close()
