import unittest

import eventlet
import msgspec
import urllib3

from boragedeck.connection.platform import HttpPlatform
from boragedeck.connection.store import ABSENT, Delete, Put, Row, Table, Vm
from boragedeck.exceptions import (
    StoreConflictError,
    StoreUnavailableError,
    StoreUnknownOutcomeError,
)
from standins.memory import Faults
from standins.platform import PlatformApp
from standins.web import base_url, listen, serve


class PlatformAppTest(unittest.TestCase):
    def setUp(self):
        listener = listen()
        self.app = PlatformApp()
        server = eventlet.spawn(serve, self.app, listener)
        self.addCleanup(server.kill)
        self.url = base_url(listener)
        self.client = HttpPlatform(self.url)
        self.http = urllib3.PoolManager(retries=False)

    def put(self, path, value):
        body = msgspec.json.encode(value)
        return self.http.request("PUT", self.url + path, body=body)

    def test_rows_are_written_read_scanned_and_deleted(self):
        value = b"\x00\xff bytes"
        writes = [
            Put(Table.CONFIG, "a/1", value, ABSENT),
            Put(Table.CONFIG, "a/2", b""),
        ]
        self.assertEqual(self.client.commit(writes).unwrap(), [1, 1])
        row = self.client.get(Table.CONFIG, "a/1").unwrap()
        self.assertEqual(row, Row("a/1", value, 1))
        rows = self.client.scan(Table.CONFIG, "a/", after="a/1").unwrap()
        self.assertEqual([row.key for row in rows], ["a/2"])
        self.client.commit([Delete(Table.CONFIG, "a/1", 1)]).unwrap()
        self.assertIsNone(self.client.get(Table.CONFIG, "a/1").unwrap())

    def test_failed_condition_reports_its_row_and_writes_nothing(self):
        writes = [Put(Table.LEASES, "x", b"1"), Put(Table.LEASES, "y", b"1", expect=7)]
        exc = self.client.commit(writes).unwrap_err()
        self.assertIsInstance(exc, StoreConflictError)
        self.assertEqual(exc.message, "leases/y")
        self.assertIsNone(self.client.get(Table.LEASES, "x").unwrap())

    def test_objects_and_vms(self):
        self.assertIsNone(self.client.get_object("config/1").unwrap())
        self.client.put_object("config/1", b"\x01\x02").unwrap()
        self.assertEqual(self.client.get_object("config/1").unwrap(), b"\x01\x02")
        vms = [Vm("vm-1", "127.0.0.1", "fd-1", leaving=True)]
        self.put("/vms", vms)
        self.assertEqual(self.client.vms().unwrap(), vms)

    def test_platform_refuses_calls_while_it_is_down(self):
        self.put("/faults", Faults(down=True))
        for result in (
            self.client.get(Table.CONFIG, "a"),
            self.client.commit([Put(Table.CONFIG, "a", b"")]),
            self.client.get_object("a"),
            self.client.vms(),
        ):
            self.assertIsInstance(result.unwrap_err(), StoreUnavailableError)
        self.put("/faults", Faults())
        self.assertIsNone(self.client.get(Table.CONFIG, "a").unwrap())

    def test_a_lost_answer_closes_the_connection_after_the_write(self):
        self.put("/faults", Faults(lose_answers=1))
        lost = self.client.commit([Put(Table.CONFIG, "a", b"1")])
        self.assertIsInstance(lost.unwrap_err(), StoreUnknownOutcomeError)
        self.assertEqual(self.client.get(Table.CONFIG, "a").unwrap().value, b"1")

    def test_lost_request_has_the_same_error_and_writes_nothing(self):
        self.put("/faults", Faults(lose_requests=1))
        lost = self.client.commit([Put(Table.CONFIG, "a", b"1")])
        self.assertIsInstance(lost.unwrap_err(), StoreUnknownOutcomeError)
        self.assertIsNone(self.client.get(Table.CONFIG, "a").unwrap())

    def test_a_bad_body_is_a_bad_request(self):
        response = self.put("/faults", {"no_such_fault": 1})
        self.assertEqual(response.status, 400)
