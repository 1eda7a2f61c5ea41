package org.hyssoprack.policy.syntax

/** A position in a policy text; [line] and [column] count from 1. */
internal data class Position(val line: Int, val column: Int)
