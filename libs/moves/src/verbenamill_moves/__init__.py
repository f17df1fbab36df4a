"""Evidence, stages and verdicts of moves between upstream versions."""
