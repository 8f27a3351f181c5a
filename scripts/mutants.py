"""Shows which check catches each seeded defect."""

import sys

from boragedeck.patching import patch_all

patch_all()

from tests.support.answer_defects import DEFECTS, find_defect
from tests.support.dropped_connect_defects import DROPPED_CONNECT_DEFECTS
from tests.support.early_answer_defects import EARLY_ANSWER_DEFECTS
from tests.support.full_replica_defects import FULL_REPLICA_DEFECTS
from tests.support.lasting_work_defects import LASTING_WORK_DEFECTS
from tests.support.late_answer_defects import LATE_ANSWER_DEFECTS
from tests.support.late_timer_defects import LATE_TIMER_DEFECTS
from tests.support.limit_defects import LIMIT_DEFECTS
from tests.support.lost_answer_defects import LOST_ANSWER_DEFECTS
from tests.support.method_defects import fails
from tests.support.notice_defects import NOTICE_DEFECTS
from tests.support.order_defects import ORDER_DEFECTS
from tests.support.reload_defects import RELOAD_DEFECTS
from tests.support.silence_defects import SILENCE_DEFECTS
from tests.support.unread_caller_defects import UNREAD_CALLER_DEFECTS
from tests.support.upgrade_defects import UPGRADE_DEFECTS

__all__ = ["main"]

EXAMPLES = 500
EXIT_ESCAPED = 1


def main() -> None:
    """Test each defect and print the table; exit with 1 if one escapes."""
    escaped = 0
    for defect in DEFECTS:
        caught = find_defect(defect, examples=EXAMPLES)
        if caught is None or caught.check != defect.check:
            escaped += 1
            print(f"ESCAPED  {defect.name}: {caught}", flush=True)
            continue
        reproduction = f"seed {caught.seed}, {caught.steps} steps"
        print(f"caught   {defect.name:48} {caught.check:28} {reproduction}", flush=True)
    for defect in (
        *NOTICE_DEFECTS,
        *LIMIT_DEFECTS,
        *LATE_ANSWER_DEFECTS,
        *EARLY_ANSWER_DEFECTS,
        *FULL_REPLICA_DEFECTS,
        *LASTING_WORK_DEFECTS,
        *LATE_TIMER_DEFECTS,
        *LOST_ANSWER_DEFECTS,
        *DROPPED_CONNECT_DEFECTS,
        *ORDER_DEFECTS,
        *RELOAD_DEFECTS,
        *SILENCE_DEFECTS,
        *UNREAD_CALLER_DEFECTS,
        *UPGRADE_DEFECTS,
    ):
        is_caught = fails(defect)
        escaped += not is_caught
        verdict = "caught  " if is_caught else "ESCAPED "
        print(f"{verdict} {defect.name:48} {defect.test}", flush=True)
    sys.exit(EXIT_ESCAPED if escaped else 0)


if __name__ == "__main__":
    main()
