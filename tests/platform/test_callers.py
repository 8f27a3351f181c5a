import unittest

from boragedeck.connection.caller_channel import RawRequest
from boragedeck.connection.request_body import RequestBody
from boragedeck.platform.callers import decode_request


def raw_request(*headers):
    return RawRequest(
        method=b"POST",
        target=b"/r/x",
        headers=[(b"Host", b"here.example"), *headers],
        body=RequestBody(),
        arrived=0.0,
        received=0.0,
    )


class SharedPartsTest(unittest.TestCase):
    def shared_parts(self, value):
        decoded = decode_request(raw_request((b"Prompt-Prefix", value)))
        return decoded.ok().shared_parts

    def test_all_parts_but_the_last_are_shared(self):
        self.assertEqual(
            self.shared_parts(b"5c1e:800,91bd:410,e440:250"), ("5c1e", "91bd")
        )
        self.assertEqual(self.shared_parts(b"5c1e:800, 91bd:410"), ("5c1e",))
        self.assertEqual(self.shared_parts(b"5c1e:800"), ())

    def test_request_without_parts_shares_none(self):
        self.assertEqual(decode_request(raw_request()).ok().shared_parts, ())
        self.assertEqual(self.shared_parts(b""), ())

    def test_number_of_parts_is_bounded(self):
        value = b",".join(b"%x:10" % number for number in range(1000))
        self.assertLessEqual(len(self.shared_parts(value)), 64)

    def test_bad_parts_are_refused_with_the_entry(self):
        for value in (b"5c1e", b":8,a:1", b"a:x,b:1", b"f" * 65 + b":1", b"a:1,,b:1"):
            decoded = decode_request(raw_request((b"Prompt-Prefix", value)))
            self.assertEqual(decoded.err().status, 400, value)
            self.assertIn("Prompt-Prefix", decoded.err().message)

    def test_parts_given_twice_are_refused(self):
        parts = (b"Prompt-Prefix", b"a:1,b:1"), (b"prompt-prefix", b"c:1,d:1")
        self.assertEqual(decode_request(raw_request(*parts)).err().status, 400)
