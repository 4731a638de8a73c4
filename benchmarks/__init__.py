"""Benchmarks; none is a test."""
