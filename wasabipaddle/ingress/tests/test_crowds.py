"""Crowds of clients that misuse the listeners of a real cell process.

Each crowd is smaller than the number of descriptors in the settings, unless the test
is about descriptors, and would hold more than the memory in the settings.
"""

import asyncio

from wasabipaddle.ingress.tests.raw_requests import (
    BODY_BYTES,
    CHUNKED,
    body_of,
    chunked,
    head,
    length,
    write,
)

# Connections whose bodies or heads are held, and connections beyond the descriptors.
CROWD = 600
LARGE_CROWD = 1_200
# One client of this many completes its request.
COMPLETING_SHARE = 10
MISSING_BYTES = 64
PIECE_BYTES = 8_192
CHUNK_BYTES = 16_384
SMALL_CHUNKS = 20_000
FIELD_BYTES = 4_000
# Fields of a head over the limit, and of one that goes on until it is refused.
FIELDS_OVER_LIMIT = 40
ENDLESS_FIELDS = 400
EMPTY_LINES = b"\r\n" * 4_096
PAUSE_S = 0.05


def test_heads_over_the_limit(run_crowded):
    """Guards against heads over the limit that are held until their end."""

    async def send(writer, number):
        fields = f"X-Fill: {'x' * FIELD_BYTES}\r\n" * FIELDS_OVER_LIMIT
        await write(writer, head(number, fields)[:-2])

    async def check(cell):
        await cell.send_crowd(CROWD, send)
        await cell.check()

    run_crowded(check)


def test_heads_without_end(run_crowded):
    """Guards against heads that grow until the process is out of memory."""

    async def send(writer, number):
        await write(writer, head(number, "")[:-2])
        for field in range(ENDLESS_FIELDS):
            await write(writer, b"X-%d: %b\r\n" % (field, b"x" * FIELD_BYTES))

    async def check(cell):
        await cell.send_crowd(CROWD, send)
        await cell.check()

    run_crowded(check)


def test_empty_lines_without_end(run_crowded):
    """Guards against empty lines before a request that keep a connection for ever."""

    async def check(cell):
        answered = asyncio.Event()

        async def send(writer, number):
            await write(writer, EMPTY_LINES)

            async def go_on():
                while not answered.is_set():
                    await write(writer, EMPTY_LINES)
                    await asyncio.sleep(PAUSE_S)

            cell.keep_sending(go_on())

        await cell.send_crowd(LARGE_CROWD, send)
        await cell.check()
        answered.set()

    run_crowded(check)


def _missing(number):
    return 0 if number % COMPLETING_SHARE == 0 else MISSING_BYTES


def test_large_bodies_at_once(run_crowded):
    """Guards against whole large bodies that are all held at the same time."""
    body = body_of(BODY_BYTES)

    async def send(writer, number):
        sent = body[: BODY_BYTES - _missing(number)]
        await write(writer, head(number, length(BODY_BYTES)) + sent)

    async def check(cell):
        await cell.send_crowd(CROWD, send)
        await cell.check()

    run_crowded(check)


def test_large_bodies_in_pieces(run_crowded):
    """Guards against large bodies that all grow at the same time."""
    body = body_of(BODY_BYTES)

    async def send(writer, number):
        await write(writer, head(number, length(BODY_BYTES)))
        sent = body[: BODY_BYTES - _missing(number)]
        for at in range(0, len(sent), PIECE_BYTES):
            await write(writer, sent[at : at + PIECE_BYTES])
            await asyncio.sleep(0)

    async def check(cell):
        await cell.send_crowd(CROWD, send)
        await cell.check()

    run_crowded(check)


def test_bodies_in_large_chunks(run_crowded):
    """Guards against bodies without a declared length that are all held at once."""
    chunks = chunked(body_of(BODY_BYTES), CHUNK_BYTES)

    async def send(writer, number):
        await write(writer, head(number, CHUNKED))
        if _missing(number):
            await write(writer, chunks[: -_missing(number)])
        else:
            await write(writer, chunks + b"0\r\n\r\n")

    async def check(cell):
        await cell.send_crowd(CROWD, send)
        await cell.check()

    run_crowded(check)


def test_bodies_in_very_small_chunks(run_crowded):
    """Guards against chunks whose bookkeeping needs many times their own bytes."""
    chunks = chunked(body_of(SMALL_CHUNKS), 1)

    async def send(writer, number):
        await write(writer, head(number, CHUNKED))
        if _missing(number):
            await write(writer, chunks)
        else:
            await write(writer, chunks + b"0\r\n\r\n")

    async def check(cell):
        await cell.send_crowd(CROWD, send)
        await cell.check()

    run_crowded(check)


def test_idle_connections_beyond_the_descriptors(run_crowded):
    """Guards against a process that no longer accepts or calls at its limit."""

    async def send(writer, number):
        pass

    async def check(cell):
        for listener in ("callers", "readiness", "internal"):
            await cell.send_crowd(LARGE_CROWD, send, listener=listener)
        await cell.check()

    run_crowded(check)
