import unittest

from scripts.fault_matrix import Fault, FaultMatrix, Outcome, Step

CELLS = (
    (Fault.NONE, Step.MIDDLE),
    (Fault.ENGINE_KILLED, Step.MIDDLE),
    (Fault.ENGINE_CONNECTION_SILENT, Step.MIDDLE),
    (Fault.OWNER_KILLED, Step.MIDDLE),
    (Fault.HOLDER_KILLED, Step.FIRST_TOKEN),
    (Fault.CALLER_CUT, Step.MIDDLE),
)


class FaultMatrixTest(unittest.TestCase):
    """Runs some cells of the matrix with real processes; `make matrix` runs all."""

    def test_answers_survive_single_faults(self):
        matrix = FaultMatrix()
        self.addCleanup(matrix.stop)
        matrix.start()
        for fault, step in CELLS:
            with self.subTest(fault=fault, step=step):
                cell = matrix.run(fault, step)
                self.assertEqual((cell.outcome, cell.detail), (Outcome.HELD, ""))
