"""Command that shows where a request would go now, and why, without sending it."""

from typing import Annotated

import msgspec
import typer
import urllib3
from result import Err, Ok, Result

from boragedeck.cli.access import OutputOption, unwrap_or_exit
from boragedeck.cli.console import Console, ExitCode, Output
from boragedeck.cli.fleet import check_router_url
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import PeerError, PeerUnreachableError
from boragedeck.request.explanation import (
    EXPLAIN_PATH,
    CandidateView,
    ExplainQuery,
    Explanation,
)

__all__ = ["explain"]

TIMEOUT_S = 5.0


def explain(
    method: Annotated[str, typer.Argument(help="Method of the request.")],
    path: Annotated[str, typer.Argument(help="Path of the request, with its query.")],
    router: Annotated[
        str,
        typer.Option(
            "--router",
            envvar="BORAGEDECK_ROUTER",
            help="URL of the metrics address of the router that is asked.",
        ),
    ],
    host: Annotated[str, typer.Option(help="Host, which selects the route.")] = "",
    key: Annotated[
        str | None,
        typer.Option(envvar="BORAGEDECK_API_KEY", help="API key of the caller."),
    ] = None,
    header: Annotated[
        list[str] | None,
        typer.Option("--header", "-H", help="Further header, as NAME:VALUE."),
    ] = None,
    output: OutputOption = Output.TABLE,
) -> None:
    """Show where a request would go now, and why, without sending it.

    The answer holds for the router that is asked. What is drawn at random is one draw.
    """
    console = Console(output)
    url = check_router_url(console, router)
    headers = [_parse_header(console, text) for text in header or []]
    query = ExplainQuery(method=method, path=path, host=host, key=key, headers=headers)
    explanation = unwrap_or_exit(console, _ask(url, _encode(console, query)))
    console.json(explanation)
    _print(console, explanation)


def _parse_header(console: Console, text: str) -> tuple[str, str]:
    name, colon, value = text.partition(":")
    if not (name.strip() and colon):
        console.fail(ExitCode.USAGE, f"--header got {text!r}; expected NAME:VALUE")
    return name.strip(), value.strip()


def _encode(console: Console, query: ExplainQuery) -> bytes:
    try:
        return msgspec.json.encode(query)
    except UnicodeEncodeError:
        # The error would show the text, which may be a key.
        console.fail(ExitCode.USAGE, "the request is not valid UTF-8")


def _ask(url: str, body: bytes) -> Result[Explanation, PeerError]:
    error_context = {"step": "explain", "peer": url}
    http = urllib3.PoolManager(retries=False)
    try:
        response = http.request(
            "POST",
            url + EXPLAIN_PATH,
            body=body,
            timeout=TIMEOUT_S,
        )
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        return Err(PeerUnreachableError(str(exc), **error_context))
    if response.status != 200:
        return Err(PeerError(f"status {response.status}", **error_context))
    try:
        return Ok(msgspec.json.decode(response.data, type=Explanation))
    except DECODE_ERRORS as exc:
        # A router of an older build answers with its metrics.
        text = f"no explanation, perhaps of an older build: {exc}"
        return Err(PeerError(text, **error_context))


def _print(console: Console, found: Explanation) -> None:
    ages = ", ".join(
        f"{name.removesuffix('_s')} {_seconds(age)}" for name, age in found.ages.items()
    )
    console.text(f"router {found.router}, table {found.table} ({ages})")
    if found.route is not None:
        _print_route(console, found)
        _print_candidates(console, found)
    console.text("")
    console.text(_decision(found))


def _print_route(console: Console, found: Explanation) -> None:
    console.text(
        f"route {found.route} ({found.kind}), pool {found.pool},"
        f" organisation {found.organisation or '-'}, priority {found.priority}"
    )
    loads = "current" if found.has_fresh_loads else "stale"
    console.text(
        f"loads of other routers {loads}, {found.waiting} waiting here,"
        f" {found.compared} compared"
    )


def _print_candidates(console: Console, found: Explanation) -> None:
    if not found.candidates:
        return
    console.text("")
    header = ("REPLICA", "DOMAIN", "VERSION", "RUNNING", "TOKENS", "UNREAD", "SPEED")
    console.table(
        (*header, "ANSWERED", "PATH", "COST", "EXCLUDED"),
        map(_row, found.candidates),
    )


def _row(view: CandidateView) -> tuple[str, ...]:
    excluded = view.excluded or "-"
    if view.excluded_s is not None:
        excluded += f" for {view.excluded_s:.1f} s"
    return (
        view.replica,
        view.failure_domain,
        view.version,
        f"{view.own_running}+{view.peers_running}",
        str(view.tokens),
        str(view.unread_tokens),
        f"{view.speed:.2f}",
        "-" if view.answered_s is None else f"{view.answered_s:.1f} s ago",
        view.path,
        "-" if view.cost is None else f"{view.cost:.3f}",
        excluded,
    )


def _decision(found: Explanation) -> str:
    refusal = found.refusal
    if refusal is not None:
        retry_after_s = refusal.retry_after_s
        retry = "" if retry_after_s is None else f", Retry-After {retry_after_s:.3f}"
        return f"refused: {refusal.status} {refusal.code}: {refusal.message}{retry}"
    if found.choice is not None:
        return f"goes to {found.choice}"
    return (
        f"waits for a place, {_seconds(found.expected_wait_s)} expected,"
        f" {_seconds(found.max_wait_s)} at most"
    )


def _seconds(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f} s"
