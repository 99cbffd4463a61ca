import { ResponseTimes } from '@hazellift/coordination'
import type { PollOutcome, LeasedEndpoint, StartOutcome } from '@hazellift/coordination'
import type { LabEndpoint } from './labEndpoint.js'
import type { LabProcess } from './labProcess.js'

/** Processor time of a call at the agent, by a profile of the platform's adapter: sending and reading, each. */
const CALL_CPU_MS = 0.08
/** Way to the endpoint beside it, and back, each. */
const ONE_WAY_MS = 0.3

/**
 * An agent's calls to one life of its endpoint, with the time limits that it learns.
 *
 * @param process - the agent's
 * @param endpoint - the life beside it
 * @param onUnanswered - told of each call without an answer: it cost a connection
 */
export const createLabEndpointClient = (process: LabProcess, endpoint: LabEndpoint, onUnanswered: () => void): LeasedEndpoint => {
  const times = new ResponseTimes()

  const call = <T>(unanswered: T, waitMs: number, send: (answer: (outcome: T) => void) => void): Promise<T> => new Promise((resolve) => {
    const sentAt = process.clock.now()
    let isLate = false
    const cancelLimit = process.clock.after(waitMs + times.limitMs, () => {
      isLate = true
      times.onLost()
      onUnanswered()
      resolve(unanswered)
    })
    const onAnswer = (outcome: T): void => process.execute(CALL_CPU_MS, () => {
      cancelLimit()
      const ms = process.clock.now() - sentAt
      if (ms >= waitMs) times.observe(ms - waitMs)
      if (!isLate) resolve(outcome)
    })
    process.execute(CALL_CPU_MS, () => {
      process.clock.after(ONE_WAY_MS, () => send((outcome) => process.clock.after(ONE_WAY_MS, () => onAnswer(outcome))))
    })
  })

  return {
    start: (order) => call<StartOutcome>({ type: 'unknown' }, 0, (answer) => endpoint.start(order, process.clock.now(), answer)),
    stop: (run) => call(false, 0, (answer) => endpoint.stop(run, answer)),
    poll: (order) => call<PollOutcome>({ type: 'unknown' }, order.waitMs, (answer) => endpoint.poll(order, process.clock.now(), answer))
  }
}
