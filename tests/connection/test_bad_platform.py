import io
import unittest

from hypothesis import example, given
from hypothesis import strategies as st
from urllib3 import HTTPResponse

from boragedeck.connection.platform import HttpPlatform
from boragedeck.connection.store import Put, Row, Table
from boragedeck.exceptions import StoreError
from tests.support.values import DEEPLY_NESTED, bad_json

ROW = b'{"table":"config","key":"a","value":"YQ==","version":1}'
STATUSES = st.sampled_from([200, 204, 302, 404, 409, 500, 503])


def response(status, data):
    """Return an answer whose body has not been read yet."""
    return HTTPResponse(io.BytesIO(data), status=status, preload_content=False)


class BadPlatformTest(unittest.TestCase):
    @given(STATUSES, bad_json(ROW, b"[" + ROW + b"]", b"[1,2]"))
    @example(200, DEEPLY_NESTED[2])
    @example(409, b"\xff")
    @example(503, b"\xff" * 5000)
    def test_any_response_is_a_typed_result(self, status, body):
        platform = HttpPlatform("http://platform")
        platform._pool.request = lambda *a, **k: response(status, body)
        put = Put(Table.CONFIG, "a", b"")
        for result, kind in (
            (platform.get(Table.CONFIG, "a"), Row | None),
            (platform.scan(Table.CONFIG), list),
            (platform.commit([put]), list),
            (platform.get_object("a"), bytes | None),
            (platform.vms(), list),
        ):
            if result.is_ok():
                self.assertIsInstance(result.ok(), kind)
            else:
                self.assertIsInstance(result.err(), StoreError)
                self.assertLess(len(str(result.err())), 5000)
