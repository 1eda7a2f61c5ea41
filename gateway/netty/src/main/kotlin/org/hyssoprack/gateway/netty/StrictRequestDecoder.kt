package org.hyssoprack.gateway.netty

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Rejects a request with both Content-Length and chunked encoding, since an intermediary may parse
 * part of its body as a second request (request smuggling). Trailers are not forwarded and dropped.
 */
internal class StrictRequestDecoder(maxHeaderBytes: Int, lines: ByteLimits) :
    HttpRequestDecoder(
        HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setHeadersFactory(BoundedHeaders.Factory(lines.maxHeaderLines, isKept = true))
            .setTrailersFactory(BoundedHeaders.Factory(lines.maxTrailerLines, isKept = false))
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage): Unit =
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")

    private companion object {
        const val MAX_CHUNK_BYTES = 65_536
    }
}
