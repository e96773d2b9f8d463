"""
One attempt of a request at one back end: sent, and its answer passed on.

"""

from typing import Final

import curio

from millfork_adapter.adapter import Adapter
from millfork_adapter.exchange import PathPart, SendOrders
from millfork_core.environment import Environment
from millfork_core.verdicts import Reason, Verdict
from millfork_routing.budget import SharedBudget
from millfork_routing.documents import EngineFigures, RouteKind
from millfork_scheduling.book import ServerBook
from millfork_scheduling.placement import Choice
from millforkd.proxy.admission import Admission
from millforkd.proxy.backpressure import BackpressureIntake
from millforkd.proxy.connections import Pools, SendFailed, ServerConnection
from millforkd.proxy.job import Attempt, Failed, Job
from millforkd.proxy.relaying import Relaying
from millforkd.proxy.waiting import Waiting
from millforkd.quarantine import Quarantine

# Of the deadline, so that the last word reaches the caller before it leaves.
LAST_WORD_S: Final = 0.03
# A version that a server refused is not asked of it again this long; its
# next report says more.
REFUSED_VERSION_S: Final = 0.5
BROKEN: Final = frozenset({Reason.UNREACHABLE, Reason.CONNECTION_LOST, Reason.TRUNCATED})


class NotSent(SendFailed):
    """
    What a back end was chosen for has changed while a connection to it came up, so
    nothing was sent.

    """

    def __init__(self, reason: Reason, detail: str) -> None:
        super().__init__(reason, Verdict.NOT_RUN, detail)


class Sending:
    """
    Sends requests to back ends.

    """

    def __init__(
        self,
        env: Environment,
        adapter: Adapter,
        admission: Admission,
        book: ServerBook,
        pools: Pools,
        budget: SharedBudget,
        quarantine: Quarantine[Job],
        relaying: Relaying,
        backpressure: BackpressureIntake,
    ) -> None:
        self.env = env
        self.adapter = adapter
        self.admission = admission
        self.book = book
        self.pools = pools
        self.budget = budget
        self.quarantine = quarantine
        self.relaying = relaying
        self.backpressure = backpressure
        self.waiting = Waiting(env, admission)

    async def send(self, job: Job, choice: Choice) -> Failed | None:
        """
        One attempt; None if the caller has its answer.

        """
        server = choice.server
        pool = self.pools.of(server)
        attempt = Attempt(choice, self.env.monotonic())
        attempt.begin()
        connection = None
        keep_s = None
        try:
            async with curio.timeout_after(job.left_s(self.env.monotonic()) - LAST_WORD_S):
                connection = await pool.take(fresh=not job.route.repeatable)
                keep_s = await self._exchange(job, attempt, connection)
            job.unanswered = ()
            server.note_service_time(self.env.monotonic() - attempt.began)
            if connection.reusable:
                await self.quarantine.clear_suspicion(job)
            return None
        except NotSent as error:
            return Failed(error.reason, error.verdict, error.detail, sent=False)
        except SendFailed as error:
            return self._failed(job, choice, error.reason, error.verdict, error.detail)
        except curio.TaskTimeout:
            verdict = Verdict.NOT_RUN if connection is None else Verdict.MAY_HAVE_RUN
            return self._failed(job, choice, Reason.TIMED_OUT, verdict, 'the time is up')
        finally:
            attempt.end()
            if connection is not None:
                await pool.give_back(connection, keep_s)

    def _failed(
        self, job: Job, choice: Choice, reason: Reason, verdict: Verdict, detail: str
    ) -> Failed:
        now = self.env.monotonic()
        for server in choice.servers:
            if server.instance not in job.tried:
                job.tried.append(server.instance)
            silent = reason is Reason.TIMED_OUT and server.heard_at < job.began
            # One that changes was told to break off what runs.
            if (silent or reason in BROKEN) and not server.changing:
                server.note_failure(now)
        return Failed(reason, verdict, detail)

    def _note_version(self, job: Job, version: int | None) -> None:
        engine = job.wanted.engine
        if engine is None or version is None:
            return
        ends = self.admission.versions.ends_at(engine.model, version)
        job.sent_version = version
        job.sent_before_end_ms = float('inf')
        if ends is not None:
            job.sent_before_end_ms = (ends - self.env.monotonic()) * 1000

    def _check_version(self, engine: EngineFigures, version: int | None) -> None:
        """
        A connection may take 0.4 s to come up, and nothing calls back from a slow link
        what is sent too late.

        :raises NotSent: if a request may not be sent to a version (None: the engine has
            none whole by now) any more.

        """
        least = self.admission.versions.least(engine.model)
        if version is None or version < least:
            detail = f'the engine has version {version}, the oldest to be sent to is {least}'
            raise NotSent(Reason.VERSION_MISMATCH, detail)

    def _check_open(self, choice: Choice) -> None:
        """
        A back end may have said something of itself while a connection came up.

        :raises NotSent: if a request may not be sent to it by its own word.

        """
        for server in choice.servers:
            closure = self.book.closure(server)
            if closure is not None:
                detail = f'{server.instance} takes no more for {closure.opens_in_s:.1f} s'
                raise NotSent(Reason(closure.closed_for.value), detail)

    async def _exchange(
        self, job: Job, attempt: Attempt, connection: ServerConnection
    ) -> float | None:
        """
        Send, read, pass on. Returns how long the connection may be kept.

        :raises SendFailed: if the caller has no whole answer.

        """
        server = attempt.server
        request = job.exchange.request
        version = None
        if job.wanted.engine is not None:
            version = attempt.choice.version(job.wanted.engine.layers)
            self._check_version(job.wanted.engine, version)
        self._check_open(attempt.choice)
        now = self.env.monotonic()
        orders = SendOrders(
            str(server.instance),
            max(int(job.left_s(now) * 1000), 1),
            job.organisation.name if job.organisation is not None else '',
            self.admission.table is not None and self.admission.table.needs_keys,
            version,
            job.urgency,
            job.resume_after if job.last_event is not None else None,
            _parts_of(attempt.choice, job.wanted.engine),
        )
        if not job.tried:
            self.budget.note_request(job.wanted.service)
        job.tried += [part.instance for part in attempt.choice.servers]
        self.book.note_sent(attempt.choice.servers)
        headers = self.adapter.forward(request, orders)
        self._note_version(job, version)
        job.unanswered = tuple(attempt.choice.servers)
        await connection.send(request.method, request.path, headers, request.body)
        await self.waiting.read_head(job, attempt, connection, version)
        server.heard_at = self.env.monotonic()
        server.note_answered(job.urgency, attempt.began)
        head = self.adapter.read_answer(connection.status, connection.headers)
        if head.request_id and head.request_id != job.caller.request_id:
            raise SendFailed(
                Reason.TRUNCATED, Verdict.MAY_HAVE_RUN, 'the answer belongs to another request'
            )
        self.backpressure.take_answer(job, server, head, now)
        if head.not_run:
            await connection.drop_body()
            through_path = attempt.choice.path is not None
            if version is not None and (head.elsewhere or through_path):
                server.refused[version] = self.env.monotonic() + REFUSED_VERSION_S
            raise SendFailed(Reason.BUSY, Verdict.NOT_RUN, f'the server answered {head.status}')
        if head.status >= 500 and job.route.repeatable and not job.started:
            job.held = await self.relaying.hold(connection)
            server.note_outcome(failed=True)
            raise SendFailed(
                Reason.BACKEND_FAILED, Verdict.RAN, f'the server answered {head.status}'
            )
        job.status = head.status
        if job.route.kind is RouteKind.STREAMING and head.status < 300:
            await self.relaying.stream(job, attempt, connection)
        else:
            await self.relaying.whole(job, connection)
        server.note_outcome(failed=head.status >= 500)
        return 0.0 if head.closing else head.keep_s


def _parts_of(choice: Choice, engine: EngineFigures | None) -> tuple[PathPart, ...]:
    """
    The path of a choice, as the back end is told it.

    """
    path = choice.path
    if path is None or engine is None:
        return ()
    return (
        PathPart(path.first.host, path.first.port, 0, path.split),
        PathPart(path.second.host, path.second.port, path.split, engine.layers),
    )
