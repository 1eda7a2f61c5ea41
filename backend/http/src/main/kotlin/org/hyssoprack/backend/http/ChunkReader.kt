package org.hyssoprack.backend.http

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hyssoprack.common.RequestId

/** Parses the stream chunks of one request from JSON. */
internal class ChunkReader(private val id: RequestId) {
    private val tokenHead = """{"id":${Json.encodeToString(id.value)},"token_index":"""

    /** Parses the chunk in [data]; null if it does not match the published format. */
    fun read(data: String): StreamChunk? = readToken(data) ?: parse(data)

    // Avoids a full JSON parse for token chunks whose fields are in the published order.
    private fun readToken(data: String): StreamChunk? {
        if (!data.startsWith(tokenHead)) return null
        val end = data.indexOf(',', tokenHead.length)
        if (end < 0) return null
        val index = data.substring(tokenHead.length, end).toIntOrNull() ?: return null
        return StreamChunk(id = id.value, tokenIndex = index)
    }

    private fun parse(data: String): StreamChunk? = try {
        JSON.decodeFromString<StreamChunk>(data)
    } catch (_: SerializationException) {
        null
    }

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
