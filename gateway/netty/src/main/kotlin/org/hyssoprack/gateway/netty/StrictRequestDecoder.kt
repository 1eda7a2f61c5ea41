package org.hyssoprack.gateway.netty

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Refuses a request that gives its length in two ways, since another reader on the way may take
 * the rest of its body for a second request.
 */
internal class StrictRequestDecoder(maxHeaderBytes: Int) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both a length and chunks")

    private companion object {
        const val MAX_CHUNK_BYTES = 65_536
    }
}
