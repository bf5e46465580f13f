"""One child process that says by a JSON line on its standard output when it is ready."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import threading
import time

BIN = pathlib.Path(os.environ.get("NUTMEGPLANK_BIN", pathlib.Path(__file__).parents[2] / "build" / "bin"))
READY_SECONDS = 20


class Process:
    """A program under test or a stand-in, with its settings file and its log."""

    def __init__(self, program: str, name: str, settings: dict, folder: pathlib.Path):
        self.program = program
        self.name = name
        self.settings = settings
        self.folder = folder
        self.lines: list[dict] = []
        self.popen: subprocess.Popen | None = None
        self._changed = threading.Condition()
        self._reader: threading.Thread | None = None

    def start(self) -> "Process":
        """Starts without waiting; see wait_ready."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings, indent=1))
        self.lines = []
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.popen = subprocess.Popen(
                [str(BIN / self.program), f"--settings={path}"], stdout=subprocess.PIPE, stderr=log, text=True
            )
        self._reader = threading.Thread(target=self._read, args=(self.popen,), daemon=True)
        self._reader.start()
        return self

    def _read(self, popen: subprocess.Popen) -> None:
        for line in popen.stdout:
            try:
                value = json.loads(line)
            except ValueError:
                continue
            with self._changed:
                self.lines.append(value)
                self._changed.notify_all()

    def wait_line(self, wanted, seconds: float) -> dict:
        """The first line for which wanted(line) holds."""
        deadline = time.monotonic() + seconds
        with self._changed:
            while True:
                for line in self.lines:
                    if wanted(line):
                        return line
                left = deadline - time.monotonic()
                # An ended process may have lines that its reader has not taken in yet.
                ended = self.popen.poll() is not None and not self._reader.is_alive()
                if left <= 0 or (ended and left < seconds - 1):
                    raise AssertionError(f"{self.name}: no such line in {seconds} s, exit code {self.popen.poll()}\n"
                                         + self.log_tail())
                self._changed.wait(min(left, 0.2))

    def wait_ready(self) -> dict:
        return self.wait_line(lambda line: line.get("ready"), READY_SECONDS)

    def log_tail(self, count: int = 15) -> str:
        lines = (self.folder / f"{self.name}.log").read_text(errors="replace").splitlines()
        return "\n".join(lines[-count:])

    def alive(self) -> bool:
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number: int) -> None:
        if self.alive():
            self.popen.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait(10)

    def freeze(self) -> None:
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        self.signal(signal.SIGCONT)

    def terminate(self, seconds: float = 15) -> int:
        """Graceful shutdown; gives the exit code, killing what does not end in time."""
        self.signal(signal.SIGTERM)
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL
