"""Refusals of jobs for which the daemons have no memory."""

import asyncio
from dataclasses import replace
from typing import Any, cast

import pytest

from cardamomdyke.control.context import Context
from cardamomdyke.control.processor import RequestProcessor
from cardamomdyke.jobs.budget import JobBudget
from tests.control.fakes import make_context, make_request

FIRST = "00000000000000a1"
SECOND = "00000000000000b2"
BODY = b'{"specification":"x","steps":[{"count":1,"cpu_millicores":100}]}'


def make_full_context() -> Context:
    context = make_context()
    context.job_budget = JobBudget(most_bytes=1, account_share=0.5)
    return context


def submit(context: Context, job_id: str, *, relayed: bool = False) -> tuple[int, int]:
    """Submit a job; return the status and Retry-After."""
    request = replace(make_request("POST", job_id, BODY), relayed=relayed)
    answer = asyncio.run(RequestProcessor(context).serve(request))
    return answer.code, answer.retry_after_seconds


def test_job_without_room_is_refused_before_it_is_stored() -> None:
    """Guards against jobs without bound, and a refused job that runs."""
    context = make_full_context()
    assert submit(context, FIRST) == (429, 2)
    assert cast(Any, context.store).records == []
    assert not context.job_budget.reservations
    assert context.journal.counts["jobs.no_room"] == 1
    assert submit(context, SECOND) == (429, 2)
    assert context.journal.counts["jobs.no_room"] == 1


@pytest.mark.parametrize("is_relayed", [True, False])
def test_job_that_may_be_stored_is_not_refused(is_relayed: bool) -> None:
    """Guards against "has not run" for a job that an earlier append may store."""
    context = make_full_context()
    if not is_relayed:
        context.admission.uncertain.add(FIRST, 0.0)
    assert submit(context, FIRST, relayed=is_relayed) == (504, 1)


def test_room_returns_once_jobs_are_gone() -> None:
    """Guards against an account that stays refused."""
    context = make_full_context()
    assert submit(context, FIRST)[0] == 429
    context.job_budget.most_bytes = 1_000_000
    assert submit(context, FIRST)[0] == 200
    assert context.journal.counts["jobs.room_returned"] == 1


def test_repeated_job_needs_no_room() -> None:
    """Guards against a caller that learns nothing of its accepted job."""
    context = make_context()
    assert submit(context, FIRST)[0] == 200
    context.job_budget = JobBudget(most_bytes=1, account_share=0.5)
    assert submit(context, FIRST)[0] == 200
