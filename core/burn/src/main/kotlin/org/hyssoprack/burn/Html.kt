package org.hyssoprack.burn

/** Escapes text for HTML and SVG. */
internal object Html {
    fun escape(text: String): String = text
        .replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;")
}
