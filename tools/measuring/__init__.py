"""
Benchmarks of the system: fairness, flood protection, control-plane cost and scaling.

``trial`` runs one scheduling policy on a deployment of real processes, ``table`` compares the
policies, and ``capacity`` extrapolates the cost of one router to a large fleet.
"""
