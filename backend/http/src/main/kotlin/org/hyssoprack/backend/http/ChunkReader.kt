package org.hyssoprack.backend.http

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.hyssoprack.common.RequestId

/** Reads the JSON texts of stream chunks of one request. */
internal class ChunkReader(private val id: RequestId) {
    private val tokenHead = """{"id":${Json.encodeToString(id.value)},"token_index":"""

    /** The chunk in [data]; null if it is not of the published form. */
    fun read(data: String): StreamChunk? = readToken(data) ?: parse(data)

    // Saves the whole parse for token chunks with the fields in their published order.
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
