"""Endpoint of chat and text completions, whole and streamed."""

import asyncio

from jaytray_core import message_registry as messages
from jaytray_core.document.model import ClientAccount
from jaytray_core.errors import JaytrayError, Step
from jaytray_server.request.dispatch import Work, dispatch_whole, make_work
from jaytray_server.request.endpoint import Exchange, authenticate
from jaytray_server.request.parsing import parse_completion
from jaytray_server.request.responses import (
    CallerLeft,
    send_stream,
    send_whole,
    until_caller_leaves,
)
from jaytray_server.request.services import Caller, RequestServices
from jaytray_server.request.stream import dispatch_stream


async def answer_completion(services: RequestServices, exchange: Exchange) -> None:
    """Answer one completion."""
    caller = authenticate(services, exchange)
    account = required_account(caller)
    call = parse_completion(exchange.path, exchange.body, services.current_document())
    work = make_work(
        services, request_id=exchange.request_id, call=call, account=account
    )
    if call.is_stream:
        await _answer_stream(services, exchange, work, caller)
    else:
        await _answer_whole(services, exchange, work)


def required_account(caller: Caller) -> ClientAccount:
    """Return the caller's account; raises `key_missing` when there is none."""
    if caller.account is None:
        raise JaytrayError(messages.KEY_MISSING, step=Step.AUTHENTICATE)
    return caller.account


async def _answer_whole(
    services: RequestServices, exchange: Exchange, work: Work
) -> None:
    answer = await until_caller_leaves(
        exchange.receive, dispatch_whole(services, work, exchange.tracker)
    )
    await send_whole(
        exchange.send,
        request_id=exchange.request_id,
        status=answer.status,
        headers=answer.headers,
        body=answer.body,
    )


async def _answer_stream(
    services: RequestServices, exchange: Exchange, work: Work, caller: Caller
) -> None:
    stream = asyncio.ensure_future(
        until_caller_leaves(
            exchange.receive,
            send_stream(
                exchange.send,
                request_id=exchange.request_id,
                pieces=dispatch_stream(services, work, exchange.tracker),
                buffer_bytes=services.sizes.stream_buffer_bytes,
                slow_caller_s=services.timeouts.slow_caller_s,
            ),
        )
    )
    withdrawn = asyncio.Event()

    def end_stream() -> None:
        withdrawn.set()
        stream.cancel()

    forget = services.register_stream(caller.key_digest, end_stream)
    try:
        await stream
    except asyncio.CancelledError:
        if not withdrawn.is_set():
            stream.cancel()
            await asyncio.gather(stream, return_exceptions=True)
            raise
        raise CallerLeft from None
    finally:
        forget()
