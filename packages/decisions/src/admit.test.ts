import { describe, expect, it } from 'vitest'
import { jobView } from '../tests/views.js'
import { MAX_WAITING_JOBS, admit } from './admit.js'
import type { AdmitView, Admission } from './admit.js'

const VIEW: AdmitView = { capacityMilli: 10_000, load: { servedMilli: 5000, queues: [] }, waiting: [], waitingCount: 0 }
/** Work that takes 200 ms at the rate of VIEW, which is half of the endpoints. */
const AHEAD = Array.from({ length: 10 }, () => jobView())
const MORE_URGENT = { priority: -1, arrivedMilli: 2500, admittedMilli: 2500, startedMilli: 0, refusedMilli: 0, floorMilli: 0 }

describe('admit', () => {
  const cases: Array<{ name: string, view: Partial<AdmitView>, priority?: number, shedAt?: number, expected: Admission }> = [
    { name: 'an idle service admits a job', view: {}, expected: { type: 'taken' } },
    { name: 'without endpoints a job is refused', view: { capacityMilli: 0 }, expected: { type: 'no_capacity' } },
    { name: 'at the limit of waiting jobs a job is refused', view: { waitingCount: MAX_WAITING_JOBS }, expected: { type: 'too_many' } },
    { name: 'a job that would wait until its shed time is admitted', view: { waiting: AHEAD }, expected: { type: 'taken' } },
    { name: 'a job that would wait beyond its shed time is refused', view: { waiting: AHEAD }, shedAt: 199, expected: { type: 'too_late', waitMs: 200 } },
    { name: 'an entry that serves more admits a job with an earlier shed time', view: { waiting: AHEAD, load: { servedMilli: 10_000, queues: [] } }, shedAt: 100, expected: { type: 'taken' } },
    { name: 'a job that would wait too long because more urgent work keeps arriving is refused', view: { waiting: AHEAD, load: { servedMilli: 5000, queues: [MORE_URGENT] } }, shedAt: 399, expected: { type: 'too_late', waitMs: 400 } },
    { name: 'a more urgent job does not wait for the others', view: { waiting: AHEAD.map((job) => ({ ...job, priority: 1 })) }, shedAt: 1, expected: { type: 'taken' } }
  ]
  it.each(cases)('$name', ({ view, priority = 0, shedAt = 200, expected }) => {
    expect(admit(jobView({ priority, shedAt }), { ...VIEW, ...view })).toEqual(expected)
  })
})
