import itertools
import tempfile
import unittest
from pathlib import Path

import eventlet
from eventlet.green import socket
from hypothesis import given
from hypothesis import strategies as st

from boragedeck.connection import guard as guard_module
from boragedeck.connection.guard import GuardChain, OpenGuard, SecretGuard
from boragedeck.connection.messages import Accepted, Message, Ping
from boragedeck.connection.peer import Address, PeerLink, PeerServer
from boragedeck.connection.peer_server import PeerLimits
from boragedeck.connection.tls import TlsGuard
from boragedeck.exceptions import PeerUnreachableError
from boragedeck.process.timers import RealTimers
from tests.support.certificates import make_authority, make_certificate

OLD, NEW, OTHER = "old secret " * 3, "new secret " * 3, "other secret " * 3


class GuardTestCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def secret_guard(self, name, *lines):
        path = self.folder / name
        path.write_text("\n".join(lines))
        return SecretGuard(path)

    def serve(self, guard, **limits):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.server = PeerServer(listener, guard, PeerLimits(**limits))
        self.handled = []
        self.server.register(Ping, lambda message: self.handled.append(1) or Accepted())
        eventlet.spawn_n(self.server.serve)
        self.addCleanup(self.server.close)
        return Address(*listener.getsockname())

    def call(self, address, guard):
        link = PeerLink(address, RealTimers(), guard)
        self.addCleanup(link.close)
        return link.call(Ping(), Accepted, timeout_s=5)

    def can_call(self, caller, listener):
        return self.call(self.serve(listener), caller).is_ok()


class SecretGuardTest(GuardTestCase):
    def test_same_secret_is_admitted(self):
        guard = self.secret_guard("a", NEW)
        self.assertTrue(self.can_call(guard, guard))

    def test_other_secret_is_not_admitted_by_either_side(self):
        mine, theirs = self.secret_guard("a", NEW), self.secret_guard("b", OTHER)
        self.assertFalse(self.can_call(mine, theirs))
        self.assertEqual(self.handled, [])

    def test_peers_without_a_secret_are_not_admitted(self):
        guard = self.secret_guard("a", NEW)
        self.assertFalse(self.can_call(OpenGuard(), guard))
        self.assertEqual(self.handled, [])
        self.assertFalse(self.can_call(guard, OpenGuard()))
        self.assertEqual(self.handled, [])

    def test_rotation_in_any_order_keeps_links(self):
        files = [(OLD,), (NEW, OLD), (NEW,)]
        for before, after in itertools.pairwise(files):
            one = self.secret_guard("a", *before)
            two = self.secret_guard("b", *after)
            self.assertTrue(self.can_call(one, two))
            self.assertTrue(self.can_call(two, one))

    def test_replaced_file_is_used_for_the_next_connection(self):
        mine, theirs = self.secret_guard("a", OLD), self.secret_guard("b", OTHER)
        address = self.serve(theirs)
        self.assertFalse(self.call(address, mine).is_ok())
        (self.folder / "a").write_text(OTHER)
        self.assertTrue(self.call(address, mine).is_ok())
        (self.folder / "a").write_text("")
        self.assertTrue(self.call(address, mine).is_ok())

    def test_listener_proof_is_not_accepted_as_caller_proof(self):
        address = self.serve(self.secret_guard("a", NEW))
        with socket.create_connection((address.host, address.port)) as sock:
            sock.settimeout(20)
            key_id = guard_module._key_id(NEW.strip().encode())
            guard_module._send(sock, guard_module.Hello(bytes(32), (key_id,)))
            challenge = guard_module._receive(sock, guard_module.Challenge)
            guard_module._send(sock, guard_module.Response(challenge.proof))
            self.assertEqual(sock.recv(1), b"")

    @given(st.binary(max_size=600))
    def test_random_bytes_in_a_handshake_are_refused(self, data):
        near, far = socket.socketpair()
        guard = self.secret_guard("a", NEW)
        with near, far:
            near.sendall(data)
            near.shutdown(socket.SHUT_WR)
            with self.assertRaises(OSError):
                guard.accept(far)


class TlsGuardTest(GuardTestCase):
    def setUp(self):
        super().setUp()
        make_authority(self.folder, "ca")
        make_authority(self.folder, "foreign")

    def guard(self, name, signed_by="ca", trusts="ca"):
        cert, key = make_certificate(self.folder, name, signed_by)
        return TlsGuard(cert, key, self.folder / f"{trusts}.pem")

    def test_certificates_of_one_authority_are_admitted(self):
        self.assertTrue(self.can_call(self.guard("a"), self.guard("b")))

    def test_certificates_of_another_authority_are_not_admitted(self):
        own, foreign = self.guard("a"), self.guard("b", "foreign")
        self.assertFalse(self.can_call(own, foreign))
        self.assertFalse(self.can_call(foreign, own))
        self.assertEqual(self.handled, [])

    def test_plain_text_is_not_admitted(self):
        self.assertFalse(self.can_call(OpenGuard(), self.guard("a")))
        self.assertEqual(self.handled, [])

    def test_renewed_certificate_is_used_without_a_restart(self):
        own, other = self.guard("a"), self.guard("b", "foreign")
        address = self.serve(own)
        self.assertFalse(self.call(address, other).is_ok())
        make_certificate(self.folder, "b", "ca")
        self.assertTrue(self.call(address, other).is_ok())

    def test_key_of_another_certificate_is_an_error_at_the_start(self):
        cert, _ = make_certificate(self.folder, "a", "ca")
        _, key = make_certificate(self.folder, "b", "ca")
        with self.assertRaises(OSError):
            TlsGuard(cert, key, self.folder / "ca.pem")

    def test_closed_link_fails_its_calls_and_reconnects(self):
        class Never(Message, frozen=True):
            pass

        guard = self.guard("a")
        address = self.serve(guard)
        self.server.register(Never, lambda message: eventlet.sleep(3600))
        link = PeerLink(address, RealTimers(), guard)
        self.addCleanup(link.close)
        waiting = eventlet.spawn(link.call, Never(), Accepted, timeout_s=60)
        self.assertTrue(link.call(Ping(), Accepted, timeout_s=5).is_ok())
        link.close()
        self.assertIsInstance(waiting.wait().err(), PeerUnreachableError)
        self.assertTrue(link.call(Ping(), Accepted, timeout_s=5).is_ok())

    def test_many_concurrent_large_calls_are_answered(self):
        class Echo(Message, frozen=True):
            data: bytes

        guard = GuardChain(self.guard("a"), self.secret_guard("s", NEW))
        address = self.serve(guard)
        self.server.register(Echo, lambda message: message)
        link = PeerLink(address, RealTimers(), guard)
        self.addCleanup(link.close)
        texts = [bytes([number]) * 500_000 for number in range(20)]
        answers = eventlet.GreenPool().imap(
            lambda data: link.call(Echo(data), Echo, timeout_s=20).ok().data, texts
        )
        self.assertEqual(list(answers), texts)


class SilentPeerTest(GuardTestCase):
    def test_silent_caller_is_disconnected_by_every_guard(self):
        make_authority(self.folder, "ca")
        cert, key = make_certificate(self.folder, "a", "ca")
        tls = TlsGuard(cert, key, self.folder / "ca.pem")
        for guard in (tls, self.secret_guard("s", NEW)):
            address = self.serve(guard, handshake_s=0.05)
            with socket.create_connection((address.host, address.port)) as sock:
                sock.settimeout(20)
                self.assertEqual(sock.recv(1), b"")
            self.assertEqual(len(self.server), 0)

    def test_silent_listener_is_unreachable(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        link = PeerLink(
            Address(*listener.getsockname()),
            RealTimers(),
            self.secret_guard("s", NEW),
        )
        answer = link.call(Ping(), Accepted, timeout_s=0.05)
        self.assertIsInstance(answer.err(), PeerUnreachableError)
