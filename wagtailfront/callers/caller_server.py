"""HTTP interface for callers."""

import time

import msgspec
from circuits import BaseComponent, handler

from wagtailfront.callers import error_body
from wagtailfront.callers.completion_request import InvalidRequest, parse_completion
from wagtailfront.callers.reply import Reply
from wagtailfront.callers.service_call import PREFIX, parse_service_call
from wagtailfront.callers.workspace_access import find_workspace
from wagtailfront.serving.http_server import HttpServer

__all__ = ["CallerServer"]


class CallerServer(BaseComponent):
    """Serves the OpenAI-style interface and the plain services.

    Parameters
    ----------
    bind : (str, int)
    dispatcher : Dispatcher
    context : ssl.SSLContext, optional
    limits : ServerLimits, optional
    pages : mapping of str to callable, optional
        Maps paths to callables that return status, content type and body.
        Only the health checks under /health/ are served; other pages are
        for operators.
    memory : IntakeMemory, optional
    metrics : Metrics, optional
        As of an HttpServer.
    """

    channel = "callers"

    def __init__(
        self,
        *,
        bind,
        dispatcher,
        context=None,
        limits=None,
        pages=None,
        memory=None,
        metrics=None,
    ):
        super().__init__()
        self.pages = {
            path: page
            for path, page in (pages or {}).items()
            if path.startswith("/health/")
        }
        self.dispatcher = dispatcher
        self.server = HttpServer(
            bind=bind,
            channel=self.channel,
            context=context,
            limits=limits,
            memory=memory,
            metrics=metrics,
        ).register(self)
        self.started = int(time.time())

    @handler("request")
    def _on_request(self, req, res):
        path = "/" + req.path.strip("/")
        try:
            return self._route(req, res, path)
        except InvalidRequest as error:
            failure = error_body.from_invalid(error)
            res.status = failure.status
            res.headers["Content-Type"] = "application/json"
            for name, value in failure.headers:
                res.headers[name] = value
            res.body = failure.body
            return res

    def _route(self, req, res, path):
        if path in self.pages:
            res.status, res.headers["Content-Type"], res.body = self.pages[path]()
            return res
        if path == "/v1/models":
            return self._list_models(req, res)
        if path in ("/v1/completions", "/v1/chat/completions"):
            return self._complete(req, res, chat=path.endswith("chat/completions"))
        if path.startswith(PREFIX):
            return self._call_service(req, res, path)
        raise InvalidRequest("no such path", status=404, code="not_found")

    def _reply(self, req, res):
        return Reply(component=self, channel=self.channel, req=req, res=res)

    def _complete(self, req, res, *, chat):
        if req.method != "POST":
            raise InvalidRequest("use POST", status=405, code="method_not_allowed")
        request = parse_completion(req.body.read(), req.headers, chat=chat)
        request = request._replace(workspace=self._workspace(req))
        self.dispatcher.submit_completion(request=request, reply=self._reply(req, res))
        return True

    def _call_service(self, req, res, path):
        call = parse_service_call(
            req.method, path, req.qs, req.headers, req.body.read()
        )._replace(workspace=self._workspace(req))
        self.dispatcher.submit_service(call=call, reply=self._reply(req, res))
        return True

    def _workspace(self, req):
        workspaces = self.dispatcher.scheduler.config.workspaces
        return find_workspace(req.headers, workspaces)

    def _list_models(self, req, res):
        models = self.dispatcher.scheduler.models()
        res.headers["Content-Type"] = "application/json"
        res.body = msgspec.json.encode(
            {
                "object": "list",
                "data": [
                    {
                        "id": name,
                        "object": "model",
                        "created": self.started,
                        "owned_by": "wagtailfront",
                    }
                    for name in models
                ],
            }
        )
        return res

    @handler("disconnect")
    def _on_disconnect(self, sock):
        self.dispatcher.cancel_for(sock)
