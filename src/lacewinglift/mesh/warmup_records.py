"""What one instance knows of the warm-up of one target."""

from attrs import define


@define
class WarmupRecord:
    """Latest warm-up of one incarnation of a target."""

    began_at_s: float = 0.0
    """Time at which this instance learned of it."""
    number: int = 0
    """Number of the report with which it began; 0 for the one after the start."""
    assumed: bool = False
    """Whether the target has not said for how long it is cold."""
