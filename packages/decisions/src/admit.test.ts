import { describe, expect, it } from 'vitest'
import { jobView } from '../tests/views.js'
import { MAX_WAITING_JOBS, admit } from './admit.js'
import type { AdmitView, Admission } from './admit.js'

const VIEW: AdmitView = { capacityMilli: 10_000, load: { servedMilli: 5000, queues: [] }, waiting: [], waitingCount: 0 }
/** Work of 200 ms for half of the endpoints. */
const AHEAD = Array.from({ length: 10 }, () => jobView())
const MORE_URGENT = { priority: -1, arrivedMilli: 2500, admittedMilli: 2500, startedMilli: 0, refusedMilli: 0, floorMilli: 0 }

describe('whether a job is taken on', () => {
  const cases: Array<{ name: string, view: Partial<AdmitView>, priority?: number, giveUpAt?: number, expected: Admission }> = [
    { name: 'an idle service takes it', view: {}, expected: { type: 'taken' } },
    { name: 'without endpoints it is refused', view: { capacityMilli: 0 }, expected: { type: 'no_capacity' } },
    { name: 'so it is when too many wait', view: { waitingCount: MAX_WAITING_JOBS }, expected: { type: 'too_many' } },
    { name: 'it may wait for what is ahead', view: { waiting: AHEAD }, expected: { type: 'taken' } },
    { name: 'but not beyond the time at which it would be given up', view: { waiting: AHEAD }, giveUpAt: 199, expected: { type: 'too_late', waitMs: 200 } },
    { name: 'an entry that serves more works its queue off sooner', view: { waiting: AHEAD, load: { servedMilli: 10_000, queues: [] } }, giveUpAt: 100, expected: { type: 'taken' } },
    { name: 'nor if more urgent work keeps arriving', view: { waiting: AHEAD, load: { servedMilli: 5000, queues: [MORE_URGENT] } }, giveUpAt: 399, expected: { type: 'too_late', waitMs: 400 } },
    { name: 'a more urgent job does not wait for these', view: { waiting: AHEAD.map((job) => ({ ...job, priority: 1 })) }, giveUpAt: 1, expected: { type: 'taken' } }
  ]
  it.each(cases)('$name', ({ view, priority = 0, giveUpAt = 200, expected }) => {
    expect(admit(jobView({ priority, shedAt: giveUpAt }), { ...VIEW, ...view })).toEqual(expected)
  })
})
