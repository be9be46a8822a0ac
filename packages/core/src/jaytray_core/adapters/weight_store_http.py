"""Client of the weight store over HTTP: GET `/status`."""

from jaytray_core import message_registry as messages
from jaytray_core.adapters.http_pool import HttpPool
from jaytray_core.adapters.remote_call import remote_read
from jaytray_core.adapters.service_connection import ServiceConnection
from jaytray_core.codec import decode_json
from jaytray_core.errors import JaytrayError, Step
from jaytray_core.exchange_errors import ExchangeError
from jaytray_core.weight_store import WeightStore, WeightStoreStatus

_PEER = "weight_store"


def open_weight_store(
    *, address: str, timeout_s: float
) -> ServiceConnection[WeightStore]:
    """Return a connection whose calls time out after `timeout_s` seconds."""
    pool = HttpPool(address=address, connect_timeout_s=timeout_s)

    async def status() -> WeightStoreStatus:
        try:
            response = await remote_read(pool, "/status", timeout_s=timeout_s)
        except ExchangeError as err:
            raise JaytrayError(
                messages.WEIGHT_STORE_UNAVAILABLE,
                step=Step.WEIGHT_STORE,
                peer=_PEER,
                detail=err.detail,
            ) from err
        return decode_json(response.body, WeightStoreStatus, peer=_PEER)

    return ServiceConnection(WeightStore(status=status), pool.close)


def connect_weight_store(*, address: str, timeout_s: float) -> WeightStore:
    """Return only the store, for a process that never closes the connection."""
    return open_weight_store(address=address, timeout_s=timeout_s).service
