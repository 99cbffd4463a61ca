import { describe, expect, it } from 'vitest'
import { jobView } from '../tests/views.js'
import { latestStart, orderJobs } from './orderJobs.js'
import type { JobView } from './types.js'

const NOW = 1000

describe('orderJobs', () => {
  const cases: Array<{ name: string, jobs: Record<string, Partial<JobView>>, expected: string[] }> = [
    { name: 'the job that must start sooner goes first', jobs: { young: { dueAt: 1300 }, old: { dueAt: 1200 } }, expected: ['old', 'young'] },
    { name: 'a more urgent priority goes before an earlier start', jobs: { low: { dueAt: 1200, priority: 2 }, high: { dueAt: 1300 } }, expected: ['high', 'low'] },
    { name: 'a job that can no longer be in time goes last', jobs: { late: { dueAt: 1100 }, low: { dueAt: 1300, priority: 2 } }, expected: ['low', 'late'] },
    { name: 'a job that has begun is finished first, late or not', jobs: { begun: { dueAt: 900, mayHaveRun: 1 }, young: { dueAt: 1300 } }, expected: ['begun', 'young'] },
    { name: 'of late jobs the more urgent one goes first', jobs: { low: { dueAt: 900, priority: 2 }, high: { dueAt: 950 } }, expected: ['high', 'low'] }
  ]
  it.each(cases)('$name', ({ jobs, expected }) => {
    const named = Object.entries(jobs).map(([id, job]) => ({ id, ...jobView(job) }))
    expect(orderJobs(named, NOW).map(({ id }) => id)).toEqual(expected)
  })

  it('the latest start allows for a run longer than expected', () => {
    expect(latestStart({ dueAt: 200, expectedMs: 100 })).toBe(75)
  })
})
