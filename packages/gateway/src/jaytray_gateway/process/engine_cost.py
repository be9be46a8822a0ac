"""How much of an engine's time a request takes.

The figures are the deployment sheets': an engine reads a prompt at one speed and
makes one token a step for each request in its batch.
"""

from jaytray_gateway.request.routed_request import RoutedRequest
from jaytray_gateway.version.route_table import Engine

# Prompt tokens that an engine reads in a millisecond.
PREFILL_TOKENS_PER_MS = 20.4
# Milliseconds of a step, in which each running request makes one token.
STEP_MS = 10.5
# Part of the declared output that a request makes in the middle case.
OUTPUT_PORTION = 0.6


def prefill_ms(prompt_tokens: int) -> float:
    """Return the milliseconds in which an engine reads so many prompt tokens."""
    return prompt_tokens / PREFILL_TOKENS_PER_MS


def engine_ms(request: RoutedRequest, engine: Engine) -> float:
    """Return the milliseconds of one engine that the request uses up."""
    steps = request.output_tokens * OUTPUT_PORTION
    return prefill_ms(request.prompt_tokens) + steps * STEP_MS / max(engine.slots, 1)
