"""How fast a service's engines read prompts and generate, learned from own streams.

Answers a load whose engines are faster or slower than the starting figures say: demand
that is overestimated takes places from rarely requested models, demand that is
underestimated leaves a busy model with too few replicas.
"""

from typing import NamedTuple

from jaytray_gateway.request.routed_request import RoutedRequest
from jaytray_gateway.version.route_table import Engine

# Weight of a new observation in the moving averages.
GENERATION_WEIGHT = 0.03
# A prompt is read no slower than observed, but parts of it may have been cached or the
# engine may have been busy: the estimate moves towards a low quantile.
FASTER_WEIGHT = 0.05
SLOWER_WEIGHT = 0.02
# Prompts below this length are read in less time than a response takes to arrive.
MIN_PROMPT_TOKENS = 200
# Estimates stay within this factor of the starting figures.
MAX_FACTOR = 8.0


class EngineSpeed(NamedTuple):
    """Milliseconds per prompt token, and per declared output token of one stream.

    `stream_ms` is the mean time from the first event of a stream to its end, 0 until
    one is known.
    """

    prompt_token_ms: float
    output_token_ms: float
    stream_ms: float = 0.0

    def prefill_ms(self, prompt_tokens: int) -> float:
        """Return the milliseconds that an engine takes to read the prompt tokens."""
        return prompt_tokens * self.prompt_token_ms

    def slot_wait_ms(self, slots: int) -> float:
        """Return the mean time until one of the engine's occupied slots is free."""
        return self.stream_ms / max(slots, 1)

    def engine_time_ms(self, request: RoutedRequest, engine: Engine) -> float:
        """Return the milliseconds of engine time that the request takes.

        A stream that is being generated takes one of the engine's slots.
        """
        generation_ms = request.output_tokens * self.output_token_ms
        return self.prefill_ms(request.prompt_tokens) + generation_ms / max(
            engine.slots, 1
        )


# Engines of the first deployments: 20.4 prompt tokens and, for each stream, one token
# in 10.5 ms; streams end after 0.6 of the declared tokens.
INITIAL_SPEED = EngineSpeed(prompt_token_ms=0.049, output_token_ms=6.3)


class EngineSpeeds:
    """Learned speeds by service."""

    def __init__(self) -> None:
        self._speed_by_service: dict[str, EngineSpeed] = {}

    def of(self, service: str) -> EngineSpeed:
        """Return the speed of a service's engines."""
        return self._speed_by_service.get(service, INITIAL_SPEED)

    def record_prefill(
        self, service: str, *, prompt_tokens: int, first_piece_s: float
    ) -> None:
        """Record the time to the first piece of a stream that did not queue."""
        if prompt_tokens < MIN_PROMPT_TOKENS:
            return
        speed = self.of(service)
        seen_ms = _bounded(
            first_piece_s * 1000 / prompt_tokens, INITIAL_SPEED.prompt_token_ms
        )
        is_faster = seen_ms < speed.prompt_token_ms
        weight = FASTER_WEIGHT if is_faster else SLOWER_WEIGHT
        moved_ms = speed.prompt_token_ms + weight * (seen_ms - speed.prompt_token_ms)
        self._speed_by_service[service] = speed._replace(prompt_token_ms=moved_ms)

    def record_generation(
        self, service: str, *, output_tokens: int, generation_s: float
    ) -> None:
        """Record the time from the first piece of a complete stream to its end."""
        if not output_tokens:
            return
        speed = self.of(service)
        seen_ms = _bounded(
            generation_s * 1000 / output_tokens, INITIAL_SPEED.output_token_ms
        )
        moved_ms = speed.output_token_ms + GENERATION_WEIGHT * (
            seen_ms - speed.output_token_ms
        )
        stream_ms = speed.stream_ms or generation_s * 1000
        stream_ms += GENERATION_WEIGHT * (generation_s * 1000 - stream_ms)
        self._speed_by_service[service] = speed._replace(
            output_token_ms=moved_ms, stream_ms=stream_ms
        )


def _bounded(value: float, initial: float) -> float:
    return min(max(value, initial / MAX_FACTOR), initial * MAX_FACTOR)
