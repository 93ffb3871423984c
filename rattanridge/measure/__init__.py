"""Measurements: experiments with a seed, figures and a target, one command each."""
