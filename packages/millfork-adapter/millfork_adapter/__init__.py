"""
The interface that a platform adapter implements, and its typed messages.

"""
