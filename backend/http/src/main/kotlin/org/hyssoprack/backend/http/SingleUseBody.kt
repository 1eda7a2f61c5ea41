package org.hyssoprack.backend.http

import io.ktor.http.ContentType
import io.ktor.http.content.OutgoingContent
import java.util.concurrent.atomic.AtomicBoolean

/** A request body that can be written once, so that no layer below can send a call again. */
internal class SingleUseBody(
    private val content: ByteArray,
    override val contentType: ContentType?
) : OutgoingContent.ByteArrayContent() {
    private val taken = AtomicBoolean()

    override val contentLength: Long get() = content.size.toLong()

    override fun bytes(): ByteArray {
        check(taken.compareAndSet(false, true)) { "a call is sent once only" }
        return content
    }
}
