package org.hyssoprack.common

import kotlinx.serialization.Serializable

/**
 * One run of a host's process. The value is the wall-clock time of its start in milliseconds since
 * the epoch, so that a later run of the same host compares as greater.
 */
@JvmInline
@Serializable
value class Incarnation(val value: Long) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString(RADIX)

    companion object {
        private const val RADIX = 36

        /** Reads the form that [toString] writes; null if [text] is not of that form. */
        fun parse(text: String): Incarnation? = text.toLongOrNull(RADIX)?.let(::Incarnation)
    }
}
