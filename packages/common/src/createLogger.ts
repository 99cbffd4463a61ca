import createDebug from 'debug'

/** Values that a log line may carry. */
export type LogValue = string | number | bigint | boolean | undefined

/** Writes one line for an event. */
export type Logger = (event: string, fields?: Record<string, LogValue>) => void

/** Takes finished lines, each without its newline. */
export type LogSink = (line: string) => void

const sinkState: { write: LogSink } = { write: (line) => { process.stderr.write(`${line}\n`) } }

/**
 * Sends all log lines elsewhere; they go to standard error at first.
 *
 * @param sink - must not block
 */
export const setLogSink = (sink: LogSink): void => { sinkState.write = sink }

const NEEDS_QUOTES = /[\s="\\]/

const formatValue = (value: Exclude<LogValue, undefined>): string => {
  const text = String(value)
  return text === '' || NEEDS_QUOTES.test(text) ? JSON.stringify(text) : text
}

/**
 * One line of key=value pairs.
 *
 * @param event - name of what happened
 * @param fields - its facts; undefined ones are left out
 */
export const formatLogLine = (event: string, fields: Record<string, LogValue> = {}): string => {
  const pairs = Object.entries(fields).flatMap(([key, value]) =>
    value === undefined ? [] : [`${key}=${formatValue(value)}`])
  return [`event=${formatValue(event)}`, ...pairs].join(' ')
}

/**
 * A logger of key=value lines through `debug`.
 *
 * @param namespace - the part of the program, below `hazellift:`
 */
export const createLogger = (namespace: string): Logger => {
  const fullNamespace = `hazellift:${namespace}`
  const debug = createDebug(fullNamespace)
  debug.log = (line: string) => sinkState.write(line)
  return (event, fields) => {
    if (!debug.enabled) return
    // A fixed prefix instead of debug's own keeps the line pure key=value on terminals too.
    debug.log(`time=${new Date().toISOString()} ns=${fullNamespace} ${formatLogLine(event, fields)}`)
  }
}

/**
 * Chooses what is logged.
 *
 * @param namespaces - in debug's syntax, empty for nothing
 */
export const enableLogs = (namespaces: string): void => createDebug.enable(namespaces)
