import { setTimeout as sleep } from 'node:timers/promises'
import { Cluster, callerToken } from '@hazellift/standins'
import type { ClusterOptions } from '@hazellift/standins'
import { afterAll, afterEach, beforeAll, expect } from 'vitest'
import { describeFailure, recordReply } from './failureReport.js'

/** An HTTP response about a job. `status` is 0 if the connection failed; fields that the body lacks are empty. */
export interface JobReply {
  status: number
  state: string
  reason: string
  run: string
  message: string
  results: string[]
  retryAfterMs: number
}

/** A job submission; a missing service or task list gets a default. */
export interface TestJob {
  id: string
  service?: string
  tasks?: object[]
  unrepeatable?: boolean
  deadlineMs?: number
  firstAttempt?: boolean
  labels?: Record<string, string>
}

/** Entry (by index, 0 by default) and workspace to address, and how long the entry may wait for an answer. */
export interface SubmitOptions {
  entry?: number
  workspace?: string
  waitMs?: number
}

/** Creates tasks that run for `ms` each and return their index. */
export const createTasks = (count: number, ms: number): object[] =>
  Array.from({ length: count }, (_, index) => ({ payload: JSON.stringify({ ms, value: String(index) }) }))

const DEFAULT_WAIT_MS = 30_000

const NO_ANSWER: JobReply = { status: 0, state: '', reason: '', run: '', message: '', results: [], retryAfterMs: 0 }

/** Sends a request and returns its reply; a failed connection is returned as status 0 with the error as message. */
export const call = async (url: string, init: RequestInit, token: string): Promise<JobReply> => {
  const startedAt = performance.now()
  const reply = await fetchReply(url, init, token)
  recordReply(`${init.method ?? 'GET'} ${url}`, performance.now() - startedAt, reply)
  return reply
}

const fetchReply = async (url: string, init: RequestInit, token: string): Promise<JobReply> => {
  try {
    const res = await fetch(url, { ...init, headers: { authorization: `Bearer ${token}`, ...init.headers } })
    return { ...NO_ANSWER, ...await res.json() as object, status: res.status }
  } catch (err) {
    return { ...NO_ANSWER, message: String(err) }
  }
}

const jobsUrl = (cluster: Cluster, { entry = 0, workspace = 'florist' }: SubmitOptions): string =>
  `${cluster.apiUrl(entry)}/v1/workspaces/${workspace}/jobs`

/** Submits a job and waits for its answer, at most `waitMs`. */
export const submit = (cluster: Cluster, job: TestJob, options: SubmitOptions = {}): Promise<JobReply> => {
  const body = JSON.stringify({ service: 'order-desk', tasks: createTasks(1, 10), ...job })
  const url = `${jobsUrl(cluster, options)}?waitMs=${options.waitMs ?? DEFAULT_WAIT_MS}`
  return call(url, { method: 'POST', body }, callerToken(options.workspace ?? 'florist'))
}

/** Gets the state of a job, waiting at most `waitMs` for its answer. */
export const getJob = (cluster: Cluster, id: string, options: SubmitOptions = {}): Promise<JobReply> =>
  call(`${jobsUrl(cluster, options)}/${id}?waitMs=${options.waitMs ?? DEFAULT_WAIT_MS}`, {}, callerToken(options.workspace ?? 'florist'))

/** Cancels a job and returns its final state. */
export const cancel = (cluster: Cluster, id: string, options: SubmitOptions = {}): Promise<JobReply> =>
  call(`${jobsUrl(cluster, options)}/${id}`, { method: 'DELETE' }, callerToken(options.workspace ?? 'florist'))

/** Submits a job at the given entries in turn until one returns its final answer (status 200). Throws after `timeoutMs`. */
export const submitUntilFinal = async (cluster: Cluster, job: TestJob, entries: number[], timeoutMs = 40_000): Promise<JobReply> => {
  const until = Date.now() + timeoutMs
  for (let attempt = 0; Date.now() < until; attempt++) {
    const reply = await submit(cluster, job, { entry: entries[attempt % entries.length]!, waitMs: 5000 })
    if (reply.status === 200) return reply
    await sleep(200)
  }
  throw new Error(`no final answer for job ${job.id} from entries ${entries.join(', ')} within ${timeoutMs} ms`)
}

/** Keys of the tasks of a job that any endpoint started. */
export const startsOf = (cluster: Cluster, id: string): string[] =>
  cluster.startedKeys().filter((key) => key.split('/')[1] === id)

/** Entry flags with short time limits, so that failures are detected and resolved within a test. */
export const QUICK_ENTRY_ARGS = [
  '--heartbeat-ms', '300', '--stale-after-ms', '1500', '--keep-alive-ms', '200', '--session-timeout-ms', '1000',
  '--resume-window-ms', '2000', '--store-timeout-ms', '500', '--claim-timeout-ms', '1500'
]
/** Agent flags with short time limits, for the same purpose as QUICK_ENTRY_ARGS. */
export const QUICK_AGENT_ARGS = [
  '--keep-alive-ms', '200', '--session-timeout-ms', '1000', '--start-age-ms', '1500', '--endpoint-silence-ms', '1500'
]

/** Starts one cluster for all tests of a file and stops it after them. */
export const useCluster = (options: Partial<ClusterOptions> = {}): () => Cluster => {
  let cluster: Cluster | undefined
  beforeAll(async () => {
    cluster = await Cluster.start({
      entries: 2, workers: 3, entryArgs: QUICK_ENTRY_ARGS, agentArgs: QUICK_AGENT_ARGS, ...options
    })
  })
  afterEach(async ({ task }) => {
    if (task.result?.state === 'fail' && cluster !== undefined) console.error(await describeFailure(cluster))
  })
  afterAll(async () => { await cluster?.stop() })
  return () => cluster!
}

/** Runs a test against its own cluster and checks afterwards that no task started twice. `more` overrides the runner's options. */
export type ClusterRunner = (run: (cluster: Cluster) => Promise<void>, more?: Partial<ClusterOptions>) => Promise<void>

/**
 * Creates a runner for tests that inject faults into their own cluster.
 *
 * @param options - options of each cluster, beside the short time limits
 */
export const clusterRunner = (options: Partial<ClusterOptions> = {}): ClusterRunner => async (run, more = {}) => {
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
  } catch (err) {
    console.error(await describeFailure(cluster))
    throw err
  } finally {
    await cluster.stop()
  }
}
