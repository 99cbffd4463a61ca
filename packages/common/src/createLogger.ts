import createDebug from 'debug'

/** Values that a log line may carry. */
export type LogValue = string | number | bigint | boolean | undefined

/** Writes one line for an event. */
export type Logger = (event: string, fields?: Record<string, LogValue>) => void

/** Receives formatted lines, each without its newline. */
export type LogSink = (line: string) => void

const sinkState: { write: LogSink } = { write: (line) => { process.stderr.write(`${line}\n`) } }

/**
 * Redirects all log lines, which go to standard error by default.
 *
 * @param sink - receives each line; must not block
 */
export const setLogSink = (sink: LogSink): void => { sinkState.write = sink }

const NEEDS_QUOTES = /[\s="\\]/

const formatValue = (value: Exclude<LogValue, undefined>): string => {
  const text = String(value)
  if (typeof value !== 'string') return text
  return text === '' || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text
}

/**
 * Formats an event as a line of key=value pairs.
 *
 * @param event - name of the event
 * @param fields - its details; undefined values are omitted
 */
export const formatLogLine = (event: string, fields: Record<string, LogValue> = {}): string => {
  let line = `event=${formatValue(event)}`
  for (const key of Object.keys(fields)) {
    const value = fields[key]
    if (value !== undefined) line += ` ${key}=${formatValue(value)}`
  }
  return line
}

/**
 * Creates a logger that writes key=value lines through `debug`.
 *
 * @param namespace - the part of the program, without the prefix `hazellift:`
 */
export const createLogger = (namespace: string): Logger => {
  const fullNamespace = `hazellift:${namespace}`
  const debug = createDebug(fullNamespace)
  debug.log = (line: string) => sinkState.write(line)
  return (event, fields) => {
    if (!debug.enabled) return
    // A fixed prefix instead of debug's own keeps lines in key=value format on terminals too.
    debug.log(`time=${new Date().toISOString()} ns=${fullNamespace} ${formatLogLine(event, fields)}`)
  }
}

/**
 * Sets which namespaces are logged.
 *
 * @param namespaces - pattern in the syntax of `debug`; empty disables logging
 */
export const enableLogs = (namespaces: string): void => createDebug.enable(namespaces)
