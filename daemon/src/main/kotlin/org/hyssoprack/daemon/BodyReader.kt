package org.hyssoprack.daemon

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readAvailable
import java.io.ByteArrayOutputStream
import java.io.IOException
import kotlinx.coroutines.withTimeoutOrNull
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode

/** Reads request bodies, limited in size and time. */
internal class BodyReader(private val maxBytes: Int) {
    /** Returns the complete body. Fails with BODY_TOO_LARGE or REQUEST_INCOMPLETE. */
    suspend fun read(call: ApplicationCall): Either<Failure, ByteArray> {
        val declared = call.request.contentLength()
        if (declared != null && declared > maxBytes) return tooLarge()
        val body = withTimeoutOrNull(READ_TIMEOUT_MS) { readAll(call) }
        return body ?: Failure(
            ResultCode.REQUEST_INCOMPLETE,
            "The body was not received within $READ_TIMEOUT_MS ms."
        ).left()
    }

    private suspend fun readAll(call: ApplicationCall): Either<Failure, ByteArray> {
        val channel = call.receiveChannel()
        val bytes = ByteArrayOutputStream()
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = channel.readAvailable(buffer, 0, buffer.size)
                if (count < 0) return bytes.toByteArray().right()
                bytes.write(buffer, 0, count)
                if (bytes.size() > maxBytes) return tooLarge()
            }
        } catch (e: IOException) {
            return Failure(
                ResultCode.REQUEST_INCOMPLETE,
                "The connection failed before the end of the body."
            ).left()
        }
    }

    private fun tooLarge() =
        Failure(ResultCode.BODY_TOO_LARGE, "The body exceeds the limit of $maxBytes bytes.").left()

    private companion object {
        const val READ_TIMEOUT_MS = 10_000L
        const val BUFFER_BYTES = 8_192
    }
}
