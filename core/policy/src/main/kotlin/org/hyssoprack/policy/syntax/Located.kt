package org.hyssoprack.policy.syntax

/** A part of a policy text and the place where it starts. */
internal data class Located<out T>(val value: T, val at: Position)
