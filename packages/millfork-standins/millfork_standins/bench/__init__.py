"""
Experiments on this machine. Results are compared only within one run.

"""
