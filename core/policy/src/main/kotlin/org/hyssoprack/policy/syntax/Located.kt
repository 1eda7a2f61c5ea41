package org.hyssoprack.policy.syntax

/** A value parsed from a policy text, with its start position. */
internal data class Located<out T>(val value: T, val at: Position)
