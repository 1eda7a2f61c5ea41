package org.hyssoprack.bench.load

import java.security.MessageDigest
import java.util.HexFormat

/** Bearer keys of the accounts and operators in experiments. */
object AccountKeys {
    /** Returns the key of the account or operator [name]. */
    fun key(name: String): String = "bench-key-$name"

    /** Returns the hexadecimal SHA-256 hash of that key. */
    fun hash(name: String): String {
        val digest = MessageDigest.getInstance("SHA-256")
        return HexFormat.of().formatHex(digest.digest(key(name).toByteArray()))
    }
}
