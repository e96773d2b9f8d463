"""
Weights: manifests, verified files, distribution trees, transfers.

"""
