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

        /** Parses the format of [toString]; null if [text] does not have this format. */
        fun parse(text: String): Incarnation? = text.toLongOrNull(RADIX)?.let(::Incarnation)
    }
}
