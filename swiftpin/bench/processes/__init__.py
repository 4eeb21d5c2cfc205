"""Processes started, signalled and ended for experiments, tests and the demo."""
