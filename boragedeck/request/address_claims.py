"""Asks a replica whose address another entry names whether it is still there."""

import eventlet

from boragedeck.connection.exchange import Exchange
from boragedeck.exceptions import UpstreamError
from boragedeck.process.relaying.replicas.replica_state import ReplicaState
from boragedeck.request.answer_heads import read_own_head
from boragedeck.request.relay_components import RelayComponents
from boragedeck.request.relay_request import Verdict, VerdictKind

__all__ = ["watch_address_claims"]

ASK_TIMEOUT_S = 0.3
MAX_ASKS = 4
"""How often a replica that doesn't answer is asked. After that, requests show it."""
ASK_INTERVAL_S = 0.5


def watch_address_claims(parts: RelayComponents) -> None:
    """Ask each replica whose address a newer entry names, and end work at those gone.

    Parameters
    ----------
    parts : RelayComponents
        The components of the process that relaying uses.

    Notes
    -----
    The requests at a replica are ended if another one answers that it has the address.
    No answer is no such evidence. A replica that asked to wait isn't asked meanwhile.
    """
    parts.registry.on_claimed = lambda state: eventlet.spawn_n(_check, parts, state)


def _check(parts: RelayComponents, state: ReplicaState) -> None:
    replica = state.replica.replica
    for _ in range(MAX_ASKS):
        if state.is_removed and not state.on_lost:
            # Nothing is left to end.
            return
        is_held = parts.timers.now() < state.held_until
        verdict = None if is_held else _ask(parts, state)
        if verdict is not None:
            is_gone = (
                verdict.kind is VerdictKind.MOVED
                and verdict.actual_replica not in (None, replica)
            )
            if is_gone:
                parts.registry.note_lost(state, "another replica at its address")
            return
        parts.timers.sleep(ASK_INTERVAL_S)


def _ask(parts: RelayComponents, state: ReplicaState) -> Verdict | None:
    """Return what the address answers to a probe of the replica; None if nothing."""
    message = parts.protocol.probe_message(state.replica.replica)
    try:
        exchange = parts.paths.send(
            state.replica.address, message, ASK_TIMEOUT_S, ASK_TIMEOUT_S
        )
        try:
            return _read_verdict(parts, exchange)
        finally:
            exchange.close()
    except UpstreamError:
        return None


def _read_verdict(parts: RelayComponents, exchange: Exchange) -> Verdict:
    until = parts.timers.now() + ASK_TIMEOUT_S

    def left_s() -> float:
        return max(0.0, until - parts.timers.now())

    received = read_own_head(
        exchange,
        parts.protocol,
        parts.metrics,
        lambda exchange, read: read(left_s()),
    )
    return parts.protocol.verdict(received.head, received.match)
