"""Phases of the process, as requests and the balancer's probe see them."""


class Lifecycle:
    """Whether the process takes requests; `is_stopping` never goes back.

    `is_refusing` also ends the wait of requests that have not been sent.
    """

    def __init__(self) -> None:
        self.is_stopping = False
        self.is_refusing = False
        self.running_requests = 0
