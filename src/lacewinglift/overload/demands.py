"""What the overload control knows of a request."""

from attrs import frozen


@frozen
class Demand:
    """A request of a service that is under overload control."""

    service: str
    route: str
    """Host and prefix of the route, which name the kind of request."""
    priority: int
    """Effective priority; 0 is the most urgent."""
    arrived_s: float
    deadline_s: float
    objective_s: float | None = None
    """Time after its arrival until which the response is worth most to the caller."""
    workspace: str | None = None
    request_id: str | None = None
    """ID that the caller keeps when it sends the request again."""
    logged_id: str = "-"

    def due_s(self) -> float:
        """Return the time at which the response should have begun."""
        if self.objective_s is None:
            return self.deadline_s
        return min(self.arrived_s + self.objective_s, self.deadline_s)

    def kind(self) -> tuple[str, int]:
        """Return the kind of request, which must not starve."""
        return self.route, self.priority
