"""Seeded defects in bearing with routers of older builds, each with its test."""

import msgspec
from result import Ok

from boragedeck.connection.messages import Refused
from boragedeck.connection.peer_protocol import Greeting
from boragedeck.connection.peer_server import PeerServer
from boragedeck.exceptions import PeerRefusedError
from boragedeck.process.relaying.fleet.peer_dialect import RelayDialect
from boragedeck.process.relaying.limits.room_grants import RoomGrants
from boragedeck.process.relaying.limits.room_messages import RoomDecision
from boragedeck.process.relaying.rollouts import rollout_exchange
from boragedeck.process.relaying.tables import mirror_server, peer_tables
from tests.support.method_defects import MethodDefect

__all__ = ["UPGRADE_DEFECTS"]

DIALECT = "tests.process.relaying.fleet.test_peer_dialect"
GREETING = "tests.connection.test_peer_protocol"
ROOM = "tests.process.relaying.limits.test_brittle_replicas"
ROLLOUTS = "tests.process.relaying.rollouts.test_rollouts"
TABLES = "tests.process.relaying.tables.test_older_versions"

_answer = PeerServer._answer_in_dialect
_ask = RoomGrants._ask
FIRST_LEASE = 1
KNOWN_FIELDS = 1 + len(Greeting.__struct_fields__)


def _refusing_unknown_fields(self, body, caller):
    if len(msgspec.msgpack.decode(body)) > KNOWN_FIELDS:
        return Refused("unknown fields")
    return _answer(self, body, caller)


def _granted_by_a_refusal(self, owner, question):
    answer = _ask(self, owner, question)
    is_refused = isinstance(answer.err(), PeerRefusedError)
    return Ok(RoomDecision(FIRST_LEASE)) if is_refused else answer


UPGRADE_DEFECTS = (
    MethodDefect(
        "the protocol of a peer is ignored",
        f"{DIALECT}.TranslationTest"
        ".test_builds_that_may_count_otherwise_are_told_no_versions",
        RelayDialect,
        "for_peer",
        lambda self, message, protocol: message,
    ),
    MethodDefect(
        "a message with an unknown field is refused",
        f"{GREETING}.DecoderFuzzTest.test_unknown_fields_at_the_end_are_skipped",
        PeerServer,
        "_answer_in_dialect",
        _refusing_unknown_fields,
    ),
    MethodDefect(
        "versions with eras are compared with plain numbers",
        f"{TABLES}.CutOffRouterTest"
        ".test_newest_table_of_a_router_without_eras_is_in_force",
        peer_tables,
        "is_comparable",
        lambda part, changes, known: True,
    ),
    MethodDefect(
        "a build without eras is told versions with eras",
        f"{TABLES}.AnswersTest"
        ".test_build_without_eras_is_told_changes_in_its_own_counting",
        mirror_server,
        "without_eras",
        lambda changes: changes,
    ),
    MethodDefect(
        "a build without eras is not told to stop a version",
        f"{ROLLOUTS}.OlderBuildsTest.test_build_without_eras_is_told_to_stop",
        rollout_exchange,
        "_key_without_era",
        rollout_exchange._key,
    ),
    MethodDefect(
        "room is granted by a peer that can't count it",
        f"{ROOM}.BrittleReplicasTest"
        ".test_replica_stays_up_under_load_though_the_build_of_its_owner_grants_no_room",
        RoomGrants,
        "_ask",
        _granted_by_a_refusal,
    ),
)
