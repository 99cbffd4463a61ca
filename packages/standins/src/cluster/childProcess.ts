import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

/** A program started by a test or trial. */
export interface Program {
  name: string
  pid: number
  /** What it printed on its first line, as key=value pairs. */
  startupInfo: Record<string, string>
  kill: (signal: NodeJS.Signals) => void
  /** Resolves with its exit code; null if a signal ended it. */
  exited: Promise<number | null>
  isRunning: () => boolean
  /** The last lines of its log. */
  logLines: () => string[]
}

/** How a program is started. */
export interface ProgramOptions {
  name: string
  script: string
  args: string[]
  env?: Record<string, string>
  /** Extra flags for Node.js. */
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
  const timer = setTimeout(() => reject(new Error(`${name} did not start in time:\n${log.join('\n')}`)), START_TIMEOUT_MS)
  createInterface({ input: child.stdout! }).once('line', (line) => {
    clearTimeout(timer)
    resolve(line)
  })
  child.once('exit', (code) => {
    clearTimeout(timer)
    reject(new Error(`${name} exited with ${code}:\n${log.join('\n')}`))
  })
})

/**
 * Starts a program and waits for its first line.
 *
 * @param options - script, arguments and environment
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
  const facts = parseStartupInfo(await readFirstLine(child, name, log))
  return {
    name,
    pid: child.pid!,
    startupInfo: facts,
    kill: (signal) => { child.kill(signal) },
    exited,
    isRunning: () => child.exitCode === null && child.signalCode === null,
    logLines: () => [...log]
  }
}
