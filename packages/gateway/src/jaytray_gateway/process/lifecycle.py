"""Lifecycle state of the process, read by requests and the load balancer's probe."""


class Lifecycle:
    """State of a planned stop; `is_stopping` is never reset.

    `is_refusing` also refuses waiting requests that have not been sent to a target.
    """

    def __init__(self) -> None:
        self.is_stopping = False
        self.is_refusing = False
        self.running_requests = 0
