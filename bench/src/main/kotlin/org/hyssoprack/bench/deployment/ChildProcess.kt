package org.hyssoprack.bench.deployment

import java.nio.file.Path
import java.time.Duration
import java.util.concurrent.TimeUnit

/**
 * A child process of the bench, killed through its handle, at the latest when the bench exits.
 *
 * @param light limits JVM threads and JIT compilation, for stand-ins.
 */
class ChildProcess(
    val name: String,
    mainClass: String,
    arguments: List<String>,
    heapMb: Int,
    val log: Path,
    light: Boolean = false
) {
    private val process = ProcessBuilder(command(mainClass, arguments, heapMb, light))
        .redirectErrorStream(true)
        .redirectOutput(log.toFile())
        .start()
    private val killAtExit = Thread { process.destroyForcibly() }

    init {
        Runtime.getRuntime().addShutdownHook(killAtExit)
    }

    val isAlive: Boolean get() = process.isAlive

    /** CPU time used so far, in milliseconds. */
    val cpuMs: Long get() = process.info().totalCpuDuration().orElse(Duration.ZERO).toMillis()

    /** Kills the process without a shutdown, like a crash. */
    fun kill() {
        process.destroyForcibly()
        process.waitFor(KILL_WAIT_S, TimeUnit.SECONDS)
    }

    private companion object {
        const val KILL_WAIT_S = 5L

        /** Same as in bin/hyssoprackd: more threads would only steal work from each other. */
        val HOST_OPTIONS = listOf(
            "-Dkotlinx.coroutines.scheduler.core.pool.size=4",
            "-Dkotlinx.coroutines.io.parallelism=4"
        )
        val LIGHT_OPTIONS =
            listOf("-XX:ActiveProcessorCount=2", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

        fun command(
            mainClass: String,
            arguments: List<String>,
            heapMb: Int,
            light: Boolean
        ): List<String> {
            val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
            val options = listOf("-XX:+PerfDisableSharedMem", "-Xmx${heapMb}m") +
                (if (light) LIGHT_OPTIONS else HOST_OPTIONS)
            val classPath = listOf("-cp", System.getProperty("java.class.path"))
            return listOf(java) + options + classPath + mainClass + arguments
        }
    }
}
