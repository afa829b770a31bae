"""An instance under clients outside the operator's control.

Each crowd is many times what the instance's memory holds, and most of its
clients stop one byte before the end of their request and stay open.
"""

import pytest

from tests.processes import crowds

pytestmark = pytest.mark.processes

HEAD = b'POST /check/%016x HTTP/1.1\r\nHost: tasks.example\r\n' % 2
WHOLE_HEAD = HEAD + b'Content-Length: %d\r\n\r\n' % crowds.MAX_BODY_BYTES
CHUNKED_HEAD = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
BODY = b'x' * crowds.MAX_BODY_BYTES
PIECE_BYTES = 8_192
LARGE_CHUNK_BYTES = 32_768
TINY_CHUNK = b'1\r\nx\r\n'
# Tiny chunks are sent in writes of this many.
TINY_CHUNKS_PER_PIECE = 8_192
EMPTY_LINES = 32_768 * b'\r\n'


def check(seen: crowds.Seen) -> None:
    assert seen.is_alive
    assert seen.peak_memory_bytes < crowds.MEMORY_MB * 1_000_000
    assert seen.peak_fds < crowds.MAX_FDS
    assert seen.status == 200
    assert seen.exit_code == 0


async def test_large_bodies_that_lack_their_last_byte(tmp_path):
    """Guards against bodies that are each within the limit, but not all."""
    crowd = crowds.Crowd(600, [WHOLE_HEAD + BODY])
    check(await crowds.send(crowd, str(tmp_path)))


async def test_large_bodies_in_pieces(tmp_path):
    """Guards against bodies that grow a little with each piece."""
    pieces = [
        BODY[start : start + PIECE_BYTES]
        for start in range(0, len(BODY), PIECE_BYTES)
    ]
    crowd = crowds.Crowd(600, [WHOLE_HEAD, *pieces])
    check(await crowds.send(crowd, str(tmp_path)))


async def test_large_chunks(tmp_path):
    """Guards against bodies whose size is not declared."""
    chunk = b'%x\r\n%s\r\n' % (LARGE_CHUNK_BYTES, BODY[:LARGE_CHUNK_BYTES])
    n_chunks = crowds.MAX_BODY_BYTES // LARGE_CHUNK_BYTES
    crowd = crowds.Crowd(600, [CHUNKED_HEAD, *n_chunks * [chunk], LAST_CHUNK])
    check(await crowds.send(crowd, str(tmp_path)))


async def test_tiny_chunks(tmp_path):
    """Guards against work for each byte that keeps others waiting."""
    n_pieces = crowds.MAX_BODY_BYTES // TINY_CHUNKS_PER_PIECE
    pieces = n_pieces * [TINY_CHUNKS_PER_PIECE * TINY_CHUNK]
    crowd = crowds.Crowd(400, [CHUNKED_HEAD, *pieces, LAST_CHUNK])
    check(await crowds.send(crowd, str(tmp_path)))


async def test_heads_over_the_limit(tmp_path):
    """Guards against a header that is counted only once it is complete."""
    head = HEAD + b'X-Large: %s\r\n\r\n' % BODY
    check(await crowds.send(crowds.Crowd(600, [head]), str(tmp_path)))


async def test_heads_without_end(tmp_path):
    """Guards against a header line that is never complete."""
    crowd = crowds.Crowd(600, [HEAD + b'X-Endless: ', *4 * [BODY]])
    check(await crowds.send(crowd, str(tmp_path)))


async def test_empty_lines_without_end(tmp_path):
    """Guards against bytes before a request that count as nothing.

    What a connection read last stayed in memory until its next byte.
    """
    crowd = crowds.Crowd(1_000, 16 * [EMPTY_LINES])
    check(await crowds.send(crowd, str(tmp_path)))


async def test_requests_without_a_wait_for_responses(tmp_path):
    """Guards against many small requests that arrive in one read."""
    get = b'GET /check/%s HTTP/1.1\r\nHost: tasks.example\r\n\r\n'
    requests = 1_000 * (get % crowds.JOB_ID)
    crowd = crowds.Crowd(600, 4 * [requests])
    check(await crowds.send(crowd, str(tmp_path)))
