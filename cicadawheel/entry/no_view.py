"""Refuses requests at a node that has no configuration yet."""

import logging
from random import Random

from cicadawheel.entry.answer import answer_refusal
from cicadawheel.entry.retry_after import retry_after_ms
from cicadawheel.http.caller import CallerConnection
from cicadawheel.http.dialect import Dialect
from cicadawheel.ids import NodeId
from cicadawheel.logs import log_event
from cicadawheel.messages import RefusalReason

log = logging.getLogger(__name__)


def refuse_without_view(
    connection: CallerConnection,
    request_id: str,
    node: NodeId,
    dialect: Dialect,
    random: Random,
) -> None:
    """Refuse a request: it is unknown yet which routes must not be repeated."""
    reason = RefusalReason.NO_VIEW
    delay_ms = retry_after_ms(reason, 0.0, random) if dialect.seal else 0.0
    answer = answer_refusal(reason, True, request_id, dialect, delay_ms)
    log_event(
        log,
        "call_refused",
        request=request_id,
        service="",
        node=node,
        reason=reason.value,
        not_run=True,
        attempts=0,
    )
    connection.respond(answer.status, answer.headers, answer.body)
