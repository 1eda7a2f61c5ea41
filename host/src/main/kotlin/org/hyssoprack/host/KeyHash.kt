package org.hyssoprack.host

import java.security.MessageDigest
import java.util.HexFormat
import org.hyssoprack.common.ContentHash

/** Hash of bearer keys and bodies. */
object KeyHash {
    /** SHA-256 of [bytes]. */
    fun of(bytes: ByteArray): ContentHash {
        val digest = MessageDigest.getInstance("SHA-256").digest(bytes)
        return ContentHash(HexFormat.of().formatHex(digest))
    }

    /** SHA-256 of [text] in UTF-8. */
    fun of(text: String): ContentHash = of(text.toByteArray())
}
