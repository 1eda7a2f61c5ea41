package org.hyssoprack.burn

import kotlinx.serialization.Serializable

/** Numbers of requests by their ending. */
@Serializable
data class EndingCounts(
    val done: Long = 0,
    val late: Long = 0,
    val shed: Long = 0,
    val broken: Long = 0,
    val unknown: Long = 0,
    val refusedInput: Long = 0,
    val abandoned: Long = 0
) {
    /** Requests that count towards the objective. */
    val total: Long get() = done + bad

    /** Requests that count towards the objective and missed it. */
    val bad: Long get() = late + shed + broken + unknown

    /** Share of requests, from 0 to 1, that missed the objective; 0 if none counted. */
    val badShare: Double get() = if (total == 0L) 0.0 else bad.toDouble() / total

    /** The ending that cost most of the error budget; null if nothing missed the objective. */
    val mainCause: Ending? get() = CAUSES.filter { of(it) > 0 }.maxByOrNull { of(it) }

    /** The number of requests with [ending]. */
    fun of(ending: Ending): Long = when (ending) {
        Ending.DONE -> done
        Ending.LATE -> late
        Ending.SHED -> shed
        Ending.BROKEN -> broken
        Ending.UNKNOWN -> unknown
        Ending.REFUSED_INPUT -> refusedInput
        Ending.ABANDONED -> abandoned
    }

    operator fun plus(other: EndingCounts) = EndingCounts(
        done = done + other.done,
        late = late + other.late,
        shed = shed + other.shed,
        broken = broken + other.broken,
        unknown = unknown + other.unknown,
        refusedInput = refusedInput + other.refusedInput,
        abandoned = abandoned + other.abandoned
    )

    companion object {
        /** Endings that miss the objective. */
        val CAUSES = Ending.entries.filter { it.counts && !it.isGood }

        internal fun of(numbers: LongArray) = EndingCounts(
            done = numbers[Ending.DONE.ordinal],
            late = numbers[Ending.LATE.ordinal],
            shed = numbers[Ending.SHED.ordinal],
            broken = numbers[Ending.BROKEN.ordinal],
            unknown = numbers[Ending.UNKNOWN.ordinal],
            refusedInput = numbers[Ending.REFUSED_INPUT.ordinal],
            abandoned = numbers[Ending.ABANDONED.ordinal]
        )
    }
}

/** The sum of all counts. */
fun Iterable<EndingCounts>.sum(): EndingCounts = fold(EndingCounts()) { sum, next -> sum + next }
