package org.hyssoprack.rollout

/** A time by which responses of two versions are compared. */
enum class Measure {
    /** Time to the first event of a stream, divided by the time expected for the prompt. */
    FIRST_EVENT,

    /** Time of a plain call, in milliseconds. */
    CALL,

    /** Longest pause between two events of a stream, in milliseconds. */
    PAUSE
}
