"""
Randomized soak runs: real processes on loopback, with faults injected from outside.

"""
