package org.hyssoprack.common

import java.security.MessageDigest
import java.util.HexFormat
import kotlinx.serialization.Serializable

/** SHA-256 of a body or a key, as 64 lower-case hexadecimal digits. */
@JvmInline
@Serializable
value class ContentHash(val value: String) {
    override fun toString(): String = value

    companion object {
        private const val ALGORITHM = "SHA-256"
        private val FORM = Regex("""[0-9a-f]{64}""")

        /** The hash of [bytes]. */
        fun of(bytes: ByteArray): ContentHash {
            val digest = MessageDigest.getInstance(ALGORITHM).digest(bytes)
            return ContentHash(HexFormat.of().formatHex(digest))
        }

        /** The hash of [text] in UTF-8. */
        fun of(text: String): ContentHash = of(text.toByteArray())

        /** Parses a hash in hexadecimal digits; null if [text] does not have this format. */
        fun parse(text: String): ContentHash? = if (FORM.matches(text)) ContentHash(text) else null
    }
}
