package org.hyssoprack.daemon

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.withContext
import org.hyssoprack.backend.EngineUsage
import org.hyssoprack.host.ResponseSink

/** Sends the parts of a response to the coroutine that writes them to the caller. */
internal class ChannelSink(private val parts: SendChannel<ResponsePart>) : ResponseSink {
    private val written = CompletableDeferred<Boolean>()

    override suspend fun token(data: String): Boolean = send(ResponsePart.Token(data))

    // Not cancellable: the writer always reports whether the end was written, and the caller often
    // closes the connection as soon as it has received the end.
    override suspend fun finished(usage: EngineUsage): Boolean = withContext(NonCancellable) {
        send(ResponsePart.Finished(usage)) && written.await()
    }

    /** Called by the writer when the end of the response was written. */
    fun endWritten() {
        written.complete(true)
    }

    /** Called by the writer when it stops; parts not written by then are discarded. */
    fun writerStopped() {
        written.complete(false)
    }

    private suspend fun send(part: ResponsePart): Boolean = try {
        parts.send(part)
        true
    } catch (e: ClosedSendChannelException) {
        false
    }
}
