#!/usr/bin/env python3
"""Runs clang-tidy over sources, several at a time, and skips what passed before unchanged.

usage: tidy.py BUILD_FOLDER SOURCE...
"""
import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys

BUILD = pathlib.Path(sys.argv[1])
SOURCES = sys.argv[2:]
# Beside the compiler's cache and not in the build folder, so that a clean checkout finds it.
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "nutmegplank-tidy"
EXTRA = ["--extra-arg=-Wno-unknown-warning-option", "--extra-arg=-Wno-ignored-optimization-argument"]


def compile_flags() -> dict[str, list[str]]:
    """Flags of each source without the precompiled header, which belongs to gcc."""
    flags = {}
    for entry in json.loads((BUILD / "compile_commands.json").read_text()):
        words = shlex.split(entry["command"])
        kept = [word for word in words if re.match(r"-(I|D|std)", word) and word != "-DNDEBUG"]
        for index, word in enumerate(words):
            if word == "-isystem":
                kept += ["-isystem", words[index + 1]]
        flags[os.path.relpath(entry["file"])] = kept
    return flags


def include_closure(path: str, seen: set[str]) -> None:
    """Own headers that a source includes, directly or not."""
    if path in seen or not os.path.exists(path):
        return
    seen.add(path)
    for include in re.findall(r'#include "([^"]+)"', pathlib.Path(path).read_text()):
        for root in ("src", "tests", os.path.dirname(path)):
            include_closure(os.path.join(root, include), seen)


def own_files(path: str) -> set[str]:
    """The source itself and all own headers below it."""
    seen: set[str] = set()
    include_closure(path, seen)
    return seen


def header_flags(path: str) -> list[str]:
    """Library headers read before a source: all of them from one precompiled file, or few."""
    for name in own_files(path):
        if re.search(r"asio|beast", pathlib.Path(name).read_text()):
            return ["-include-pch", str(BUILD / "tidy.pch")]
    return ["-include", "cmake/tidylight.h"]


def digest(path: str) -> str:
    """Hash of everything of ours that the verdict depends on."""
    seen = own_files(path)
    state = hashlib.sha256(pathlib.Path(".clang-tidy").read_bytes())
    for name in sorted(seen):
        state.update(pathlib.Path(name).read_bytes())
    return state.hexdigest()


def check(path: str, flags: list[str]) -> tuple[str, int, str]:
    mark = CACHE / digest(path)
    if mark.exists():
        return path, 0, ""
    command = ["clang-tidy", "--quiet", path, *EXTRA, "--", *flags, "-Wno-everything", *header_flags(path)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode == 0:
        mark.touch()
    return path, done.returncode, done.stdout + done.stderr


def precompile(flags: list[str]) -> None:
    """Heavy library headers are parsed once; see cmake/tidy.h."""
    target = BUILD / "tidy.pch"
    sources = [pathlib.Path("cmake/tidy.h"), pathlib.Path("cmake/pch.h")]
    if target.exists() and all(source.stat().st_mtime < target.stat().st_mtime for source in sources):
        return
    subprocess.run(["clang++", *flags, "-Wno-everything", "-x", "c++-header", "cmake/tidy.h", "-o", target],
                   check=True)


def main() -> int:
    CACHE.mkdir(parents=True, exist_ok=True)
    flags = compile_flags()
    precompile(flags["cmake/pch.cpp"])
    failed = 0
    known = [source for source in SOURCES if source in flags]
    with concurrent.futures.ThreadPoolExecutor(max_workers=max(1, (os.cpu_count() or 2) - 2)) as pool:
        for path, code, output in pool.map(lambda source: check(source, flags[source]), known):
            if code != 0:
                failed += 1
                print(f"{path}\n{output}")
    print(f"clang-tidy: {len(known) - failed} files clean, {failed} with findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
