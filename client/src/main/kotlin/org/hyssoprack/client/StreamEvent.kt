package org.hyssoprack.client

/** One server-sent event. */
internal data class StreamEvent(val data: String, val name: String? = null)
