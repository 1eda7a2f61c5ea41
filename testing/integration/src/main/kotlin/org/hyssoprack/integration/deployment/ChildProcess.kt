package org.hyssoprack.integration.deployment

import java.io.File
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** One JVM started by a test, with its output in a file; it is signalled by its id. */
class ChildProcess private constructor(
    val name: String,
    val output: Path,
    private val process: Process
) {
    val isAlive: Boolean get() = process.isAlive

    /** Asks the process to stop and returns at once. */
    fun terminate() = signal("TERM")

    /** Stops the process from running until [resume]. */
    fun pause() = signal("STOP")

    /** Lets a paused process run on. */
    fun resume() = signal("CONT")

    /** Ends the process at once. */
    fun kill() {
        signal("KILL")
        process.waitFor()
    }

    /** True if the process ended by itself within [timeoutMs] milliseconds. */
    fun awaitEnd(timeoutMs: Long): Boolean = process.waitFor(timeoutMs, TimeUnit.MILLISECONDS)

    private fun signal(name: String) {
        if (!process.isAlive) return
        ProcessBuilder("kill", "-$name", process.pid().toString())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start()
            .waitFor()
    }

    companion object {
        private val COMMON_FLAGS = listOf(
            "-XX:+PerfDisableSharedMem",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto"
        )

        /** Starts [mainClass] on [classPath]. Output is added to a file. */
        fun start(
            name: String,
            mainClass: String,
            args: List<String>,
            directory: Path,
            heapMb: Int,
            classPath: String = ownClassPath()
        ): ChildProcess {
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val command = listOf(java) + COMMON_FLAGS +
                listOf("-Xmx${heapMb}m", "-cp", classPath, mainClass) + args
            val output = directory.resolve("$name.log")
            val process = ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(File(output.toString())))
                .start()
            return ChildProcess(name = name, output = output, process = process)
        }

        /** The class path of this JVM. */
        fun ownClassPath(): String = System.getProperty("surefire.real.class.path")
            ?: System.getProperty("java.class.path")
    }
}
