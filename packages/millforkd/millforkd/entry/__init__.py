"""
The entry role of a listed fleet (one whose instances the platform lists): a daemon that serves
callers and operators, and routes calls to endpoints.

"""
