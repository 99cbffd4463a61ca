import { createLogger } from './createLogger.js'
import { errorMessage } from './errors.js'

/** Exit codes of the programs. */
export const EXIT_CODES = {
  ok: 0,
  /** A request was refused, or a job failed. */
  failed: 1,
  /** A flag, setting or argument is wrong. */
  usage: 2,
  /** The server could not be reached. */
  unreachable: 3,
  /** The program could not start or broke down. */
  internal: 70,
  /** A stop was cut before running work had ended. */
  cut: 75
} as const

/** A program that runs until it is stopped. */
export interface Stoppable {
  stop: () => Promise<void>
  /** Ends a graceful stop early; names what is cut. */
  cut: () => string[]
}

const log = createLogger('program')

/**
 * Stops a program on SIGTERM or SIGINT. A second signal, or the end of the
 * grace time, cuts what still runs, with a line for each thing cut.
 *
 * @param program - what runs
 * @param graceMs - longest graceful stop, in ms
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
