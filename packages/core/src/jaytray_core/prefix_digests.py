"""Digests of growing prefixes of a prompt, shared with targets' cache events.

A digest stands for all text up to the end of one block and for the model or adapter,
so two prompts share a digest exactly when they share that prefix.
"""

import hashlib

BLOCK_CHARACTERS = 256
CHARACTERS_PER_TOKEN = 4
_MAX_BLOCKS = 32
_DIGEST_BYTES = 12


def prefix_digests(name: str, prompt: str) -> tuple[str, ...]:
    """Return the digests of the whole blocks of `prompt`, shortest prefix first.

    `name` is the model or the adapter that the request names. Only the first 32
    blocks count.
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
