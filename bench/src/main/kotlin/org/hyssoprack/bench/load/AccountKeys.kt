package org.hyssoprack.bench.load

import java.security.MessageDigest
import java.util.HexFormat

/** Bearer keys of the bench's accounts and operators. */
object AccountKeys {
    /** The key of the account or operator [name]. */
    fun key(name: String): String = "bench-key-$name"

    /** SHA-256 hash of that key in hexadecimal digits. */
    fun hash(name: String): String {
        val digest = MessageDigest.getInstance("SHA-256")
        return HexFormat.of().formatHex(digest.digest(key(name).toByteArray()))
    }
}
