import { createLogger } from './createLogger.js'
import { errorMessage } from './errors.js'

/** Exit codes of the programs. */
export const EXIT_CODES = {
  ok: 0,
  /** A request was refused or a job failed. */
  failed: 1,
  /** A flag, setting or argument is invalid. */
  usage: 2,
  /** The server could not be reached. */
  unreachable: 3,
  /** The program could not start, or failed later. */
  internal: 70,
  /** A graceful stop was ended early and running work was aborted. */
  cut: 75
} as const

/** A program that runs until it is stopped. */
export interface Stoppable {
  /** Stops gracefully; resolves once running work has ended. */
  stop: () => Promise<void>
  /** Ends a graceful stop early by aborting running work; returns what was aborted. */
  cut: () => string[]
}

const log = createLogger('program')

/**
 * Stops a program gracefully on SIGTERM or SIGINT, and then exits. A second
 * signal, or the end of the grace period, aborts what still runs and logs each
 * aborted item.
 *
 * @param program - the running program
 * @param graceMs - grace period in ms
 */
export const runUntilSignal = (program: Stoppable, graceMs: number): void => {
  let stopping = false
  let wasAborted = false

  const cut = (): void => {
    wasAborted = true
    for (const item of program.cut()) log('cut', { item })
  }

  const stop = async (): Promise<void> => {
    const timer = setTimeout(cut, graceMs)
    timer.unref()
    try {
      await program.stop()
      process.exit(wasAborted ? EXIT_CODES.cut : EXIT_CODES.ok)
    } catch (err) {
      log('stop_failed', { error: errorMessage(err) })
      process.exit(EXIT_CODES.internal)
    }
  }

  const onSignal = (): void => {
    if (stopping) return cut()
    stopping = true
    void stop()
  }
  process.on('SIGTERM', onSignal)
  process.on('SIGINT', onSignal)
}
