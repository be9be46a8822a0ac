"""Estimates of the engine time that a request takes.

The figures are those of the deployment files: an engine reads prompts at a constant
speed and generates one token per step for each request in its batch.
"""

from jaytray_gateway.request.routed_request import RoutedRequest
from jaytray_gateway.version.route_table import Engine

# Prompt tokens that an engine reads per millisecond.
PREFILL_TOKENS_PER_MS = 20.4
# Milliseconds per step, which generates one token for each running request.
STEP_MS = 10.5
# Fraction of the declared output tokens that a median request generates.
OUTPUT_FRACTION = 0.6


def prefill_ms(prompt_tokens: int) -> float:
    """Return the milliseconds that an engine takes to read the prompt tokens."""
    return prompt_tokens / PREFILL_TOKENS_PER_MS


def engine_time_ms(request: RoutedRequest, engine: Engine) -> float:
    """Return the milliseconds of engine time that the request takes."""
    steps = request.output_tokens * OUTPUT_FRACTION
    return prefill_ms(request.prompt_tokens) + steps * STEP_MS / max(engine.slots, 1)
