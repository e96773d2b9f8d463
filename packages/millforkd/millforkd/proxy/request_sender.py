"""
Sends a request to one back end and passes the answer on to the caller.

"""

from typing import Final

import curio

from millfork_adapter.adapter import Adapter
from millfork_adapter.exchange import ForwardOptions, PathSegment
from millfork_core.environment import Environment
from millfork_core.verdicts import Reason, Verdict
from millfork_routing.documents import EngineSpec, RouteKind
from millfork_routing.shared_budget import SharedBudget
from millfork_scheduling.placement import Choice
from millfork_scheduling.server import MAX_PAUSE_S
from millfork_scheduling.server_table import ServerTable
from millfork_web.event_stream import is_event_stream
from millfork_web.framing import Framing
from millfork_web.models import find_header
from millforkd.proxy.admission import Admission
from millforkd.proxy.answer_validation import find_problem, promises_not_run
from millforkd.proxy.attempts import Attempt, FailedAttempt
from millforkd.proxy.backpressure import BackpressureRecorder
from millforkd.proxy.connections import Pools, SendFailed, ServerConnection
from millforkd.proxy.job import Job
from millforkd.proxy.part_quarantine import PartQuarantine
from millforkd.proxy.response_monitor import ResponseMonitor
from millforkd.proxy.response_relay import ResponseRelay
from millforkd.quarantine import Quarantine

# Attempts end this long before the deadline, so that a refusal reaches the caller in time.
REFUSAL_MARGIN_S: Final = 0.03
# For this long, a back end that refused a request for a version is sent no requests for that
# version. The daemon's next report, which lists the versions that the back end serves, arrives
# meanwhile.
REFUSED_VERSION_S: Final = 0.5
# The reasons of failed attempts that point to a failure of the back end or of the connection.
CONNECTION_FAILURES: Final = frozenset(
    {Reason.UNREACHABLE, Reason.CONNECTION_LOST, Reason.TRUNCATED}
)
# The reasons of failed attempts after which a back end is avoided for a while. One that sends
# invalid answers is running, so these don't show that it ended.
AVOIDANCE_REASONS: Final = CONNECTION_FAILURES | {Reason.INVALID_ANSWER}


class NotSent(SendFailed):
    """
    Nothing was sent: once the connection was open, the chosen back end could no longer serve the
    request.

    """

    def __init__(self, reason: Reason, detail: str) -> None:
        super().__init__(reason, Verdict.NOT_RUN, detail)


class RequestSender:
    """
    Makes single attempts to serve jobs at back ends.

    """

    def __init__(
        self,
        env: Environment,
        adapter: Adapter,
        admission: Admission,
        server_table: ServerTable,
        pools: Pools,
        budget: SharedBudget,
        quarantine: Quarantine[Job],
        part_quarantine: PartQuarantine,
        response_monitor: ResponseMonitor,
        response_relay: ResponseRelay,
        backpressure: BackpressureRecorder,
    ) -> None:
        self.env = env
        self.adapter = adapter
        self.admission = admission
        self.server_table = server_table
        self.pools = pools
        self.budget = budget
        self.quarantine = quarantine
        self.part_quarantine = part_quarantine
        self.response_relay = response_relay
        self.backpressure = backpressure
        self.response_monitor = response_monitor
        self.slow_answers = response_monitor.slow_answers

    async def send(self, job: Job, attempt: Attempt) -> FailedAttempt | None:
        """
        Make one attempt to serve a job at the chosen back end. Returns the failed attempt, or None
        if the caller has received an answer.

        :raises Superseded: if another attempt has claimed the answer.

        """
        choice = attempt.choice
        server = choice.server
        pool = self.pools.pool_of(server)
        attempt.begin()
        connection = None
        keep_alive_s = None
        try:
            async with curio.timeout_after(
                job.remaining_s(self.env.monotonic()) - REFUSAL_MARGIN_S
            ):
                connection = await pool.acquire(recently_used=not job.route.repeatable)
                job.was_connected = True
                attempt.connection = connection
                keep_alive_s = await self._exchange(job, attempt, connection)
            attempt.pending_servers = ()
            server.record_service_time(self.env.monotonic() - attempt.started_at)
            if connection.framing is not Framing.CONNECTION:
                await self.quarantine.clear_suspicion(job)
                if attempt.has_written_answer:
                    await self.part_quarantine.clear(job)
            return None
        except NotSent as error:
            return FailedAttempt(error.reason, error.verdict, error.detail, sent=False)
        except SendFailed as error:
            # The attempt that claims the answer interrupts the connections of the others.
            job.race.check(attempt)
            return self._record_failed(job, attempt, error.reason, error.verdict, error.detail)
        except curio.TaskTimeout:
            verdict = Verdict.NOT_RUN if connection is None else Verdict.MAY_HAVE_RUN
            return self._record_failed(
                job, attempt, Reason.TIMED_OUT, verdict, 'the deadline has passed'
            )
        finally:
            attempt.end()
            if connection is not None:
                # An interrupted connection says nothing about others unless it was silent before.
                connection.lost = attempt.was_silent or (connection.lost and not attempt.superseded)
                await pool.release(connection, keep_alive_s)

    def _record_failed(
        self, job: Job, attempt: Attempt, reason: Reason, verdict: Verdict, detail: str
    ) -> FailedAttempt:
        """
        Record a failed attempt in the job and, for each of its back ends that may have failed, lost
        the connection or sent an invalid answer, in the `Server` of the back end.

        """
        now = self.env.monotonic()
        for server in attempt.choice.servers:
            if server.instance not in job.tried:
                job.tried.append(server.instance)
            # An engine that changes its weights was told to interrupt its running requests, so a
            # broken answer is no failure of that engine.
            if reason in AVOIDANCE_REASONS and not server.changes_version:
                server.record_failure(now)
        if reason is Reason.TIMED_OUT and attempt.server.last_received_at < attempt.started_at:
            self._record_silent_timeout(attempt, now)
        return FailedAttempt(reason, verdict, detail)

    def _record_silent_timeout(self, attempt: Attempt, now: float) -> None:
        """
        Record that the back end sent nothing from the start of an attempt until the deadline.

        """
        if now - attempt.started_at <= MAX_PAUSE_S:
            attempt.server.record_silence(now)
            return
        if not attempt.server.changes_version:
            attempt.server.record_failure(now)

    def _record_version(self, job: Job, version: int | None) -> None:
        engine = job.requirements.engine
        if engine is None or version is None:
            return
        version_ends_at = self.admission.versions.ends_at(engine.model, version)
        job.sent_version = version
        job.version_remaining_ms = float('inf')
        if version_ends_at is not None:
            job.version_remaining_ms = (version_ends_at - self.env.monotonic()) * 1000

    def _check_version(self, engine: EngineSpec, version: int | None) -> None:
        """
        Check again, once the connection is open, whether requests may be sent to a version:
        connecting may take 0.4 s, and a request that is sent too late can't be recalled from a
        slow link.

        :raises NotSent: if requests may no longer be sent to `version`, or if `version` is None,
            as the engine no longer has a complete version.

        """
        oldest = self.admission.versions.oldest_usable(engine.model)
        if version is None or version < oldest:
            detail = f'the engine has version {version}; requests need version {oldest} or newer'
            raise NotSent(Reason.VERSION_MISMATCH, detail)

    def _check_open(self, choice: Choice) -> None:
        """
        Check again, once the connection is open, whether the back ends take requests: one of them
        may have signalled backpressure meanwhile.

        :raises NotSent: if a back end has signalled that it takes no requests.

        """
        for server in choice.servers:
            closure = self.server_table.closure(server)
            if closure is not None:
                detail = f'{server.instance} takes no requests for {closure.opens_in_s:.1f} s'
                raise NotSent(Reason(closure.closure_reason.value), detail)

    async def _exchange(
        self, job: Job, attempt: Attempt, connection: ServerConnection
    ) -> float | None:
        """
        Send the request, read the answer and pass it on. Returns the keep-alive time of the
        connection in seconds: None if the back end announced none, 0 if the back end
        closes the connection.

        :raises SendFailed: if the caller hasn't received a complete answer.
        :raises Superseded: if another attempt has claimed the answer.

        """
        job.race.check(attempt)
        server = attempt.server
        request = job.exchange.request
        version = None
        if job.requirements.engine is not None:
            version = attempt.choice.version(job.requirements.engine.layers)
            self._check_version(job.requirements.engine, version)
        self._check_open(attempt.choice)
        now = self.env.monotonic()
        forward_options = ForwardOptions(
            str(server.instance),
            max(int(job.remaining_s(now) * 1000), 1),
            job.organisation.name if job.organisation is not None else '',
            self.admission.table is not None and self.admission.table.needs_keys,
            version,
            job.urgency,
            job.resume_after if job.last_event is not None else None,
            _path_segments(attempt.choice, job.requirements.engine),
        )
        if not job.tried:
            self.budget.record_request(job.requirements.service)
            if job.route.repeatable:
                self.slow_answers.record_request(job.route.name)
        job.tried += [used.instance for used in attempt.choice.servers]
        self.server_table.record_sent(attempt.choice.servers)
        headers = self.adapter.back_end_headers(request, forward_options)
        self._record_version(job, version)
        attempt.pending_servers = tuple(attempt.choice.servers)
        await connection.send(request.method, request.path, headers, request.body)
        await self.response_monitor.read_head(job, attempt, connection, version)
        head = self.adapter.read_answer_head(connection.status, connection.headers)
        problem = find_problem(head, job.caller.request_id)
        if problem:
            # The rest of the answer stays unread, so the connection is closed: the answer to this
            # request may still arrive there.
            raise SendFailed(Reason.INVALID_ANSWER, Verdict.MAY_HAVE_RUN, problem)
        server.record_received(self.env.monotonic())
        server.record_answered(job.urgency, attempt.started_at)
        self.backpressure.record_answer(job, server, head, now)
        if head.not_run:
            await connection.discard_body()
            through_path = attempt.choice.path is not None
            if version is not None and (head.misdirected or through_path):
                server.refused[version] = self.env.monotonic() + REFUSED_VERSION_S
            raise SendFailed(Reason.BUSY, Verdict.NOT_RUN, f'the server answered {head.status}')
        if promises_not_run(head.status):
            # Passed on, the status would make a promise to the caller that the back end didn't.
            await connection.discard_body()
            server.record_outcome(failed=True)
            raise SendFailed(
                Reason.BACKEND_FAILED,
                Verdict.MAY_HAVE_RUN,
                f'the server answered {head.status}, but may have run the request',
            )
        if head.status >= 300 and job.answer_started:
            # The caller has received the head of another answer, so this one can't be passed on.
            await connection.discard_body()
            server.record_outcome(failed=head.status >= 500)
            raise SendFailed(
                Reason.BACKEND_FAILED,
                Verdict.RAN,
                f'the server answered {head.status} to a resumed stream',
            )
        if head.status >= 500 and job.route.repeatable:
            job.held_answer = await self.response_relay.read_failure(connection)
            server.record_outcome(failed=True)
            raise SendFailed(
                Reason.BACKEND_FAILED, Verdict.RAN, f'the server answered {head.status}'
            )
        if job.route.kind is RouteKind.STREAMING and head.status < 300 and _is_stream(connection):
            await self.response_relay.stream(job, attempt, connection)
        else:
            await self.response_relay.relay(job, attempt, connection)
        server.record_outcome(failed=head.status >= 500)
        return 0.0 if head.closes_connection else head.keep_alive_s


def _is_stream(connection: ServerConnection) -> bool:
    """
    Whether an answer on a route for streams is one: answers without a content type are.

    """
    content_type = find_header(connection.headers, 'content-type')
    return not content_type or is_event_stream(content_type)


def _path_segments(choice: Choice, engine: EngineSpec | None) -> tuple[PathSegment, ...]:
    """
    The two engines of a path and the range of layers that each computes, as sent to the first
    engine; empty if the request is sent to a single back end.

    """
    path = choice.path
    if path is None or engine is None:
        return ()
    return (
        PathSegment(path.first.host, path.first.port, 0, path.split),
        PathSegment(path.second.host, path.second.port, path.split, engine.layers),
    )
