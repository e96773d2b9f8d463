"""
The replicated state: log, quorum, snapshots, subscriptions.

"""
