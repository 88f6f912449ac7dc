"""Load, fairness, floods and cost of control, measured on a deployment of real processes."""
