"""
Counters, gauges and histograms, kept in one registry for each process.

"""

from collections.abc import Callable
from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from millfork_core.verdicts import Reason

TEXT_ACCEPT: Final = ['text/plain']
# Upper bounds of the histogram buckets: fine steps around the target latencies of 0.4 to 0.9 s,
# coarse ones up to request deadlines of several seconds.
LATENCY_BUCKETS_S: Final = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.7, 1.0, 2.0, 4.0, 8.0, float('inf'))


class Metrics:
    """
    The metrics of one process, which its `Environment` holds.

    """

    def __init__(self) -> None:
        self.registry = Registry()
        # Called before the metrics are rendered, to set gauges that nothing sets meanwhile.
        self.updaters: list[Callable[[], None]] = []
        self.refusals = self._counter('millfork_refusals_total', 'Final refusals by reason.')
        self.retries = self._counter('millfork_retries_total', 'Attempts retried by reason.')
        self.requests = self._counter('millfork_requests_total', 'Requests by outcome.')
        self.wire = self._counter('millfork_wire_total', 'Wire events by kind.')
        self.wire_bytes = self._counter(
            'millfork_wire_bytes_total', 'Control bytes sent and received.'
        )
        self.chunks = self._counter('millfork_chunks_total', 'Chunks by source and outcome.')
        self.chunk_bytes = self._counter('millfork_chunk_bytes_total', 'Chunk bytes by source.')
        self.staged_pieces = self._counter(
            'millfork_staged_pieces_total', 'Pieces read back from the staging area, by outcome.'
        )
        self.loaded_layers = self._counter(
            'millfork_loaded_layers_total', 'Checks of the pieces of loaded layers, by outcome.'
        )
        self.state = self._counter('millfork_state_total', 'Replica events by kind.')
        self.orders = self._counter('millfork_orders_total', 'Orders to the engine by outcome.')
        self.connections = self._counter(
            'millfork_connections_total', 'Connections to back ends by event.'
        )
        self.backpressure = self._counter(
            'millfork_backpressure_total',
            'What back ends said of themselves, by signal, event and way of telling.',
        )
        self.second_attempts = self._counter(
            'millfork_second_attempts_total', 'Second attempts beside slow ones, by event.'
        )
        self.log_lines = self._counter('millfork_log_lines_total', 'Log lines by fate.')
        self.request_seconds = Histogram(
            'millfork_request_seconds',
            'Time of a request, in seconds.',
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.first_seconds = Histogram(
            'millfork_first_seconds',
            'Time to the first bytes of an answer, in seconds.',
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.revision = self._gauge('millfork_revision', 'Configuration revision in force.')
        self.leader = self._gauge('millfork_leader', 'Whether this replica leads.')
        self.voter = self._gauge('millfork_voter', 'Whether this replica is a voter.')
        self.voter_lag_bytes = self._gauge(
            'millfork_voter_lag_bytes',
            'At the leader: bytes of the log that the slowest voter has not confirmed.',
        )
        self.voter_silent_seconds = self._gauge(
            'millfork_voter_silent_seconds',
            'At the leader: longest time since a voter answered, in seconds.',
        )
        self.transfers = self._gauge(
            'millfork_transfers', 'Peers to which a transfer is queued or on its way.'
        )
        self.queued_bytes = self._gauge(
            'millfork_queued_bytes', 'Bytes that wait to be sent to peers.'
        )
        self.held_back_feeds = self._gauge(
            'millfork_held_back_feeds',
            'Followers that are sent no changes until an earlier transfer has arrived.',
        )
        self.unsent_bytes = self._gauge(
            'millfork_unsent_bytes', 'Bytes that wait for callers to read them.'
        )
        self.body_bytes = self._gauge(
            'millfork_body_bytes', 'Bytes of the bodies of requests in progress.'
        )
        self.slow_readers = self._gauge(
            'millfork_slow_readers', 'Callers cut off since the start, as they read too slowly.'
        )

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)

    def refused(self, reason: Reason, part: str) -> None:
        self.refusals.inc({'reason': reason.value, 'part': part})

    def retried(self, reason: Reason) -> None:
        self.retries.inc({'reason': reason.value})

    def count(self, counter: Counter, amount: float = 1, **labels: str) -> None:
        counter.add(labels, amount)

    def render(self) -> tuple[bytes, str]:
        """
        Return all metrics as Prometheus text, and the content type of that text.

        """
        for update in self.updaters:
            update()
        body, headers = render(self.registry, TEXT_ACCEPT)
        return body, headers.get('Content-Type', 'text/plain')
