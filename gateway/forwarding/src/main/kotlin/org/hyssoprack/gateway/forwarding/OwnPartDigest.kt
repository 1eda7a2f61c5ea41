package org.hyssoprack.gateway.forwarding

import com.google.common.hash.Hasher
import com.google.common.hash.Hashing
import org.hyssoprack.common.PromptPartId
import org.hyssoprack.gateway.CallerRequest

/**
 * Computes the own part of requests from the client account, the route's host, the method, the path
 * and the body. A cryptographic hash, so that no caller can produce the own part of another
 * request.
 */
internal object OwnPartDigest {
    private const val DIGEST_CHARS = 32

    fun of(request: CallerRequest, call: AdmittedRequest): PromptPartId {
        val hasher = Hashing.sha256().newHasher()
        listOf(
            call.account?.name?.value.orEmpty(),
            call.route.host,
            request.method.name(),
            request.uri
        ).forEach { hasher.putText(it) }
        hasher.putBytes(request.body)
        return PromptPartId.ownPart(hasher.hash().toString().take(DIGEST_CHARS))
    }

    // With its length, so that the end of one text cannot pass for the start of the next.
    private fun Hasher.putText(text: String) {
        val bytes = text.encodeToByteArray()
        putInt(bytes.size)
        putBytes(bytes)
    }
}
