import io

import testtools

from ..bodies import BodyError, ChunkedReader, KnownLengthReader, RequestBody
from ..buffers import BodyBuffer, MemoryLimitError
from ..memory import BYTES_PER_MIB, UNRESERVED_BYTES, MemoryAccount, MemoryReservation
from ..stalls import StallTracker, Transfer

MAX_OVERHEAD_BYTES = 1000
LIMIT_BYTES = 8 * BYTES_PER_MIB
SIZES = (1, UNRESERVED_BYTES, UNRESERVED_BYTES + 1, 3 * BYTES_PER_MIB + 7)
MALFORMED = {
    "signed size": b"+5\r\nabcde\r\n0\r\n\r\n",
    "size with separator": b"1_0\r\n" + b"a" * 16 + b"\r\n0\r\n\r\n",
    "negative size": b"-5\r\nabcde\r\n0\r\n\r\n",
    "prefixed size": b"0x5\r\nabcde\r\n0\r\n\r\n",
    "blank before the size": b" 5\r\nabcde\r\n0\r\n\r\n",
    "control byte in an extension": b"5;a\x00\r\nabcde\r\n0\r\n\r\n",
    "size of 17 digits": b"1" + b"0" * 16 + b"\r\nabcde\r\n0\r\n\r\n",
    "no size": b"\r\n0\r\n\r\n",
    "long chunk": b"5\r\nabcdefg\r\n0\r\n\r\n",
    "cut chunk": b"5\r\nabc",
    "no last chunk": b"5\r\nabcde\r\n",
    "cut trailers": b"5\r\nabcde\r\n0\r\nA: b\r\n",
    "long size": b"0" * (MAX_OVERHEAD_BYTES + 1) + b"5\r\nabcde\r\n0\r\n\r\n",
    "long extension": b"5;" + b"x" * MAX_OVERHEAD_BYTES + b"\r\nabcde\r\n0\r\n\r\n",
    "long trailer": b"0\r\nA: " + b"x" * MAX_OVERHEAD_BYTES + b"\r\n\r\n",
    "many trailers": b"0\r\n" + b"A: b\r\n" * MAX_OVERHEAD_BYTES + b"\r\n",
}


class Counter:
    def __init__(self, remaining):
        self.remaining = remaining


def open_file(data):
    return io.BufferedReader(io.BytesIO(data))


class RequestBodyTests(testtools.TestCase):
    """Guards against bodies that are read wrongly or without bounds."""

    def read_chunked(self, data, limit_bytes=LIMIT_BYTES):
        body = RequestBody(ChunkedReader(open_file(data), MAX_OVERHEAD_BYTES), None)
        return self.read(body, limit_bytes)

    def read_known(self, data, length):
        reader = KnownLengthReader(open_file(data), Counter(length))
        return self.read(RequestBody(reader, length))

    def read(self, body, limit_bytes=LIMIT_BYTES):
        self.account = MemoryAccount(LIMIT_BYTES)
        reservation = MemoryReservation(self.account, is_request=True)
        transfer = Transfer(StallTracker(), None, None)
        return body.read_into_buffer(reservation, limit_bytes, transfer)

    def test_bodies_of_all_sizes_are_whole(self):
        for size in SIZES:
            data = b"abcdefghij" * (size // 10 + 1)
            data = data[:size]
            chunked = b"%x\r\n%s\r\n0\r\nA: b\r\n\r\n" % (size, data)
            self.assertEqual(data, bytes(self.read_known(data + b"next", size)))
            self.assertEqual(data, bytes(self.read_chunked(chunked)))

    def test_body_of_many_chunks_is_whole(self):
        chunk = b"3;name=value\r\nabc\r\n"
        body = self.read_chunked(chunk * 50_000 + b"0\r\n\r\n")
        self.assertEqual(b"abc" * 50_000, bytes(body))

    def test_empty_bodies_are_whole(self):
        self.assertEqual(b"", self.read_known(b"next", 0))
        self.assertEqual(b"", self.read_chunked(b"0\r\n\r\n"))

    def test_malformed_chunked_bodies_are_refused(self):
        for name, data in MALFORMED.items():
            error = self.assertRaises(BodyError, self.read_chunked, data)
            self.assertEqual((name, "body-malformed"), (name, error.code))

    def test_cut_body_is_refused_and_its_memory_returned(self):
        error = self.assertRaises(
            BodyError, self.read_known, bytes(BYTES_PER_MIB), 2 * BYTES_PER_MIB
        )
        self.assertEqual("body-cut", error.code)
        self.assertTrue(self.account.reserve(LIMIT_BYTES))

    def test_too_large_bodies_are_not_read(self):
        size = 2 * UNRESERVED_BYTES
        chunked = b"%x\r\n%s\r\n0\r\n\r\n" % (size, bytes(size))
        self.assertIsNone(self.read_chunked(chunked, size - 1))
        self.assertTrue(self.account.reserve(LIMIT_BYTES))
        self.assertIsNone(self.read_known(b"", LIMIT_BYTES + 1))


class BodyBufferTests(testtools.TestCase):
    def test_body_holds_its_reservation_until_it_is_collected(self):
        account = MemoryAccount(LIMIT_BYTES)
        buffer = BodyBuffer(MemoryReservation(account), LIMIT_BYTES)
        buffer.append(b"x" * LIMIT_BYTES)
        body = buffer.finish()
        del buffer
        self.assertFalse(account.reserve(2 * UNRESERVED_BYTES))
        del body
        self.assertTrue(account.reserve(LIMIT_BYTES))

    def test_body_without_room_is_not_begun(self):
        account = MemoryAccount(LIMIT_BYTES)
        account.reserve(LIMIT_BYTES)
        self.assertRaises(
            MemoryLimitError, BodyBuffer, MemoryReservation(account), LIMIT_BYTES
        )
