"""Endpoint of chat and text completions, whole and streamed."""

from jaytray_server.request.caller_presence import cancel_on_disconnect
from jaytray_server.request.dispatch import dispatch_whole
from jaytray_server.request.endpoint import Exchange, require_caller
from jaytray_server.request.parsing import parse_completion
from jaytray_server.request.responses import (
    StreamHandle,
    send_response,
    send_stream,
)
from jaytray_server.request.services import RequestServices
from jaytray_server.request.stream import dispatch_stream
from jaytray_server.request.work import CompletionWork, make_work
from jaytray_server.version.authentication import Caller


async def respond_to_completion(services: RequestServices, exchange: Exchange) -> None:
    """Respond to a chat or text completion, streamed if the caller requests it."""
    caller = require_caller(services, exchange)
    call = parse_completion(exchange.path, exchange.body, services.current_document())
    work = make_work(
        services, request_id=exchange.request_id, call=call, account=caller.account
    )
    if call.is_stream:
        await _respond_streamed(services, exchange, work, caller)
    else:
        await _respond_whole(services, exchange, work)


async def _respond_whole(
    services: RequestServices, exchange: Exchange, work: CompletionWork
) -> None:
    response = await cancel_on_disconnect(
        exchange.receive, dispatch_whole(services, work, exchange.tracker)
    )
    await send_response(
        exchange.send, request_id=exchange.request_id, response=response
    )


async def _respond_streamed(
    services: RequestServices, exchange: Exchange, work: CompletionWork, caller: Caller
) -> None:
    handle = StreamHandle()
    sending = send_stream(
        exchange.send,
        request_id=exchange.request_id,
        pieces=dispatch_stream(services, work, exchange.tracker),
        buffer_bytes=services.sizes.stream_buffer_bytes,
        slow_caller_s=services.timeouts.slow_caller_s,
        handle=handle,
    )
    with services.register_stream(caller.key_digest, handle.end):
        await cancel_on_disconnect(exchange.receive, sending)
