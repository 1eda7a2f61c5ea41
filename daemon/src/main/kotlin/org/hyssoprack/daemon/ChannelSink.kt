package org.hyssoprack.daemon

import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.channels.SendChannel
import org.hyssoprack.backend.EngineUsage
import org.hyssoprack.host.AnswerSink

/** Passes the parts of an answer to the task that writes them to the caller. */
internal class ChannelSink(private val parts: SendChannel<AnswerPart>) : AnswerSink {
    override suspend fun token(data: String): Boolean = send(AnswerPart.Token(data))

    override suspend fun finished(usage: EngineUsage): Boolean = send(AnswerPart.Finished(usage))

    private suspend fun send(part: AnswerPart): Boolean = try {
        parts.send(part)
        true
    } catch (e: ClosedSendChannelException) {
        false
    }
}
