"""Errors of calls to a target, with `execution` derived from the exchange."""

from jaytray_core import message_registry as messages
from jaytray_core.errors import Execution, JaytrayError, Step
from jaytray_core.exchange_errors import ExchangeError, ExchangeProgress

_ERROR_DETAIL_CHARACTERS = 200
# Statuses by which an engine reports that the request itself is invalid.
_INVALID_STATUSES = (400, 413, 422)


class TargetErrorFactory:
    """Creates the errors of calls to the target `name`."""

    def __init__(self, *, name: str) -> None:
        self._name = name

    def for_status(self, status: int, is_not_run: bool, body: bytes) -> JaytrayError:
        """Return the error for a response with an error status."""
        text = body.decode(errors="replace")[:_ERROR_DETAIL_CHARACTERS]
        detail = f"status {status} {text}".strip()
        if not is_not_run:
            return self.make_error(
                messages.TARGET_FAILED, Execution.MAY_HAVE_RUN, detail=detail
            )
        if status in _INVALID_STATUSES:
            return self.make_error(
                messages.INVALID_REQUEST, Execution.NOT_RUN, detail=detail
            )
        return self.make_error(
            messages.TARGET_REFUSED, Execution.NOT_RUN, detail=detail
        )

    def for_exchange_error(self, err: ExchangeError, timeout_s: float) -> JaytrayError:
        """Return the error for an exchange without a complete response."""
        if err.progress == ExchangeProgress.TIMED_OUT:
            return self.for_timeout(timeout_s)
        is_sent = err.progress != ExchangeProgress.NOT_SENT
        execution = Execution.MAY_HAVE_RUN if is_sent else Execution.NOT_RUN
        return self.make_error(
            messages.TARGET_UNREACHABLE, execution, detail=err.detail
        )

    def for_timeout(self, timeout_s: float) -> JaytrayError:
        """Return the error for a target that sent nothing for `timeout_s` seconds."""
        return self.make_error(
            messages.TARGET_TIMEOUT, Execution.MAY_HAVE_RUN, timeout_s=timeout_s
        )

    def for_invalid_request(self, detail: str) -> JaytrayError:
        """Return the error for a request that cannot be sent."""
        return self.make_error(
            messages.INVALID_REQUEST, Execution.NOT_RUN, detail=detail
        )

    def for_response_mismatch(self) -> JaytrayError:
        """Return the error for a response to another request."""
        return self.make_error(messages.ANSWER_MISMATCH, Execution.MAY_HAVE_RUN)

    def for_incomplete_response(self, detail: str) -> JaytrayError:
        """Return the error for an incomplete or malformed response."""
        return self.make_error(
            messages.ANSWER_INCOMPLETE,
            Execution.MAY_HAVE_RUN,
            step=Step.STREAM,
            detail=detail,
        )

    def make_error(
        self,
        template: messages.MessageTemplate,
        execution: Execution,
        *,
        step: Step = Step.TARGET,
        detail: str = "",
        timeout_s: float = 0.0,
    ) -> JaytrayError:
        """Return an error with this target as its peer."""
        return JaytrayError(
            template,
            step=step,
            peer=self._name,
            execution=execution,
            detail=detail,
            timeout_s=timeout_s,
        )
