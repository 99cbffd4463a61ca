import sonicBoom from 'sonic-boom'
import { setLogSink } from './createLogger.js'

/** Log lines on their way to standard output. */
export interface LogOutput {
  /** Lines dropped so far, as the reader did not keep up. */
  dropped: () => number
  /** Writes what is left, blocking; for the end of the process only. */
  flush: () => void
}

/** Lines are written together once there are so many bytes of them. */
const MIN_WRITE_BYTES = 8192
/** Longest time that a line waits for others, in ms. Only a line that waits sets a timer: a quiet process is not woken. */
const FLUSH_DELAY_MS = 250
/** Lines beyond this many waiting bytes are dropped: a slow reader must not cost memory or time. */
const MAX_BUFFERED_BYTES = 1_048_576

/** Sends all log lines to standard output through a bounded buffer; writing never blocks. */
export const logToStdout = (): LogOutput => {
  const output = new sonicBoom.SonicBoom({ fd: 1, sync: false, minLength: MIN_WRITE_BYTES, maxLength: MAX_BUFFERED_BYTES })
  let dropped = 0
  let flushTimer: NodeJS.Timeout | undefined
  output.on('drop', () => { dropped++ })
  // Without a reader there is nobody to tell; the drops are counted.
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
