import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

/** A child process that a test or measurement started. */
export interface Program {
  name: string
  pid: number
  /** The key=value pairs that it printed on its first line, such as the addresses it listens on. */
  startupInfo: Record<string, string>
  kill: (signal: NodeJS.Signals) => void
  /** Resolves with its exit code, or null if a signal ended it. */
  exited: Promise<number | null>
  isRunning: () => boolean
  /** The most recent lines that it wrote to stderr, at most `MAX_LOG_LINES`. */
  logLines: () => string[]
}

/** Options of {@link startProgram}. */
export interface ProgramOptions {
  name: string
  script: string
  args: string[]
  env?: Record<string, string>
  /** Flags for Node.js itself. */
  nodeArgs?: string[]
}

const MAX_LOG_LINES = 2000
const START_TIMEOUT_MS = 20_000

const parseStartupInfo = (line: string): Record<string, string> =>
  Object.fromEntries(line.split(' ').filter((pair) => pair.includes('=')).map((pair) => {
    const index = pair.indexOf('=')
    return [pair.slice(0, index), pair.slice(index + 1)]
  }))

const readFirstLine = (child: ChildProcess, name: string, log: string[]): Promise<string> => new Promise((resolve, reject) => {
  const timer = setTimeout(() => reject(new Error(`${name} printed no first line within ${START_TIMEOUT_MS} ms:\n${log.join('\n')}`)), START_TIMEOUT_MS)
  createInterface({ input: child.stdout! }).once('line', (line) => {
    clearTimeout(timer)
    resolve(line)
  })
  child.once('exit', (code) => {
    clearTimeout(timer)
    reject(new Error(`${name} exited with ${code} before its first line:\n${log.join('\n')}`))
  })
})

/**
 * Starts a program with Node.js and waits for its first line, which it prints once it listens.
 *
 * @param options - script, arguments and environment
 * @throws Error with the log if the program exits or prints nothing within `START_TIMEOUT_MS`
 */
export const startProgram = async ({ name, script, args, env, nodeArgs = [] }: ProgramOptions): Promise<Program> => {
  const child = spawn(process.execPath, [...nodeArgs, script, ...args], {
    env: { ...process.env, ...env },
    stdio: ['ignore', 'pipe', 'pipe']
  })
  const log: string[] = []
  createInterface({ input: child.stderr! }).on('line', (line) => {
    log.push(line)
    if (log.length > MAX_LOG_LINES) log.shift()
  })
  const exited = new Promise<number | null>((resolve) => { child.once('exit', (code) => resolve(code)) })
  const startupInfo = parseStartupInfo(await readFirstLine(child, name, log))
  return {
    name,
    pid: child.pid!,
    startupInfo,
    kill: (signal) => { child.kill(signal) },
    exited,
    isRunning: () => child.exitCode === null && child.signalCode === null,
    logLines: () => [...log]
  }
}
