"""
The configuration document, and the routes, load balancing, limits and retries of requests.

"""
