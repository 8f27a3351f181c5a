"""An independent review: cases that show faults, each with a script or a day."""
