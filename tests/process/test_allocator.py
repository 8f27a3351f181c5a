import subprocess
import sys
import unittest

TIMEOUT_S = 60.0
MB = 1024 * 1024
LARGEST_BYTES = 4 * MB
"""More than all that is still held; less than the 60 MiB that were freed."""
FREE_BUFFERS = """
from pathlib import Path
from boragedeck.process.allocator import return_large_buffers

def resident_kb():
    status = Path("/proc/self/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0])

assert return_large_buffers()
bytearray(4_194_304)
before = resident_kb()
small, large = [], []
for _ in range(60):
    large.append(bytearray(b"x" * 1_048_576))
    small.append(bytearray(b"x" * 10_000))
large.clear()
print(resident_kb() - before)
"""


class AllocatorTest(unittest.TestCase):
    def test_large_buffers_between_small_ones_are_returned(self):
        printed = subprocess.run(
            [sys.executable, "-c", FREE_BUFFERS],
            check=True,
            capture_output=True,
            timeout=TIMEOUT_S,
        ).stdout
        self.assertLess(int(printed) * 1024, LARGEST_BYTES)
