"""The HTTP application for callers: paths and their handlers."""

from sanic import Request, Sanic, json

from marjoramstile.entry.calls import CallHandler
from marjoramstile.entry.completions import CompletionHandler
from marjoramstile.entry.status import AddressHandler, StatusHandler
from marjoramstile.entry.web import create_app, with_body
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
    """Return the HTTP application for callers."""
    app = create_app("callers", limits)
    app.add_route(
        with_body(completions.handle, limits),
        "/v1/completions",
        ["POST"],
        name="completions",
        stream=True,
    )
    for path, name in (("", "root"), ("/<path:path>", "calls")):
        app.add_route(
            with_body(calls.handle, limits),
            f"/v1/services/<service:str>{path}",
            METHODS,
            name=name,
            stream=True,
        )
    app.add_route(addresses.handle, "/v1/addresses", ["GET"], name="addresses")
    app.add_route(status.handle, "/v1/requests/<key:str>", ["GET"], name="status")
    app.add_route(_health, "/healthz", ["GET"], name="health")
    return app
