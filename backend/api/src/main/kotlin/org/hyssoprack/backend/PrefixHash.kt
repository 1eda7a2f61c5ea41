package org.hyssoprack.backend

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Hash of the beginning of a prompt, computed in the same way on engines and entry hosts. */
object PrefixHash {
    /** Characters in one block; prompts with an equal first block share a prefix. */
    const val BLOCK_CHARS = 256

    /** First eight bytes of the SHA-256 hash of the first block of [prompt]. */
    fun of(prompt: String): Long {
        val digest = MessageDigest.getInstance("SHA-256")
        return ByteBuffer.wrap(digest.digest(prompt.take(BLOCK_CHARS).toByteArray())).long
    }
}
