"""HTTP handlers for operators' changes and for health checks."""

from dataclasses import dataclass

from cardamomdyke.daemon.callers import NodeHandler
from cardamomdyke.daemon.domains import DomainManager
from cardamomdyke.daemon.edits import Editor
from cardamomdyke.daemon.replies import write_reply
from cardamomdyke.model.outcomes import NotRun
from cardamomdyke.model.tables import Configuration, Tables


@dataclass(frozen=True, slots=True)
class TablesEdit:
    """Body of ``PUT /v1/tables``.

    Attributes
    ----------
    base_version : int
        Version that was edited; 0 for the first tables.
    tables : Tables
        All tables after the edit.
    """

    base_version: int
    tables: Tables


class TablesHandler(NodeHandler):
    """``GET`` and ``PUT /v1/tables``."""

    editor: Editor

    def get(self) -> None:
        """Show the configuration in force, or version 0 without tables."""
        if self.node.configuration is None:
            self.finish_json(Configuration(0, Tables()))
            return
        self.finish_json(self.node.configuration)

    async def put(self) -> None:
        """Replace all tables if ``base_version`` is still in force."""
        parsed = self.decode_body(TablesEdit)
        if parsed.is_error():
            write_reply(NotRun(parsed.error), self)
            return
        result = await self.editor.submit_edit(parsed.ok.tables, parsed.ok.base_version)
        if result.is_error():
            write_reply(NotRun(result.error), self)
            return
        self.finish_json({"version": result.ok})


class DomainHandler(NodeHandler):
    """``POST /v1/domains/{name}/out`` and ``/in``."""

    domains: DomainManager

    async def post(self, name: str, action: str) -> None:
        """Take a failure domain out of service or bring it back."""
        if action == "out":
            report = await self.domains.take_out(name)
            if report.is_ok():
                self.finish_json(report.ok)
                return
            write_reply(NotRun(report.error), self)
            return
        result = await self.domains.bring_in(name)
        if result.is_ok():
            self.finish_json({"version": result.ok})
            return
        write_reply(NotRun(result.error), self)


class HealthHandler(NodeHandler):
    """``GET /healthz``, for the platform's load balancer."""

    def get(self) -> None:
        """Reply 503 while draining or without a configuration, else 200."""
        if self.node.draining or self.node.configuration is None:
            self.set_status(503)
        self.finish(b"")
