package org.hyssoprack.explain

import arrow.core.Either
import arrow.core.raise.either
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.useLines
import org.hyssoprack.common.Failure
import org.hyssoprack.common.ResultCode

/** Reads the log files of hosts. */
object HostLogReader {
    /** Returns all events in [files]. Fails with SETTINGS_INVALID if one cannot be read. */
    fun read(files: List<Path>): Either<Failure, List<HostEvent>> = either {
        files.flatMap { file ->
            Either.catchOrThrow<IOException, List<HostEvent>> {
                file.useLines { lines -> lines.mapNotNull { HostEvent.parse(it) }.toList() }
            }.mapLeft {
                Failure(ResultCode.SETTINGS_INVALID, "the file $file cannot be read: ${it.message}")
            }.bind()
        }
    }
}
