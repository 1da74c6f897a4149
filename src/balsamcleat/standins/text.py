"""Deterministic text, so that any reader can check that an answer is whole and its own."""

import math
import random

import xxhash

__all__ = ["generation_length", "generation_text", "token_text", "tokens_of"]

# A log-normal with a heavy tail, as lengths of generated answers have.
LENGTH_MEDIAN_TOKENS = 40.0
LENGTH_SIGMA = 0.8


def token_text(prompt: str, seed: int, position: int) -> str:
    """Return the token at ``position`` of the answer to ``prompt``."""
    return f"{xxhash.xxh32_hexdigest(f'{prompt}|{seed}|{position}'.encode())[:4]} "


def generation_length(prompt: str, seed: int, max_tokens: int) -> int:
    """Return how many tokens the whole answer has."""
    draw = random.Random(xxhash.xxh64_intdigest(f"{prompt}|{seed}|length".encode()))
    length = int(draw.lognormvariate(math.log(LENGTH_MEDIAN_TOKENS), LENGTH_SIGMA))
    return max(1, min(max_tokens, length))


def generation_text(prompt: str, seed: int, max_tokens: int) -> str:
    """Return the whole answer's text."""
    length = generation_length(prompt, seed, max_tokens)
    return "".join(token_text(prompt, seed, position) for position in range(length))


def tokens_of(text: str) -> list[str]:
    """Return the tokens of an answer; each ends with a space."""
    return [f"{token} " for token in text.split()]
