import socket
import unittest
from unittest import mock

from scripts import ports
from scripts.ports import BLOCK_PORTS, HOST, PortBlock


class PortBlockTest(unittest.TestCase):
    def block(self):
        block = PortBlock()
        self.addCleanup(block.close)
        return block

    def test_port_is_given_out_once_though_nobody_listens_there(self):
        blocks = [self.block() for _ in range(3)]
        taken = [block.take() for block in blocks for _ in range(100)]
        self.assertEqual(len(set(taken)), len(taken))

    def test_successive_ports_leave_out_one_that_is_in_use(self):
        block = self.block()
        in_use: set[int] = set()
        with mock.patch.object(ports, "_is_free", lambda port: port not in in_use):
            first = block.take()
            in_use.add(first + 2)
            self.assertEqual(block.take(3), first + 3)

    def test_port_at_which_a_process_listens_is_in_use(self):
        with socket.socket() as sock:
            sock.bind((HOST, 0))
            sock.listen()
            self.assertFalse(ports._is_free(sock.getsockname()[1]))

    def test_block_that_was_given_up_can_be_claimed_again(self):
        for _ in range(2 * 17_000 // BLOCK_PORTS):
            PortBlock().close()

    def test_block_that_is_used_up_says_so(self):
        block = self.block()
        with self.assertRaises(StopIteration):
            block.take(BLOCK_PORTS + 1)
