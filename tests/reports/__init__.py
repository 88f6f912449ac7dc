<<<<<<< HEAD
"""Tests of what the fleet tells its operators."""
=======
"""Tests of the reports."""
>>>>>>> front
