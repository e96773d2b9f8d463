"""
What a platform adapter gives the daemon: typed calls, requests and answers.

"""
