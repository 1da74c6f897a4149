"""The HTTP faces for callers, trainers and operators."""
