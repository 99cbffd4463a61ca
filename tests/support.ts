import { setTimeout as sleep } from 'node:timers/promises'
import { Cluster, callerToken } from '@hazellift/standins'
import type { ClusterOptions } from '@hazellift/standins'
import { afterAll, beforeAll, expect } from 'vitest'

/** What a caller was told about a job. */
export interface Told {
  status: number
  state: string
  reason: string
  run: string
  message: string
  results: string[]
  retryAfterMs: number
}

/** What a test submits. */
export interface TestJob {
  id: string
  service?: string
  tasks?: object[]
  unrepeatable?: boolean
  deadlineMs?: number
  firstAttempt?: boolean
  labels?: Record<string, string>
}

/** Options of one submission. */
export interface SubmitOptions {
  entry?: number
  workspace?: string
  waitMs?: number
}

/** Tasks that take `ms` each. */
export const tasksOf = (count: number, ms: number): object[] =>
  Array.from({ length: count }, (_, index) => ({ payload: JSON.stringify({ ms, value: String(index) }) }))

const DEFAULT_WAIT_MS = 30_000

const NO_ANSWER: Told = { status: 0, state: '', reason: '', run: '', message: '', results: [], retryAfterMs: 0 }

/** Sends a request; a connection that breaks is told as status 0. */
export const call = async (url: string, init: RequestInit, token: string): Promise<Told> => {
  try {
    const res = await fetch(url, { ...init, headers: { authorization: `Bearer ${token}`, ...init.headers } })
    return { ...NO_ANSWER, ...await res.json() as object, status: res.status }
  } catch (err) {
    return { ...NO_ANSWER, message: String(err) }
  }
}

const jobsUrl = (cluster: Cluster, { entry = 0, workspace = 'florist' }: SubmitOptions): string =>
  `${cluster.apiUrl(entry)}/v1/workspaces/${workspace}/jobs`

/** Submits a job. */
export const submit = (cluster: Cluster, job: TestJob, options: SubmitOptions = {}): Promise<Told> => {
  const body = JSON.stringify({ service: 'order-desk', tasks: tasksOf(1, 10), ...job })
  const url = `${jobsUrl(cluster, options)}?waitMs=${options.waitMs ?? DEFAULT_WAIT_MS}`
  return call(url, { method: 'POST', body }, callerToken(options.workspace ?? 'florist'))
}

/** Asks for a job. */
export const ask = (cluster: Cluster, id: string, options: SubmitOptions = {}): Promise<Told> =>
  call(`${jobsUrl(cluster, options)}/${id}?waitMs=${options.waitMs ?? DEFAULT_WAIT_MS}`, {}, callerToken(options.workspace ?? 'florist'))

/** Cancels a job. */
export const cancel = (cluster: Cluster, id: string, options: SubmitOptions = {}): Promise<Told> =>
  call(`${jobsUrl(cluster, options)}/${id}`, { method: 'DELETE' }, callerToken(options.workspace ?? 'florist'))

/** Submits again, at any entry that answers, until there is a final answer. */
export const submitUntilFinal = async (cluster: Cluster, job: TestJob, entries: number[], timeoutMs = 40_000): Promise<Told> => {
  const until = Date.now() + timeoutMs
  for (let attempt = 0; Date.now() < until; attempt++) {
    const told = await submit(cluster, job, { entry: entries[attempt % entries.length]!, waitMs: 5000 })
    if (told.status === 200) return told
    await sleep(200)
  }
  throw new Error(`no final answer for ${job.id}`)
}

/** The tasks of a job that some endpoint started. */
export const startsOf = (cluster: Cluster, id: string): string[] =>
  cluster.startedKeys().filter((key) => key.split('/')[1] === id)

/** Short time limits, so that failures are noticed and resolved within a test. */
export const QUICK_ENTRY_ARGS = [
  '--heartbeat-ms', '300', '--stale-after-ms', '1500', '--keep-alive-ms', '200', '--session-timeout-ms', '1000',
  '--resume-window-ms', '2000', '--store-timeout-ms', '500', '--claim-timeout-ms', '1500'
]
/** The same for agents. */
export const QUICK_AGENT_ARGS = [
  '--keep-alive-ms', '200', '--session-timeout-ms', '1000', '--start-age-ms', '1500', '--endpoint-silence-ms', '1500'
]

/** A cluster that lives for the tests of one file. */
export const useCluster = (options: Partial<ClusterOptions> = {}): () => Cluster => {
  let cluster: Cluster | undefined
  beforeAll(async () => {
    cluster = await Cluster.start({
      entries: 2, workers: 3, entryArgs: QUICK_ENTRY_ARGS, agentArgs: QUICK_AGENT_ARGS, ...options
    })
  })
  afterAll(async () => { await cluster?.stop() })
  return () => cluster!
}

/** Runs a test against a cluster of its own, and checks at its end that no task started twice. */
export type WithCluster = (run: (cluster: Cluster) => Promise<void>, more?: Partial<ClusterOptions>) => Promise<void>

/**
 * Makes a runner of tests that break their cluster.
 *
 * @param options - what each cluster is made of
 */
export const clusterRunner = (options: Partial<ClusterOptions> = {}): WithCluster => async (run, more = {}) => {
  const { entryArgs = [], agentArgs = [], ...others } = { ...options, ...more }
  const cluster = await Cluster.start({
    entries: 2,
    workers: 3,
    slots: 4,
    ...others,
    entryArgs: [...QUICK_ENTRY_ARGS, ...entryArgs],
    agentArgs: [...QUICK_AGENT_ARGS, ...agentArgs]
  })
  try {
    await run(cluster)
    expect(cluster.startedTwice()).toEqual([])
  } finally {
    await cluster.stop()
  }
}
