"""
Decisions on a request's way to a back end: routes, load balancing, limits and retries.

"""
