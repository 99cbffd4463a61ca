import { seededRandom } from '@hazellift/common'
import { REASONS } from '@hazellift/protocol'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { overlappingRuns } from './fakeEndpoint.js'
import type { CrashMode } from './fakeEndpoint.js'
import { LeasedNetwork } from './leasedNetwork.js'

const JOIN_MS = 500
/** From the end of a connection until a caller sends again. */
const RESEND_MS = 1300
const PATIENT = { objective: { stretch: 20, slackMs: 8000, lateFactor: 3 }, deadlineMs: 12_000 }
/** By the users' terms this many starts after the third crash are one too many. */
const BROKEN_AFTER = 3

const isBad = (submission: string): boolean => submission.startsWith('bad')

const started = async (entries: number, agents: number): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(entries, agents)
  await network.advance(JOIN_MS)
  return network
}

/** Starts of each task after three endpoints have crashed under it. */
const startsAfterThird = ({ runEvents }: LeasedNetwork): number[] =>
  [...new Set(runEvents.map(({ name }) => name))].map((task) => {
    const events = runEvents.filter(({ name }) => name === task)
    const third = events.filter(({ what }) => what === 'crash')[2]
    return third === undefined ? 0 : events.slice(events.indexOf(third)).filter(({ what }) => what === 'start').length
  })

const crashesOf = ({ runEvents }: LeasedNetwork, task: string): number => runEvents.filter(({ what, name }) => what === 'crash' && name === task).length

describe('a task that crashes the endpoints that start it', () => {
  const cases: Array<{ name: string, down: CrashMode, afterMs: number, backMs: number, crashes: number }> = [
    { name: 'at once, and connections are refused', down: 'refused', afterMs: 0, backMs: 3000, crashes: 2 },
    { name: 'after a while, and connections are refused', down: 'refused', afterMs: 70, backMs: 3000, crashes: 2 },
    { name: 'and it is back soon', down: 'refused', afterMs: 20, backMs: 200, crashes: 2 },
    { name: 'and calls are not answered until it is back', down: 'silent', afterMs: 20, backMs: 400, crashes: 2 },
    { name: 'and calls are not answered for long', down: 'silent', afterMs: 20, backMs: 6000, crashes: 5 },
    { name: 'and calls hang until it is back', down: 'stuck', afterMs: 20, backMs: 500, crashes: 2 }
  ]
  it.each(cases)('$name: its job is failed, clearly and for good', async ({ down, afterMs, backMs, crashes }) => {
    const network = await started(1, 7)
    network.setCrashPlan((submission) => isBad(submission) ? afterMs : undefined, down, backMs)
    network.submit(0, 'bad', 1, PATIENT)
    await network.advance(9000)
    const end = network.jobEnds.get('bad')
    expect(end).toMatchObject({ type: 'failed', reason: REASONS.taskCrashesEndpoints })
    expect(crashesOf(network, 'bad.0')).toBe(crashes)
    network.jobEnds.delete('bad')
    network.submit(0, 'bad', 1, PATIENT)
    await network.advance(100)
    expect(network.jobEnds.get('bad')).toEqual(end)
    expect(crashesOf(network, 'bad.0')).toBe(crashes)
    expect(Math.max(...startsAfterThird(network))).toBeLessThan(BROKEN_AFTER)
  })

  it('its job\'s other tasks are stopped, and jobs beside it are served', async () => {
    const network = await started(1, 6)
    network.setCrashPlan((submission) => isBad(submission) ? 30 : undefined, 'refused', 2000)
    network.submit(0, 'bad', 1, PATIENT)
    for (let job = 0; job < 8; job++) {
      network.submit(0, `good${job}`, 2, PATIENT)
      await network.advance(150)
    }
    await network.advance(4000)
    expect(network.jobEnds.get('bad')).toMatchObject({ type: 'failed', reason: REASONS.taskCrashesEndpoints })
    for (let job = 0; job < 8; job++) expect(network.jobEnds.get(`good${job}`)).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it('the caller\'s connection breaks after each crash: it counts on', async () => {
    const network = await started(1, 6)
    network.setCrashPlan((submission) => isBad(submission) ? 20 : undefined, 'refused', 5000)
    for (let tries = 0; tries < 4; tries++) {
      const { leave } = network.submit(0, 'bad', 1, PATIENT)
      await network.advance(1000)
      leave()
      await network.advance(RESEND_MS)
    }
    expect(network.jobEnds.get('bad')).toMatchObject({ type: 'failed', reason: REASONS.taskCrashesEndpoints })
    expect(crashesOf(network, 'bad.0')).toBe(2)
  })

  it.each([200, 700, 1000, 1600, 1900])('its entry dies %i ms after it came, and it is sent again elsewhere', async (atMs) => {
    const network = await started(2, 8)
    network.setCrashPlan((submission) => isBad(submission) ? 20 : undefined, 'refused', 3000)
    network.submit(0, 'bad', 1, PATIENT)
    await network.advance(atMs)
    network.killEntry(0)
    await network.advance(RESEND_MS)
    network.submit(1, 'bad', 1, PATIENT)
    await network.advance(5000)
    expect(network.jobEnds.get('bad')).toMatchObject({ type: 'failed', reason: REASONS.taskCrashesEndpoints })
    expect(Math.max(...startsAfterThird(network))).toBeLessThan(BROKEN_AFTER)
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })
})

describe('endpoints that crash for other causes', () => {
  /** Long enough to be there when the next endpoint ends. */
  const RUN_MS = 2000
  const JOBS = 6
  const cases: Array<{ name: string, act: (network: LeasedNetwork) => Promise<void> }> = [
    {
      name: 'one endpoint crashes',
      act: async (network) => network.crashEndpoint(0, 300)
    },
    {
      name: 'many endpoints crash at once, twice',
      act: async (network) => {
        for (let times = 0; times < 2; times++) {
          for (let index = 0; index < 6; index++) network.crashEndpoint(index, 300)
          await network.advance(1500)
        }
      }
    },
    {
      name: 'one place crashes twice',
      act: async (network) => {
        for (let times = 0; times < 2; times++) {
          network.restartEndpoint(0)
          await network.advance(400)
        }
      }
    },
    {
      name: 'agents die with their endpoints, again and again',
      act: async (network) => {
        for (let times = 0; times < 3; times++) {
          for (let index = 0; index < 3; index++) {
            network.restartEndpoint(index)
            network.killAgent(index)
          }
          await network.advance(600)
        }
      }
    },
    {
      name: 'endpoints drain, and end one after the other',
      act: async (network) => {
        for (let index = 0; index < 6; index++) {
          network.agents[index]!.host.drain()
          await network.advance(100)
          network.restartEndpoint(index)
          await network.advance(100)
        }
      }
    }
  ]
  it.each(cases)('$name: jobs complete', async ({ act }) => {
    const network = await started(1, 8)
    network.setCrashPlan(() => undefined, 'refused', 300)
    for (const { endpoint } of network.agents) endpoint.runMs = RUN_MS
    for (let job = 0; job < JOBS; job++) network.submit(0, `good${job}`, 2, { ...PATIENT, estimateMs: RUN_MS })
    await network.advance(300)
    await act(network)
    await network.advance(8000)
    for (let job = 0; job < JOBS; job++) expect(network.jobEnds.get(`good${job}`)).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })
})

describe('whatever else happens', () => {
  it('a task is never started three times more after three endpoints have crashed under it', async () => {
    const downs = fc.constantFrom<CrashMode>('refused', 'silent', 'stuck')
    const days = fc.record({ seed: fc.nat(), down: downs, afterMs: fc.integer({ min: 0, max: 150 }), backMs: fc.integer({ min: 100, max: 5000 }), killAtMs: fc.integer({ min: 100, max: 6000 }) })
    await fc.assert(fc.asyncProperty(days, async ({ seed, down, afterMs, backMs, killAtMs }) => {
      const random = seededRandom(seed)
      const network = await started(2, 6)
      network.setCrashPlan((submission) => isBad(submission) ? afterMs : undefined, down, backMs)
      for (let passedMs = 0, job = 0; passedMs < 6000; passedMs += 200, job++) {
        network.submit(Math.floor(random() * 2), `${random() < 0.15 ? 'bad' : 'good'}${job}`, 1 + Math.floor(random() * 3), PATIENT)
        if (Math.abs(passedMs - killAtMs) < 100) network.crashEndpoint(Math.floor(random() * 6), backMs)
        await network.advance(200)
      }
      await network.advance(6000)
      expect(Math.max(0, ...startsAfterThird(network))).toBeLessThan(BROKEN_AFTER)
      expect(overlappingRuns(network.endpoints)).toEqual([])
    }), { seed: 31, numRuns: 12 })
  }, 120_000)
})
