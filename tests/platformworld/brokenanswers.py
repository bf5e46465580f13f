"""Answers that break HTTP, as servers in trouble send them. Each form makes one from the headers and the body of a
sound answer."""

from __future__ import annotations

import gzip

from platformworld.httpd import Spoiled

#: The body of an answer that stands inside a broken one; no caller may get it.
SMUGGLED = b"smuggled"
#: The stamp of that answer.
SMUGGLED_STAMP = "smuggled.1"


def head(status: str, headers: dict, *lines: str) -> bytes:
    named = [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([f"HTTP/1.1 {status} X", *named, *lines]).encode("latin-1") + b"\r\n\r\n"


def length(body: bytes) -> str:
    return f"Content-Length: {len(body)}"


def with_status(status: str):
    return lambda headers, body: head(status, headers, length(body)) + body


def before_another(status: str):
    def form(headers: dict, body: bytes) -> bytes:
        forged = {name: SMUGGLED_STAMP if name == "X-Server-Stamp" else value for name, value in headers.items()}
        other = head("200", forged, length(SMUGGLED)) + SMUGGLED
        return head(status, {}, length(other)) + other
    return form


def with_line(line: str):
    return lambda headers, body: head("200", headers, line, length(body)) + body


def with_folded_length(headers: dict, body: bytes) -> bytes:
    return head("200", headers, " " + length(body)) + body


def chunked(codings: str, encode):
    def form(headers: dict, body: bytes) -> bytes:
        encoded = encode(body)
        chunks = b"%x\r\n" % len(encoded) + encoded + b"\r\n0\r\n\r\n"
        return head("200", headers, f"Transfer-Encoding: {codings}") + chunks
    return form


def without_body(status: str):
    return lambda headers, body: head(status, headers, length(b""))


def cut_in_head(line: str, sent: int):
    """Of the last line of the head, `sent` bytes come before the server closes."""
    return lambda headers, body: head("200", headers, line)[:-len("\r\n\r\n")][:sent - len(line) or None]


FORMS = {
    "status 000": with_status("000"),
    "status 000 without a body": without_body("000"),
    "status 099": with_status("099"),
    "status 999": with_status("999"),
    "status 000 before another answer": before_another("000"),
    "interim response with a body": before_another("103"),
    "name begins with a blank": with_line(" X-Odd: 1"),
    "name holds a blank": with_line("X Odd: 1"),
    "name ends with a blank": with_line("X-Odd : 1"),
    "name holds a control byte": with_line("X\x01Odd: 1"),
    "length begins with a blank": with_folded_length,
    "coding gzip": chunked("gzip, chunked", gzip.compress),
    "coding after chunked": chunked("chunked, gzip", lambda body: body),
    "cut in a name": cut_in_head("Content-Length: 5", 9),
    "cut in a length": cut_in_head("Content-Length: 5", 17),
}
#: Forms behind which the server closes; the others leave the connection open.
CLOSING = ("cut in a name", "cut in a length")


class Breaker:
    """Breaks answers of a server: the first `each` of every form in turn, or all while `each` is None."""

    def __init__(self, each: int | None = None, concerns=lambda request: True) -> None:
        self.concerns = concerns
        self.forms = list(FORMS) if each is None else [name for name in FORMS for _ in range(each)]
        self.repeats = each is None
        self.broken = 0

    def __call__(self, request, answer, body: bytes) -> Spoiled | None:
        if not self.concerns(request) or not self.forms:
            return None
        form = self.forms.pop(0)
        if self.repeats:
            self.forms.append(form)
        self.broken += 1
        return Spoiled(FORMS[form](answer.headers, body), form in CLOSING)
