"""How old the tables are by which this router decides."""

import math
from collections.abc import Mapping

from boragedeck.connection.store import Table
from boragedeck.process.relaying.relay_metrics import RelayMetrics
from boragedeck.process.relaying.tables.mirror_follower import MirrorFollower

__all__ = ["TableAges"]


class TableAges:
    """The ages of the operators' table and of the list of replicas.

    Parameters
    ----------
    followers : mapping of Table to MirrorFollower
        They keep the mirrors of the tables up to date.
    metrics : RelayMetrics
        Shows the ages.
    """

    def __init__(
        self, followers: Mapping[Table, MirrorFollower], metrics: RelayMetrics
    ):
        self._followers = followers
        for table, follower in followers.items():
            gauge = metrics.table_age.labels(table.value)
            gauge.set_function(lambda follower=follower: _seconds(follower.age_s()))

    def log_fields(self) -> dict[str, float | None]:
        """Return the ages in seconds, as fields of a log line about a decision."""
        return {
            "table_age_s": _rounded(self._followers[Table.ROUTING].age_s()),
            "list_age_s": _rounded(self._followers[Table.REPLICAS].age_s()),
        }


def _seconds(age_s: float | None) -> float:
    return math.inf if age_s is None else age_s


def _rounded(age_s: float | None) -> float | None:
    return None if age_s is None else round(age_s, 3)
