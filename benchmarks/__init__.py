"""Benchmarks whose bounds are the stated performance targets."""
