"""
The scenario language: scripts that cause faults on a fleet and check the effects.

"""
