"""
The interface that the adapter of a platform implements, and the typed messages it exchanges with
the daemons.

"""
