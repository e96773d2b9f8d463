"""
Stand-ins for the systems around millfork, and fleets of processes for tests and the demo.

"""
