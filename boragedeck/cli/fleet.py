"""Reads the status of the fleet from the platform's tables and from the routers."""

from typing import Annotated

import eventlet
import msgspec
import typer
import urllib3
from result import Err, Ok, Result

from boragedeck.cli.access import open_platform, unwrap_or_exit
from boragedeck.cli.console import Console, ExitCode
from boragedeck.connection.platform import Platform
from boragedeck.connection.store import Row, Table
from boragedeck.decoding import DECODE_ERRORS
from boragedeck.exceptions import BoragedeckError, PeerError, PeerUnreachableError
from boragedeck.ids import RouterId
from boragedeck.process.membership.member_row import MemberRow
from boragedeck.process.observing.status import Status
from boragedeck.process.settings import check_url
from boragedeck.process.timers import RealTimers
from boragedeck.version.config_store import ConfigStore

__all__ = [
    "FleetStatus",
    "LeaseView",
    "RouterOption",
    "RouterView",
    "check_router_url",
    "read_fleet",
]

STATUS_PATH = "/-/status"
STATUS_TIMEOUT_S = 2.0
MAX_CONCURRENT_REQUESTS = 32
PAGE_ROWS = 500
MAX_ROWS = 5000


class LeaseView(msgspec.Struct, frozen=True):
    """A lease as read from its row.

    Parameters
    ----------
    name : str
        The lease's name.
    holder : RouterId
        The router that last wrote the row; empty after the lease is released.
    token : int
        The fencing token.
    """

    name: str
    holder: RouterId
    token: int


class RouterView(msgspec.Struct, frozen=True):
    """A router's report, or the reason why it is missing.

    Parameters
    ----------
    url : str
        The router's base URL.
    report : Status or None
        The router's report; None if it did not answer.
    error : str
        Why there is no report; empty if there is one.
    row_age_s : float or None
        Age of the router's row in the members table, in seconds by this machine's
        clock; None if the row was not read.
    """

    url: str
    report: Status | None
    error: str = ""
    row_age_s: float | None = None


class FleetStatus(msgspec.Struct, frozen=True):
    """The routers and leases of the fleet, as the commands show them.

    Parameters
    ----------
    accepted_revision : int or None
        The newest accepted revision; None if the platform can't be read.
    routers : tuple of RouterView
        The routers.
    leases : tuple of LeaseView
        The leases.
    platform_error : str
        Why the platform can't be read; empty if it can.
    """

    accepted_revision: int | None
    routers: tuple[RouterView, ...]
    leases: tuple[LeaseView, ...] = ()
    platform_error: str = ""

    def has_accepted_revision(self, view: RouterView) -> bool:
        """Return whether the router has the accepted revision in force."""
        report = view.report
        return report is not None and report.config.revision == self.accepted_revision


class _LeaseBody(msgspec.Struct, frozen=True):
    """The fields of a lease's row that are shown."""

    holder: RouterId
    token: int


RouterOption = Annotated[
    list[str] | None,
    typer.Option(
        "--router",
        help="Also query the router at this URL; useful while the platform is down.",
    ),
]


def read_fleet(
    console: Console, platform_url: str, routers: list[str] | None
) -> FleetStatus:
    """Read the platform's tables and the reports of the routers.

    Parameters
    ----------
    console : Console
        Prints errors.
    platform_url : str
        Base URL of the platform.
    routers : list of str or None
        URLs of further routers to query.

    Notes
    -----
    Ends the program if the platform can't be read and `routers` names no router.
    """
    urls = [check_router_url(console, text) for text in routers or []]
    tables_result = _read_tables(open_platform(console, platform_url))
    if tables_result.is_err() and not urls:
        unwrap_or_exit(console, tables_result)
    fleet = tables_result.unwrap_or(
        FleetStatus(None, (), platform_error=str(tables_result.err()))
    )
    known_ages = {view.url: view.row_age_s for view in fleet.routers}
    ages = {url: known_ages.get(url) for url in [*known_ages, *urls]}
    if tables_result.is_err():
        console.note(f"platform not readable: {fleet.platform_error}")
    return msgspec.structs.replace(fleet, routers=tuple(_fetch_reports(ages)))


def check_router_url(console: Console, text: str) -> str:
    """Return a router's URL as given by an option; end the program if it is invalid."""
    try:
        return check_url(text)
    except ValueError as exc:
        got = f"--router got {text!r} ({exc})"
        console.fail(
            ExitCode.USAGE, f"{got}; expected a URL such as http://10.0.0.1:8080"
        )


def _fetch_reports(ages: dict[str, float | None]) -> list[RouterView]:
    """Return the routers' reports; the number of concurrent requests is limited.

    Parameters
    ----------
    ages : dict of str to float or None
        Ages of the routers' rows in seconds, by the routers' URLs.
    """
    http = urllib3.PoolManager(num_pools=MAX_CONCURRENT_REQUESTS, retries=False)
    pool = eventlet.GreenPool(MAX_CONCURRENT_REQUESTS)
    answers = pool.imap(lambda url: _fetch_report(http, url), ages)
    router_views = []
    for (url, age), answer in zip(ages.items(), answers, strict=True):
        error = str(answer.err()) if answer.is_err() else ""
        router_views.append(RouterView(url, answer.ok(), error, age))
    return router_views


def _fetch_report(http: urllib3.PoolManager, url: str) -> Result[Status, PeerError]:
    error_context = {"step": "status", "peer": url}
    try:
        response = http.request("GET", url + STATUS_PATH, timeout=STATUS_TIMEOUT_S)
    except (urllib3.exceptions.HTTPError, OSError) as exc:
        return Err(PeerUnreachableError(str(exc), **error_context))
    if response.status != 200:
        return Err(PeerError(f"status {response.status}", **error_context))
    try:
        return Ok(msgspec.json.decode(response.data, type=Status))
    except DECODE_ERRORS as exc:
        return Err(PeerError(str(exc), **error_context))


def _read_tables(platform: Platform) -> Result[FleetStatus, BoragedeckError]:
    """Read the platform's tables, without querying the routers."""
    timers = RealTimers()
    newest = ConfigStore(platform, timers).read_revision()
    if newest.is_err():
        return newest
    members = _scan(platform, Table.MEMBERS)
    if members.is_err():
        return members
    leases = _scan(platform, Table.LEASES)
    if leases.is_err():
        return leases
    router_views = [_member_view(row, timers.wall()) for row in members.ok()]
    revision = newest.ok().revision if newest.ok() is not None else 0
    lease_views = [view for view in map(_lease_view, leases.ok()) if view is not None]
    return Ok(
        FleetStatus(revision, tuple(filter(None, router_views)), tuple(lease_views))
    )


def _scan(platform: Platform, table: Table) -> Result[list[Row], BoragedeckError]:
    rows: list[Row] = []
    while len(rows) < MAX_ROWS:
        after = rows[-1].key if rows else ""
        page = platform.scan(table, after=after, limit=PAGE_ROWS)
        if page.is_err():
            return page
        rows += page.ok()
        if len(page.ok()) < PAGE_ROWS:
            break
    return Ok(rows)


def _member_view(row: Row, now: float) -> RouterView | None:
    try:
        member = msgspec.json.decode(row.value, type=MemberRow)
    except DECODE_ERRORS:
        return None
    return RouterView(f"http://{member.callers}", None, row_age_s=now - member.time)


def _lease_view(row: Row) -> LeaseView | None:
    try:
        body = msgspec.json.decode(row.value, type=_LeaseBody)
    except DECODE_ERRORS:
        return None
    return LeaseView(row.key, body.holder, body.token)
