package org.hyssoprack.burn

import kotlinx.serialization.Serializable

/** Numbers of requests by outcome. */
@Serializable
data class SloOutcomeCounts(
    val done: Long = 0,
    val late: Long = 0,
    val shed: Long = 0,
    val broken: Long = 0,
    val unknown: Long = 0,
    val refusedInput: Long = 0,
    val abandoned: Long = 0
) {
    /** Requests that count towards the objective. */
    val total: Long get() = done + missed

    /** Requests that count towards the objective and missed it. */
    val missed: Long get() = late + shed + broken + unknown

    /** Share of requests, from 0 to 1, that missed the objective; 0 if none counted. */
    val missedShare: Double get() = if (total == 0L) 0.0 else missed.toDouble() / total

    /** The outcome that used most of the error budget; null if no request missed the objective. */
    val mainCause: SloOutcome? get() = CAUSES.filter { of(it) > 0 }.maxByOrNull { of(it) }

    /** Returns the number of requests with [outcome]. */
    fun of(outcome: SloOutcome): Long = when (outcome) {
        SloOutcome.DONE -> done
        SloOutcome.LATE -> late
        SloOutcome.SHED -> shed
        SloOutcome.BROKEN -> broken
        SloOutcome.UNKNOWN -> unknown
        SloOutcome.REFUSED_INPUT -> refusedInput
        SloOutcome.ABANDONED -> abandoned
    }

    operator fun plus(other: SloOutcomeCounts) = SloOutcomeCounts(
        done = done + other.done,
        late = late + other.late,
        shed = shed + other.shed,
        broken = broken + other.broken,
        unknown = unknown + other.unknown,
        refusedInput = refusedInput + other.refusedInput,
        abandoned = abandoned + other.abandoned
    )

    companion object {
        /** Outcomes that miss the objective. */
        val CAUSES = SloOutcome.entries.filter { it.isCounted && !it.meetsObjective }

        internal fun of(numbers: LongArray) = SloOutcomeCounts(
            done = numbers[SloOutcome.DONE.ordinal],
            late = numbers[SloOutcome.LATE.ordinal],
            shed = numbers[SloOutcome.SHED.ordinal],
            broken = numbers[SloOutcome.BROKEN.ordinal],
            unknown = numbers[SloOutcome.UNKNOWN.ordinal],
            refusedInput = numbers[SloOutcome.REFUSED_INPUT.ordinal],
            abandoned = numbers[SloOutcome.ABANDONED.ordinal]
        )
    }
}

/** Returns the sum of all counts. */
fun Iterable<SloOutcomeCounts>.sum(): SloOutcomeCounts = fold(SloOutcomeCounts()) { sum, next ->
    sum +
        next
}
