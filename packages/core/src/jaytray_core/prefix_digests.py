"""Chained digests of the prefixes of a prompt, as in the cache events of targets.

A digest covers the name of the model or adapter and all text up to the end of one
block, so two prompts share a digest exactly when they share that prefix.
"""

import hashlib

BLOCK_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4
_MAX_BLOCKS = 32
_DIGEST_BYTES = 12


def prefix_digests(name: str, prompt: str) -> tuple[str, ...]:
    """Return the digests of the prefixes of whole blocks, shortest prefix first.

    `name` is the model or adapter in the request. Only the first 32 blocks are used.
    """
    blocks = min(len(prompt) // BLOCK_CHARACTERS, _MAX_BLOCKS)
    digest = hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES).digest()
    digests = []
    for block in range(blocks):
        start = block * BLOCK_CHARACTERS
        text = prompt[start : start + BLOCK_CHARACTERS]
        data = digest + text.encode()
        digest = hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
        digests.append(digest.hex())
    return tuple(digests)
