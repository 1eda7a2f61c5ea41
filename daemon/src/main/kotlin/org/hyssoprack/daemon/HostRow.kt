package org.hyssoprack.daemon

import kotlinx.serialization.Serializable

/** One host in the operators' list; [load] in percent, [bundle] the version in force there. */
@Serializable
internal data class HostRow(
    val host: String,
    val incarnation: String,
    val state: String,
    val domain: String,
    val region: String,
    val link: String,
    val callers: String,
    val load: Int,
    val bundle: Long
)
