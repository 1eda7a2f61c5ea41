package org.hyssoprack.backend.http

import io.ktor.http.ContentType
import io.ktor.http.content.OutgoingContent
import java.util.concurrent.atomic.AtomicBoolean

/** A request body that can be written only once, so that the HTTP client cannot retry a call. */
internal class SingleUseBody(
    private val content: ByteArray,
    override val contentType: ContentType?
) : OutgoingContent.ByteArrayContent() {
    private val isWritten = AtomicBoolean()

    override val contentLength: Long get() = content.size.toLong()

    override fun bytes(): ByteArray {
        check(isWritten.compareAndSet(false, true)) { "the request body was already sent" }
        return content
    }
}
