package org.hyssoprack.cli

import kotlin.system.exitProcess

/** Runs the operators' and callers' command. */
fun main(args: Array<String>) {
    val status = Hyssoprack(Console()).run(args)
    System.out.flush()
    exitProcess(status)
}
