import type { FakeClock } from '../fakeClock.js'
import type { FakeEndpoint } from './fakeEndpoint.js'

/** Step by which time advances; a fake endpoint ends its runs this often. */
export const STEP_MS = 5

/** Runs pending callbacks and promises without advancing the clock. */
export const flushPromises = async (): Promise<void> => { for (let i = 0; i < 4; i++) await new Promise((resolve) => setImmediate(resolve)) }

/** Advances time in steps and runs what falls due, at the endpoint first. */
export const advanceTime = async (clock: FakeClock, endpoint: Pick<FakeEndpoint, 'tick'>, ms: number): Promise<void> => {
  for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
    endpoint.tick()
    await flushPromises()
    clock.advance(STEP_MS)
    await flushPromises()
  }
}
