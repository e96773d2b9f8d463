"""
Decisions on admission, placement, rejection and retries of requests.

The modules use no sockets, tasks or clocks of their own. Each describes at its top the load
that it is made for. They are used by `millforkd` and by the engine model of the benchmarks.

"""
