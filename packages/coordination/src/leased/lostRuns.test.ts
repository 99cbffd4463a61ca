import { describe, expect, it } from 'vitest'
import { createFakeClock } from '../../tests/fakeClock.js'
import { STEP_MS, flushPromises } from '../../tests/leased/advanceTime.js'
import { EndpointSupervisor } from './endpointSupervisor.js'
import type { AttemptOutcome } from './inFlightRun.js'
import type { PollOutcome, StartOutcome } from './types.js'

const TIMES = { entryLeaseMs: 600, runLeaseMs: 500, stopMs: 50, clockFactor: 1.02 }
const CAPACITY = { cpuMilli: 4000, memoryMb: 4000 }
const NEED = { cpuMilli: 1000, memoryMb: 64 }
const POLL_MS = 20
const TEST_MS = 400
const SUBMISSION = 'job'

const UNANSWERED: StartOutcome = { type: 'unknown' }
const STARTED: StartOutcome = { type: 'started' }
const GONE: PollOutcome & StartOutcome = { type: 'gone' }
const EMPTY: PollOutcome = { type: 'listed', running: [], ended: [] }
const RUNNING: PollOutcome = { type: 'listed', running: [{ submission: SUBMISSION, index: 0, run: 1 }], ended: [] }

/** Orders one run at an endpoint that answers as scripted, and returns how it terminated. The last outcome of each script repeats. */
const runScripted = async (starts: Array<StartOutcome | 'pending'>, polls: PollOutcome[]): Promise<AttemptOutcome | undefined> => {
  const clock = createFakeClock()
  const next = <T>(script: T[]): T => script.length > 1 ? script.shift()! : script[0]!
  let isOrdered = false
  const supervisor = new EndpointSupervisor({
    clock,
    endpoint: {
      start: async () => {
        const outcome = next(starts)
        if (outcome === 'pending') return new Promise(() => {})
        await clock.sleep(STEP_MS)
        return outcome
      },
      stop: async () => false,
      poll: async () => {
        if (!isOrdered) return EMPTY
        await clock.sleep(POLL_MS)
        return next(polls)
      }
    },
    capacity: CAPACITY,
    times: TIMES,
    pollWaitMs: 100,
    beforeRenewal: () => {},
    mayStart: () => true,
    onCapacityFreed: () => {},
    onReady: () => {},
    endReason: () => 'endpoint_crashed',
    onGone: () => {},
    log: () => {}
  })
  await flushPromises()
  isOrdered = true
  const task: { outcome?: AttemptOutcome } = {}
  supervisor.start(SUBMISSION, 0, '', NEED, (outcome) => { task.outcome = outcome })
  for (let passedMs = 0; passedMs < TEST_MS && task.outcome === undefined; passedMs += STEP_MS) {
    await flushPromises()
    clock.advance(STEP_MS)
  }
  return task.outcome
}

// Guards against a crash that is put down to a task which had not begun at the endpoint, or had perhaps not.
describe('a run whose endpoint restarts', () => {
  const crashed = { type: 'lost', reason: 'endpoint_crashed' }
  const crashedAtStart = { type: 'lost', reason: 'endpoint_crashed_at_start' }
  const cases: Array<{ name: string, starts: Array<StartOutcome | 'pending'>, polls: PollOutcome[], expected: object }> = [
    { name: 'the start was answered', starts: [STARTED], polls: [RUNNING, GONE], expected: crashed },
    { name: 'the start was answered, and no poll has listed the run', starts: [STARTED], polls: [GONE], expected: crashed },
    { name: 'the start was not answered, but a poll lists the run', starts: ['pending'], polls: [RUNNING, GONE], expected: crashed },
    { name: 'the start was not answered, and its repetition finds the run', starts: [UNANSWERED, { type: 'number_used' }], polls: [EMPTY, GONE], expected: crashed },
    { name: 'the next incarnation refuses the only copy of the start', starts: [GONE], polls: [EMPTY], expected: { type: 'not_started', reason: 'endpoint_gone' } },
    { name: 'the start was lost, and a poll finds the next incarnation', starts: ['pending'], polls: [GONE], expected: crashedAtStart },
    { name: 'the start was lost, and the next incarnation refuses its repetition', starts: [UNANSWERED, GONE], polls: [EMPTY], expected: crashedAtStart }
  ]
  it.each(cases)('$name', async ({ starts, polls, expected }) => {
    expect(await runScripted(starts, polls)).toEqual(expected)
  })
})
