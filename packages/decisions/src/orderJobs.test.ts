import { describe, expect, it } from 'vitest'
import { jobView } from '../tests/views.js'
import { latestStart, orderJobs } from './orderJobs.js'
import type { JobView } from './types.js'

const NOW = 1000

describe('the order of jobs that wait', () => {
  const cases: Array<{ name: string, jobs: Record<string, Partial<JobView>>, expected: string[] }> = [
    { name: 'the one that must start sooner first', jobs: { young: { dueAt: 1300 }, old: { dueAt: 1200 } }, expected: ['old', 'young'] },
    { name: 'by priority before that', jobs: { low: { dueAt: 1200, priority: 2 }, high: { dueAt: 1300 } }, expected: ['high', 'low'] },
    { name: 'one that cannot be in time any more last', jobs: { late: { dueAt: 1100 }, low: { dueAt: 1300, priority: 2 } }, expected: ['low', 'late'] },
    { name: 'one that has begun is finished, late or not', jobs: { begun: { dueAt: 900, mayHaveRun: 1 }, young: { dueAt: 1300 } }, expected: ['begun', 'young'] },
    { name: 'of late ones the more urgent first', jobs: { low: { dueAt: 900, priority: 2 }, high: { dueAt: 950 } }, expected: ['high', 'low'] }
  ]
  it.each(cases)('$name', ({ jobs, expected }) => {
    const named = Object.entries(jobs).map(([id, job]) => ({ id, ...jobView(job) }))
    expect(orderJobs(named, NOW).map(({ id }) => id)).toEqual(expected)
  })

  it('a run longer than usual is allowed for', () => {
    expect(latestStart({ dueAt: 200, expectedMs: 100 })).toBe(75)
  })
})
