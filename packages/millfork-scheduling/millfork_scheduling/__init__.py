"""
Decisions on admission, placement, rejection and retries of requests.

The modules use no sockets, tasks or clocks of their own, so `millforkd` and the engine model of
the benchmarks share them. Where a decision depends on the load, the docstring of its module
describes that load.

"""
