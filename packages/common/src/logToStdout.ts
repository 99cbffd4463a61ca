import sonicBoom from 'sonic-boom'
import { setLogSink } from './createLogger.js'

/** Buffered log output on standard output. */
export interface LogOutput {
  /** Number of lines dropped because the reader did not keep up, and of failed writes. */
  dropped: () => number
  /** Writes all buffered lines and blocks meanwhile; only for use before the process exits. */
  flush: () => void
}

/** Buffered lines are written once they reach this size. */
const MIN_WRITE_BYTES = 8192
/** Longest time that a line stays in the buffer, in ms. The timer runs only while a line waits, so that an idle process is not woken. */
const FLUSH_DELAY_MS = 250
/** Lines beyond this many buffered bytes are dropped, so that a slow reader costs neither memory nor time. */
const MAX_BUFFERED_BYTES = 1_048_576

/** Redirects all log lines to standard output through a bounded buffer; logging never blocks. */
export const logToStdout = (): LogOutput => {
  const output = new sonicBoom.SonicBoom({ fd: 1, sync: false, minLength: MIN_WRITE_BYTES, maxLength: MAX_BUFFERED_BYTES })
  let dropped = 0
  let flushTimer: NodeJS.Timeout | undefined
  output.on('drop', () => { dropped++ })
  // A write error, such as a closed pipe, cannot be logged anywhere, so it is only counted.
  output.on('error', () => { dropped++ })
  const flush = (): void => {
    flushTimer = undefined
    output.flush()
  }
  setLogSink((line) => {
    output.write(`${line}\n`)
    flushTimer ??= setTimeout(flush, FLUSH_DELAY_MS).unref()
  })
  return {
    dropped: () => dropped,
    flush: () => {
      try {
        output.flushSync()
      } catch {
        dropped++
      }
    }
  }
}
