import { orderJobs } from '@hazellift/decisions'
import { describe, expect, it } from 'vitest'
import { createLeasedJob } from './leasedJob.js'
import type { LeasedJob } from './leasedJob.js'
import { LeasedQueue } from './leasedQueue.js'

const NOW = 1000

interface Case {
  /** When it arrived, in ms before now. */
  ageMs: number
  priority?: number
  expectedMs?: number
  /** Starts sent and not proved void. */
  mayHaveRun?: number
}

/** Its answer is in time within 260 ms with the default run time. */
const jobOf = (id: string, { ageMs, priority = 0, expectedMs = 100, mayHaveRun = 0 }: Case): LeasedJob => ({
  ...createLeasedJob({
    workspace: 'w',
    id,
    requestId: '',
    service: 's',
    payload: '',
    count: 1,
    need: { cpuMilli: 1, memoryMb: 1 },
    estimateMs: 0,
    kind: 'k',
    priority,
    attempts: 1,
    objective: { stretch: 2, slackMs: 75, lateFactor: 3 },
    deadlineMs: 5000
  }, NOW - ageMs, expectedMs, () => {}),
  mayHaveRun
})

describe('the order of jobs that wait', () => {
  const cases: Array<{ name: string, jobs: Record<string, Case>, expected: string[] }> = [
    { name: 'the one that must start sooner first', jobs: { young: { ageMs: 0 }, old: { ageMs: 50 } }, expected: ['old', 'young'] },
    { name: 'by priority before that', jobs: { low: { ageMs: 50, priority: 2 }, high: { ageMs: 0 } }, expected: ['high', 'low'] },
    { name: 'one that cannot be in time any more last', jobs: { late: { ageMs: 170 }, low: { ageMs: 0, priority: 2 } }, expected: ['low', 'late'] },
    { name: 'one that could only just be in time counts as late', jobs: { close: { ageMs: 145 }, low: { ageMs: 0, priority: 2 } }, expected: ['low', 'close'] },
    { name: 'one of which a task was started is finished, late or not', jobs: { begun: { ageMs: 400, mayHaveRun: 1 }, young: { ageMs: 0 } }, expected: ['begun', 'young'] }
  ]
  it.each(cases)('$name', ({ jobs, expected }) => {
    const queue = new LeasedQueue(orderJobs)
    for (const [id, given] of Object.entries(jobs)) queue.add(jobOf(id, given))
    expect(queue.inOrder(NOW).map(({ id }) => id)).toEqual(expected)
  })
})
