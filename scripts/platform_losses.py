"""Reads routers' logs and assigns one cause to each late or failed stream."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path

import msgspec
import typer

from scripts.platform_logs import read_lines

__all__ = ["Loss", "find_losses", "main"]

FIRST_GOAL_S = 4.5
GAP_GOAL_S = 0.7
ROUTER_LOST_WITHIN_S = 1.0
"""A router counts as lost if its log ends within this time after the last line of an
unfinished request."""
LATE_WAIT_S = 1.0
"""A wait in the router longer than this counts as the cause of a late first event."""

STREAM_END_TEXTS = ("relay: Answered.", "relay: Broken off.", "relay: Refused.")


class Loss(msgspec.Struct, frozen=True):
    """A stream that failed or was late.

    Parameters
    ----------
    request : str
        Id of the request.
    cause : str
        The cause, in a few words.
    at : float
        Timestamp of the first log line of the request, in seconds.
    vm : str
        VM of the router that wrote this line.
    """

    request: str
    cause: str
    at: float
    vm: str


def find_losses(
    lines: Iterable[dict], first_goal_s: float, gap_goal_s: float
) -> list[Loss]:
    """Return the streams that failed or were late, each with one cause.

    Parameters
    ----------
    lines : iterable of dict
        The structured lines of all routers, sorted by time.
    first_goal_s, gap_goal_s : float
        Longest permitted time to the first event and between two events, in seconds.
    """
    by_request: dict[str, list[dict]] = defaultdict(list)
    last_logged: dict[str, float] = {}
    for line in lines:
        last_logged[line.get("router", "")] = line["timestamp"]
        if "request" in line:
            by_request[line["request"]].append(line)
    found = []
    for request, request_lines in by_request.items():
        cause = _cause(request_lines, last_logged, first_goal_s, gap_goal_s)
        if cause is not None:
            first = request_lines[0]
            found.append(Loss(request, cause, first["timestamp"], first.get("vm", "")))
    return found


def _cause(
    lines: list[dict],
    last_logged: dict[str, float],
    first_goal_s: float,
    gap_goal_s: float,
) -> str | None:
    """Return the cause of a loss; None if the stream was in time or it is a call."""
    sent = [line for line in lines if line["text"] == "relay: Sent."]
    if not any("position" in line for line in sent):
        return None
    end = next((line for line in lines if line["text"] in STREAM_END_TEXTS), None)
    if end is None:
        logged_after_s = (
            last_logged[lines[-1].get("router", "")] - lines[-1]["timestamp"]
        )
        is_lost = logged_after_s < ROUTER_LOST_WITHIN_S or not _caller_left(lines)
        return "router lost during the stream" if is_lost else "caller left"
    match end["text"]:
        case "relay: Refused.":
            return f"refused: {end['code']}"
        case "relay: Broken off.":
            return f"broken off: {end['reason'].partition(' (')[0][:50]}"
    if end["first_s"] > first_goal_s:
        return f"first event late: {_late_first_event_cause(lines, sent)}"
    if end["longest_gap_s"] > gap_goal_s:
        return f"pause: {_pause_cause(lines, sent)}"
    return None


def _caller_left(lines: list[dict]) -> bool:
    return any(line["text"] == "relay: Caller left." for line in lines)


def _late_first_event_cause(lines: list[dict], sent: list[dict]) -> str:
    if len(sent) > 1:
        return "engine silent" if _was_silent(lines) else "engine lost"
    waited_s = sent[0].get("age_s", 0.0)
    return "queued in the router" if waited_s > LATE_WAIT_S else "queued in the engine"


def _was_silent(lines: list[dict]) -> bool:
    return any(line["text"] == "relay: Replica silent." for line in lines)


def _pause_cause(lines: list[dict], sent: list[dict]) -> str:
    if len(sent) == 1:
        return "the engine was silent" if _was_silent(lines) else "the engine paused"
    if not any(line["from_copy"] for line in sent):
        holder = any(line.get("backup") for line in sent[:-1])
        return "the copy holder was lost too" if holder else "there was no copy"
    refused = any(
        "not run" in str(line.get("error"))
        for line in lines
        if line["text"] == "relay: Attempt failed."
    )
    return "the holder had no copy" if refused else "resuming from the copy was slow"


def main(
    path: Path,
    first_goal_s: float = FIRST_GOAL_S,
    gap_goal_s: float = GAP_GOAL_S,
    ids: bool = False,
) -> None:
    """Print the number of lost streams by cause, and on request each of them.

    Parameters
    ----------
    path : Path
        File with the log lines of all routers.
    first_goal_s, gap_goal_s : float
        Longest permitted time to the first event and between two events, in seconds.
    ids : bool
        Whether to list the lost streams, with time, request id, VM and cause.
    """
    lines = read_lines(path)
    losses = find_losses(lines, first_goal_s, gap_goal_s)
    for cause, count in Counter(loss.cause for loss in losses).most_common():
        print(f"{count:6} {cause}")
    if ids:
        start = lines[0]["timestamp"] if lines else 0.0
        for loss in sorted(losses, key=lambda loss: loss.at):
            at_s = loss.at - start
            print(f"{at_s:9.3f} {loss.request} {loss.vm} {loss.cause}")


if __name__ == "__main__":
    typer.run(main)
