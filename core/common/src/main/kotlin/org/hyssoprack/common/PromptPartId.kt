package org.hyssoprack.common

import kotlinx.serialization.Serializable

/**
 * Identifies a part of a prompt that several requests may share, or the own part of a request. The
 * own part stands for all of the request, with or without a prompt: only a request that its caller
 * sends again has the same one.
 */
@JvmInline
@Serializable
value class PromptPartId(val value: String) {
    /** Whether this is the own part of a request. */
    val isOwnPart: Boolean get() = value.startsWith(OWN_PREFIX)

    override fun toString(): String = value

    companion object {
        // Callers name parts in hexadecimal digits, so none can name the own part of a request.
        private const val OWN_PREFIX = "request:"

        /** Returns the own part of the requests with [digest]. */
        fun ownPart(digest: String) = PromptPartId(OWN_PREFIX + digest)
    }
}
