"""Digests of growing prefixes of a prompt, the keys of prefix-cache affinity.

A prompt is cut into blocks of a fixed number of characters; the digest of block n
covers all blocks up to n, so that two prompts share exactly the digests of the
blocks that they have in common. Only whole blocks count, as in the engines.
"""

import hashlib

BLOCK_CHARACTERS = 256
MAX_BLOCKS = 16
DIGEST_BYTES = 8


def prefix_digests(model: str, prompt: str) -> tuple[str, ...]:
    """Return hexadecimal digests of the prompt's prefixes, shortest first.

    At most `MAX_BLOCKS` blocks are digested; a prompt below one block has none.
    `model` is the base model or adapter, whose caches are separate.
    """
    hasher = hashlib.blake2b(model.encode() + b"\0", digest_size=DIGEST_BYTES)
    digests: list[str] = []
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        if len(digests) == MAX_BLOCKS:
            break
        hasher.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        digests.append(hasher.hexdigest())
    return tuple(digests)
