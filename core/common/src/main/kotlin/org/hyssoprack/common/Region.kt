package org.hyssoprack.common

import kotlinx.serialization.Serializable

/** Name of a region: a group of failure domains that are close to each other. */
@JvmInline
@Serializable
value class Region(val value: String) {
    override fun toString(): String = value
}
