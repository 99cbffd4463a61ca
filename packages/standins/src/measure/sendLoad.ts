import { setTimeout as sleep } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { callerToken } from '../cluster/cluster.js'
import type { JobOutcome, LoadJob } from './types.js'

const DEADLINE_MS = 60_000

interface Answer {
  state?: string
  reason?: string
  results?: string[]
}

const outcomeOf = (status: number, { state, reason, results }: Answer, tasks: number): string => {
  if (status >= 400) return `refused:${reason}`
  if (status === 202) return 'running'
  if (state !== 'complete') return `failed:${reason}`
  return results?.length === tasks ? 'complete' : 'partial'
}

/** Submits one job to an entry and waits for its answer. */
const sendJob = async (url: string, job: LoadJob, dispatcher: Agent): Promise<JobOutcome> => {
  const tasks = job.taskMs.map((ms, index) => ({
    payload: JSON.stringify({ ms, value: String(index), fail: job.fails }), expectedMs: job.declaredMs[index]
  }))
  const body = JSON.stringify({
    id: job.id, service: job.service ?? 'order-desk', tasks, unrepeatable: job.unrepeatable, deadlineMs: DEADLINE_MS
  })
  const startedAt = performance.now()
  try {
    const res = await request(`${url}/v1/workspaces/${job.workspace}/jobs?waitMs=${DEADLINE_MS}`, {
      method: 'POST', body, dispatcher, headers: { authorization: `Bearer ${callerToken(job.workspace)}` }
    })
    const answer = await res.body.json() as Answer
    return { job, outcome: outcomeOf(res.statusCode, answer, tasks.length), responseMs: performance.now() - startedAt }
  } catch {
    return { job, outcome: 'broken', responseMs: performance.now() - startedAt }
  }
}

/**
 * Submits every job at its time of arrival, whether or not earlier ones were answered (an open load).
 *
 * @param jobs - in order of arrival
 * @param urlOf - base URL of an entry's API
 */
export const sendLoad = async (jobs: LoadJob[], urlOf: (entry: number) => string): Promise<JobOutcome[]> => {
  const dispatcher = new Agent({ connections: 2000, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
  const startedAt = performance.now()
  const outcomes: Promise<JobOutcome>[] = []
  for (const job of jobs) {
    const waitMs = startedAt + job.atMs - performance.now()
    if (waitMs > 0) await sleep(waitMs)
    outcomes.push(sendJob(urlOf(job.entry), job, dispatcher))
  }
  const all = await Promise.all(outcomes)
  await dispatcher.close()
  return all
}
