"""Fakes and machines that the steps share."""
