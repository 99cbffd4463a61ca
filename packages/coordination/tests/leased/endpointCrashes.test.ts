import { seededRandom } from '@hazellift/common'
import { REASONS } from '@hazellift/protocol'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { overlappingRuns } from './fakeEndpoint.js'
import type { CrashMode } from './fakeEndpoint.js'
import { LeasedNetwork } from './leasedNetwork.js'

/** Time in which all sessions open. */
const JOIN_MS = 500
/** Time from the end of a connection until its caller submits the job again. */
const RESUBMIT_MS = 1300
/** Jobs that may wait for seconds. */
const PATIENT = { objective: { stretch: 20, slackMs: 8000, lateFactor: 3 }, deadlineMs: 12_000 }
/** Number of starts that a task must not reach after three endpoints have crashed under it. */
const FORBIDDEN_STARTS = 3

const crashesEndpoint = (submission: string): boolean => submission.startsWith('bad')

const startNetwork = async (entries: number, agents: number): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(entries, agents)
  await network.advance(JOIN_MS)
  return network
}

/** Number of starts of each task after the third endpoint has crashed under it. */
const startsAfterThirdCrash = ({ runEvents }: LeasedNetwork): number[] =>
  [...new Set(runEvents.map(({ task }) => task))].map((name) => {
    const events = runEvents.filter(({ task }) => task === name)
    const thirdCrash = events.filter(({ type }) => type === 'crash')[2]
    return thirdCrash === undefined ? 0 : events.slice(events.indexOf(thirdCrash)).filter(({ type }) => type === 'start').length
  })

/** Number of endpoints that crashed under a task. */
const countCrashes = ({ runEvents }: LeasedNetwork, name: string): number => runEvents.filter(({ type, task }) => type === 'crash' && task === name).length

describe('a task that crashes every endpoint that starts it', () => {
  const cases: Array<{ name: string, crashMode: CrashMode, crashAfterMs: number, restartAfterMs: number, isBeforeAnswer?: boolean, crashes: number }> = [
    { name: 'before it answers the start; refuses calls for 3 s', crashMode: 'refuse', crashAfterMs: 0, restartAfterMs: 3000, isBeforeAnswer: true, crashes: 5 },
    { name: 'before it answers the start; calls time out for 200 ms', crashMode: 'time_out', crashAfterMs: 0, restartAfterMs: 200, isBeforeAnswer: true, crashes: 5 },
    { name: 'at once; refuses calls for 3 s', crashMode: 'refuse', crashAfterMs: 0, restartAfterMs: 3000, crashes: 2 },
    { name: 'after 70 ms; refuses calls for 3 s', crashMode: 'refuse', crashAfterMs: 70, restartAfterMs: 3000, crashes: 2 },
    { name: 'after 20 ms; refuses calls for 200 ms', crashMode: 'refuse', crashAfterMs: 20, restartAfterMs: 200, crashes: 2 },
    { name: 'after 20 ms; calls time out for 400 ms', crashMode: 'time_out', crashAfterMs: 20, restartAfterMs: 400, crashes: 2 },
    { name: 'after 20 ms; calls time out for 6 s', crashMode: 'time_out', crashAfterMs: 20, restartAfterMs: 6000, crashes: 5 },
    { name: 'after 20 ms; calls hang for 500 ms', crashMode: 'hang', crashAfterMs: 20, restartAfterMs: 500, crashes: 2 }
  ]
  it.each(cases)('crash $name: its job fails after $crashes crashes, and submitted again it fails at once without another crash', async ({ crashMode, crashAfterMs, restartAfterMs, isBeforeAnswer, crashes }) => {
    const network = await startNetwork(1, 7)
    network.setCrashPlan((submission) => crashesEndpoint(submission) ? crashAfterMs : undefined, crashMode, restartAfterMs, isBeforeAnswer)
    network.submit(0, 'bad', 1, PATIENT)
    await network.advance(9000)
    const end = network.jobEnds.get('bad')
    expect(end).toMatchObject({ type: 'failed', reason: REASONS.taskCrashesEndpoints })
    expect(countCrashes(network, 'bad.0')).toBe(crashes)
    network.jobEnds.delete('bad')
    network.submit(0, 'bad', 1, PATIENT)
    await network.advance(100)
    expect(network.jobEnds.get('bad')).toEqual(end)
    expect(countCrashes(network, 'bad.0')).toBe(crashes)
    expect(Math.max(...startsAfterThirdCrash(network))).toBeLessThan(FORBIDDEN_STARTS)
  })

  it('its job fails, and other jobs at the same endpoints complete', async () => {
    const network = await startNetwork(1, 6)
    network.setCrashPlan((submission) => crashesEndpoint(submission) ? 30 : undefined, 'refuse', 2000)
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

  it('crashes are counted across submissions of a caller that disconnects and submits the job again', async () => {
    const network = await startNetwork(1, 6)
    network.setCrashPlan((submission) => crashesEndpoint(submission) ? 20 : undefined, 'refuse', 5000)
    for (let count = 0; count < 4; count++) {
      const { leave } = network.submit(0, 'bad', 1, PATIENT)
      await network.advance(1000)
      leave()
      await network.advance(RESUBMIT_MS)
    }
    expect(network.jobEnds.get('bad')).toMatchObject({ type: 'failed', reason: REASONS.taskCrashesEndpoints })
    expect(countCrashes(network, 'bad.0')).toBe(2)
  })

  it.each([200, 700, 1000, 1600, 1900])('its entry dies %i ms after the submission and its caller submits it to another entry: its job fails, and no runs overlap', async (entryDiesAfterMs) => {
    const network = await startNetwork(2, 8)
    network.setCrashPlan((submission) => crashesEndpoint(submission) ? 20 : undefined, 'refuse', 3000)
    network.submit(0, 'bad', 1, PATIENT)
    await network.advance(entryDiesAfterMs)
    network.killEntry(0)
    await network.advance(RESUBMIT_MS)
    network.submit(1, 'bad', 1, PATIENT)
    await network.advance(5000)
    expect(network.jobEnds.get('bad')).toMatchObject({ type: 'failed', reason: REASONS.taskCrashesEndpoints })
    expect(Math.max(...startsAfterThirdCrash(network))).toBeLessThan(FORBIDDEN_STARTS)
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })
})

describe('endpoints that crash for other causes than a task', () => {
  /** Long enough for tasks to be running when the next endpoint crashes. */
  const RUN_MS = 2000
  const JOBS = 6
  const cases: Array<{ name: string, act: (network: LeasedNetwork) => Promise<void> }> = [
    {
      name: 'one endpoint crashes',
      act: async (network) => network.crashEndpoint(0, 300)
    },
    {
      name: 'six of eight endpoints crash, twice',
      act: async (network) => {
        for (let count = 0; count < 2; count++) {
          for (let index = 0; index < 6; index++) network.crashEndpoint(index, 300)
          await network.advance(1500)
        }
      }
    },
    {
      name: 'an endpoint and its successor crash',
      act: async (network) => {
        for (let count = 0; count < 2; count++) {
          network.restartEndpoint(0)
          await network.advance(400)
        }
      }
    },
    {
      name: 'endpoints and agents die three times',
      act: async (network) => {
        for (let count = 0; count < 3; count++) {
          for (let index = 0; index < 3; index++) {
            network.restartEndpoint(index)
            network.killAgent(index)
          }
          await network.advance(600)
        }
      }
    },
    {
      name: 'endpoints drain and crash one by one',
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
  it.each(cases)('$name: all jobs complete, and no runs overlap', async ({ act }) => {
    const network = await startNetwork(1, 8)
    network.setCrashPlan(() => undefined, 'refuse', 300)
    for (const { endpoint } of network.agents) endpoint.runMs = RUN_MS
    for (let job = 0; job < JOBS; job++) network.submit(0, `good${job}`, 2, { ...PATIENT, estimateMs: RUN_MS })
    await network.advance(300)
    await act(network)
    await network.advance(8000)
    for (let job = 0; job < JOBS; job++) expect(network.jobEnds.get(`good${job}`)).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })
})

// Guards against a job that fails for crashes which it did not cause: its task had not begun where they happened.
describe('endpoints that restart within milliseconds of a start of one task', () => {
  const RESTART_MS = 5
  const cases: Array<{ name: string, before: number, crashesUnderTask: number }> = [
    { name: 'one has crashed while it ran the task, one as the start arrives', before: 1, crashesUnderTask: 1 },
    { name: 'three as the start arrives', before: 0, crashesUnderTask: 0 }
  ]
  it.each(cases)('$name: the job completes', async ({ before, crashesUnderTask }) => {
    const network = await startNetwork(1, 6)
    network.setCrashPlan(() => undefined, 'time_out', 300)
    let crashesAtStart = 3 - before
    for (const [index, { endpoint }] of network.agents.entries()) {
      endpoint.runMs = 400
      endpoint.onOrder = () => {
        if (network.runEvents.length >= before && crashesAtStart-- > 0) network.crashEndpoint(index, RESTART_MS)
      }
    }
    network.submit(0, 'good', 1, PATIENT)
    await network.advance(200)
    for (const [index, { endpoint }] of network.agents.entries()) if (endpoint.openRuns.length > 0 && before > 0) network.restartEndpoint(index)
    await network.advance(6000)
    expect(countCrashes(network, 'good.0')).toBe(crashesUnderTask)
    expect(network.jobEnds.get('good')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })
})

describe('random jobs, crashes and tasks that crash endpoints', () => {
  it('a task is started fewer than three times after three endpoints have crashed under it, and no runs overlap', async () => {
    const crashModes = fc.constantFrom<CrashMode>('refuse', 'time_out', 'hang')
    const scenarios = fc.record({ seed: fc.nat(), crashMode: crashModes, crashAfterMs: fc.integer({ min: 0, max: 150 }), restartAfterMs: fc.integer({ min: 100, max: 5000 }), endpointDiesAtMs: fc.integer({ min: 100, max: 6000 }) })
    await fc.assert(fc.asyncProperty(scenarios, async ({ seed, crashMode, crashAfterMs, restartAfterMs, endpointDiesAtMs }) => {
      const random = seededRandom(seed)
      const network = await startNetwork(2, 6)
      network.setCrashPlan((submission) => crashesEndpoint(submission) ? crashAfterMs : undefined, crashMode, restartAfterMs)
      for (let passedMs = 0, job = 0; passedMs < 6000; passedMs += 200, job++) {
        network.submit(Math.floor(random() * 2), `${random() < 0.15 ? 'bad' : 'good'}${job}`, 1 + Math.floor(random() * 3), PATIENT)
        if (Math.abs(passedMs - endpointDiesAtMs) < 100) network.crashEndpoint(Math.floor(random() * 6), restartAfterMs)
        await network.advance(200)
      }
      await network.advance(6000)
      expect(Math.max(0, ...startsAfterThirdCrash(network))).toBeLessThan(FORBIDDEN_STARTS)
      expect(overlappingRuns(network.endpoints)).toEqual([])
    }), { seed: 31, numRuns: 12 })
  }, 120_000)
})
