package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Version of an accepted settings bundle. Versions start at 1; 0 means that none is accepted. */
@JvmInline
@Serializable
value class BundleVersion(val value: Long) : Comparable<BundleVersion> {
    override fun compareTo(other: BundleVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()

    companion object {
        val NONE = BundleVersion(0)
    }
}
