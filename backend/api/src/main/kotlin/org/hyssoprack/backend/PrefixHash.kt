package org.hyssoprack.backend

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Hash of a prompt's beginning, the same on engines and on entry hosts. */
object PrefixHash {
    /** Characters of one block; prompts that agree in the first block share a prefix. */
    const val BLOCK_CHARS = 256

    /** First eight bytes of the SHA-256 hash of the first block of [prompt]. */
    fun of(prompt: String): Long {
        val digest = MessageDigest.getInstance("SHA-256")
        return ByteBuffer.wrap(digest.digest(prompt.take(BLOCK_CHARS).toByteArray())).long
    }
}
