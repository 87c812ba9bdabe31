"""The callers' application: paths and their handlers."""

from sanic import Request, Sanic, json

from marjoramstile.entry.calls import CallHandler
from marjoramstile.entry.completions import CompletionHandler
from marjoramstile.entry.status import AddressHandler, StatusHandler
from marjoramstile.entry.web import create_app
from marjoramstile.settings import LimitSettings

METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE")


async def _health(request: Request):
    return json({"status": "ok"})


def create_caller_app(
    limits: LimitSettings,
    completions: CompletionHandler,
    calls: CallHandler,
    addresses: AddressHandler,
    status: StatusHandler,
) -> Sanic:
    """Return the application that callers use."""
    app = create_app("callers", limits)
    app.add_route(completions.handle, "/v1/completions", ["POST"], name="completions")
    app.add_route(
        calls.handle, "/v1/services/<service:str>/<path:path>", METHODS, name="calls"
    )
    app.add_route(calls.handle, "/v1/services/<service:str>", METHODS, name="root")
    app.add_route(addresses.handle, "/v1/addresses", ["GET"], name="addresses")
    app.add_route(status.handle, "/v1/requests/<key:str>", ["GET"], name="status")
    app.add_route(_health, "/healthz", ["GET"], name="health")
    return app
