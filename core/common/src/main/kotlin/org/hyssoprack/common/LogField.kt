package org.hyssoprack.common

/** One key=value pair of a log event. */
data class LogField(val key: String, val value: Any?)

/** Pairs a key with a value for [EventLog.event]. */
infix fun String.eq(value: Any?): LogField = LogField(key = this, value = value)
