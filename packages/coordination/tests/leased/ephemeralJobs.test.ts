import { seededRandom } from '@hazellift/common'
import { REASONS } from '@hazellift/protocol'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { terminationBoundMs } from '../../src/index.js'
import { CAPACITY, overlappingRuns } from './fakeEndpoint.js'
import type { CallFault } from './fakeEndpoint.js'
import { LeasedNetwork, LEASE_TIMES } from './leasedNetwork.js'

/** Time from the end of a connection until its caller submits the job again. */
const RESUBMIT_MS = 1300
/** Time in which all sessions open. */
const JOIN_MS = 400
/** Step in which a test advances time. */
const STEP_MS = 5

const startNetwork = async (entries: number, agents: number, times = LEASE_TIMES): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(entries, agents, times)
  await network.advance(JOIN_MS)
  return network
}

/** Number of runs so far, ended or not. */
const countRuns = (network: LeasedNetwork): number =>
  network.endpoints.reduce((sum, { endedRuns, openRuns }) => sum + endedRuns.length + openRuns.length, 0)

describe('ephemeral jobs', () => {
  it('a task is confirmed terminated before its caller submits the job again', () => {
    expect(terminationBoundMs(LEASE_TIMES)).toBeLessThan(RESUBMIT_MS)
  })

  it('all tasks of a job run once, and the job completes', async () => {
    const network = await startNetwork(1, 2)
    network.submit(0, 'j', 4)
    await network.advance(300)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(countRuns(network)).toBe(4)
  })

  it('the starts of three entries together never exceed the capacity of an endpoint', async () => {
    const network = await startNetwork(3, 2)
    for (let job = 0; job < 12; job++) network.submit(job % 3, `j${job}`, 3)
    await network.advance(3000)
    expect([...network.jobEnds.values()].filter(({ type }) => type === 'complete')).toHaveLength(12)
    for (const endpoint of network.endpoints) expect(endpoint.peakCpuMilli).toBeLessThanOrEqual(CAPACITY.cpuMilli)
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  const sessions: Array<{ name: string, jobs: number, maxFrames: number }> = [
    { name: 'a session without tasks', jobs: 0, maxFrames: 15 },
    // Frames with echoes renew the entry lease of a long task.
    { name: 'a session with a long task', jobs: 1, maxFrames: 25 }
  ]
  it.each(sessions)('$name carries at most $maxFrames frames of the entry in 3 s', async ({ jobs, maxFrames }) => {
    const network = await startNetwork(1, 1)
    network.endpoints[0]!.runMs = 2800
    for (let job = 0; job < jobs; job++) network.submit(0, `j${job}`, 1, { estimateMs: 2800 })
    const before = network.entryFrameCount
    await network.advance(3000)
    expect(network.entryFrameCount - before).toBeLessThanOrEqual(maxFrames)
    expect([...network.jobEnds.values()]).toEqual(Array.from({ length: jobs }, () => ({ type: 'complete' })))
    expect(countRuns(network)).toBe(jobs)
  })

  const fleets = [{ entries: 3, agents: 11 }, { entries: 10, agents: 20 }]
  it.each(fleets)('$entries entries at $agents agents: starts that find no free capacity are below 10% of the completed ones', async ({ entries, agents }) => {
    const network = new LeasedNetwork(entries, agents, LEASE_TIMES, { cpuMilli: 16_000, memoryMb: 8000 })
    await network.advance(JOIN_MS)
    for (const endpoint of network.endpoints) endpoint.runMs = 200
    const random = seededRandom(7)
    // An endpoint runs ten tasks of 200 ms at once; jobs of three tasks use three quarters of that.
    const jobsPerStep = agents * 50 * 0.75 / 3 * STEP_MS / 1000
    let jobs = 0
    for (let passedMs = 0; passedMs < 3000; passedMs += STEP_MS) {
      for (let due = jobsPerStep; due > random(); due--) {
        network.submit(Math.floor(random() * entries), `j${jobs++}`, 3, { estimateMs: 200, objective: { stretch: 1.6, slackMs: 60, lateFactor: 3 } })
      }
      await network.advance(STEP_MS)
    }
    const done = network.endedStartCounts.get('done')!
    expect(done).toBeGreaterThan(1000)
    expect((network.endedStartCounts.get(REASONS.noSlot) ?? 0) / done).toBeLessThan(0.1)
  })

  const faults: Array<{ name: string, act: (network: LeasedNetwork) => void | Promise<void> }> = [
    { name: 'an agent dies and restarts', act: (network) => network.killAgent(0) },
    { name: 'an agent dies and does not restart', act: (network) => network.killAgent(0, false) },
    { name: 'all agents die and restart', act: (network) => { for (const index of [0, 1, 2]) network.killAgent(index) } },
    { name: 'the link to an agent is cut', act: (network) => network.cut(0, 0, true) },
    {
      name: 'the link to an agent is cut for 300 ms',
      act: async (network) => {
        network.cut(0, 0, true)
        await network.advance(300)
        network.cut(0, 0, false)
      }
    },
    {
      // Slightly longer than the termination bound.
      name: 'the link to an agent is cut for 1.3 s',
      act: async (network) => {
        network.cut(0, 0, true)
        await network.advance(1300)
        network.cut(0, 0, false)
      }
    },
    { name: 'an endpoint crashes and restarts', act: (network) => network.restartEndpoint(0) },
    {
      name: 'an endpoint crashes three times',
      act: async (network) => {
        for (let count = 0; count < 3; count++) {
          network.restartEndpoint(0)
          await network.advance(120)
        }
      }
    },
    {
      name: 'an endpoint restarts, its agent dies',
      act: async (network) => {
        network.restartEndpoint(0)
        await network.advance(5)
        network.killAgent(0)
      }
    },
    { name: 'an endpoint leaves polls unanswered', act: (network) => { network.endpoints[0]!.fault = (call) => call === 'poll' ? 'lost' : 'none' } }
  ]

  it.each(faults)('$name: the job completes, and no two runs of a task overlap', async ({ act }) => {
    const network = await startNetwork(1, 3)
    for (const endpoint of network.endpoints) endpoint.runMs = 700
    network.submit(0, 'j', 6)
    await network.advance(50)
    await act(network)
    await network.advance(6000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it.each(faults)('$name while the caller\'s entry dies: submitted to another entry the job completes, and no two runs of a task overlap', async ({ act }) => {
    const network = await startNetwork(2, 3)
    for (const endpoint of network.endpoints) endpoint.runMs = 700
    network.submit(0, 'j', 6)
    await network.advance(50)
    const acting = act(network)
    network.killEntry(0)
    await acting
    await network.advance(RESUBMIT_MS)
    network.submit(1, 'j', 6)
    await network.advance(6000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  const violations = [{ name: 'an entry lease of 5 s', times: { ...LEASE_TIMES, entryLeaseMs: 5000 } }]
  it.each(violations)('overlappingRuns detects overlaps if the termination bound is violated by $name', async ({ times }) => {
    const network = await startNetwork(2, 2, times)
    for (const endpoint of network.endpoints) endpoint.runMs = 3000
    network.submit(0, 'j', 2)
    await network.advance(50)
    network.killEntry(0)
    for (const agent of [0, 1]) network.cut(agent, 0, true)
    await network.advance(RESUBMIT_MS)
    network.submit(1, 'j', 2)
    await network.advance(2000)
    expect(overlappingRuns(network.endpoints)).not.toEqual([])
  })

  const orderFaults: Array<{ call: 'start' | 'stop' | 'poll', fault: CallFault }> = [
    { call: 'start', fault: 'lost' }, { call: 'start', fault: 'answer_lost' }, { call: 'start', fault: 'late' },
    { call: 'stop', fault: 'lost' }, { call: 'stop', fault: 'answer_lost' }, { call: 'stop', fault: 'late' },
    { call: 'poll', fault: 'answer_lost' }
  ]
  it.each(orderFaults)('every third $call has the fault $fault: jobs complete, no two runs of a task overlap, and no endpoint exceeds its capacity', async ({ call, fault }) => {
    const network = await startNetwork(2, 3)
    let calls = 0
    for (const endpoint of network.endpoints) endpoint.fault = (name) => name === call && ++calls % 3 === 0 ? fault : 'none'
    for (let job = 0; job < 6; job++) network.submit(job % 2, `j${job}`, 3)
    network.submit(0, 'left', 2).leave()
    await network.advance(8000)
    for (let job = 0; job < 6; job++) expect(network.jobEnds.get(`j${job}`)).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
    for (const endpoint of network.endpoints) expect(endpoint.peakCpuMilli).toBeLessThanOrEqual(CAPACITY.cpuMilli)
  })

  const unanswered: Array<{ name: string, call: 'start' | 'stop' | 'poll' | 'all' }> = [
    { name: 'no poll', call: 'poll' }, { name: 'no start', call: 'start' }, { name: 'no call at all', call: 'all' }
  ]
  it.each(unanswered)('an endpoint that answered $name for 4 s runs jobs again afterwards', async ({ call }) => {
    const network = await startNetwork(1, 1)
    const endpoint = network.endpoints[0]!
    endpoint.fault = (name) => call === 'all' || name === call ? 'lost' : 'none'
    network.submit(0, 'before', 2, { deadlineMs: 2000 })
    await network.advance(4000)
    endpoint.fault = () => 'none'
    await network.advance(500)
    network.submit(0, 'after', 2)
    await network.advance(1000)
    expect(network.jobEnds.get('after')).toEqual({ type: 'complete' })
  })

  it('a job that is submitted again after its caller left runs again once its earlier runs have ended', async () => {
    const network = await startNetwork(1, 2)
    for (const endpoint of network.endpoints) endpoint.runMs = 400
    const first = network.submit(0, 'j', 2, { estimateMs: 400 })
    await network.advance(50)
    first.leave()
    network.submit(0, 'j', 2, { estimateMs: 400 })
    await network.advance(1500)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
    expect(countRuns(network)).toBe(4)
  })

  it('a job that is submitted again while it runs, or soon after its end, does not run again', async () => {
    const network = await startNetwork(1, 2)
    network.submit(0, 'j', 2)
    await network.advance(50)
    network.submit(0, 'j', 2)
    await network.advance(500)
    network.submit(0, 'j', 2)
    await network.advance(500)
    expect(countRuns(network)).toBe(2)
  })

  it('a failed task runs again at another endpoint, and the job fails once its attempts are used up', async () => {
    const network = await startNetwork(1, 2)
    network.endpoints[0]!.isFailing = true
    network.submit(0, 'one', 1)
    await network.advance(600)
    expect(network.jobEnds.get('one')).toEqual({ type: 'complete' })
    network.endpoints[1]!.isFailing = true
    network.submit(0, 'two', 1)
    await network.advance(600)
    expect(network.jobEnds.get('two')).toMatchObject({ type: 'failed', reason: REASONS.taskFailed })
  })

  it('a task that hangs is moved to another endpoint', async () => {
    const network = await startNetwork(1, 2)
    network.endpoints[0]!.runMs = 60_000
    network.submit(0, 'j', 1)
    await network.advance(1500)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it('tasks that all run three times as long as estimated are not moved', async () => {
    const network = await startNetwork(1, 3)
    for (const endpoint of network.endpoints) endpoint.runMs = 300
    network.submit(0, 'j', 3, { estimateMs: 100 })
    await network.advance(1500)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(countRuns(network)).toBe(3)
  })

  it('two tasks that hang at one endpoint are moved sooner than a single one', async () => {
    const network = await startNetwork(1, 2)
    network.endpoints[0]!.runMs = 60_000
    network.submit(0, 'j', 2)
    await network.advance(700)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it('jobs that cannot meet their objective are refused at once, and no task of theirs starts', async () => {
    const network = await startNetwork(1, 1)
    const objective = { stretch: 1.5, slackMs: 50, lateFactor: 3 }
    for (let job = 0; job < 30; job++) network.submit(0, `j${job}`, 2, { objective })
    await network.advance(10)
    const refused = [...network.jobEnds].filter(([, { type }]) => type === 'refused').map(([id]) => id)
    expect(refused.length).toBeGreaterThan(15)
    await network.advance(3000)
    const ran = new Set(network.endpoints.flatMap(({ endedRuns }) => endedRuns.map(({ submission }) => submission)))
    for (const id of refused) expect(ran.has(id)).toBe(false)
  })

  const waits = [
    { name: 'it waits while its caller has time', objectiveMs: 4000, ms: 800, end: undefined },
    { name: 'refused while the caller has time remaining', objectiveMs: 4000, ms: 1000, end: { type: 'refused', reason: REASONS.overload } },
    { name: 'it waits while its answer is of use', objectiveMs: 500, ms: 500, end: undefined },
    { name: 'refused as its answer would be late', objectiveMs: 500, ms: 700, end: { type: 'refused', reason: REASONS.overload } }
  ]
  it.each(waits)('a job that finds no free capacity for $ms ms, with an objective of $objectiveMs ms: $name', async ({ objectiveMs, ms, end }) => {
    const network = await startNetwork(1, 1)
    network.endpoints[0]!.runMs = 5000
    network.submit(0, 'long', 2, { estimateMs: 5000 })
    await network.advance(50)
    const objective = { stretch: 1, slackMs: objectiveMs - 100, lateFactor: 3 }
    network.submit(0, 'j', 1, { estimateMs: 100, deadlineMs: 2000, priority: -1, objective })
    await network.advance(ms)
    if (end === undefined) expect(network.jobEnds.get('j')).toBeUndefined()
    else expect(network.jobEnds.get('j')).toMatchObject(end)
  })

  it('no task of a refused job ever starts, though every second start is carried out late', async () => {
    const network = await startNetwork(2, 2)
    let calls = 0
    for (const endpoint of network.endpoints) endpoint.fault = (name) => name === 'start' && ++calls % 2 === 0 ? 'late' : 'none'
    const objective = { stretch: 1.5, slackMs: 50, lateFactor: 3 }
    for (let job = 0; job < 30; job++) network.submit(job % 2, `j${job}`, 2, { objective })
    await network.advance(6000)
    const refused = [...network.jobEnds].filter(([, { type }]) => type === 'refused').map(([id]) => id)
    const ran = new Set(network.endpoints.flatMap(({ endedRuns }) => endedRuns.map(({ submission }) => submission)))
    expect(refused.filter((id) => ran.has(id))).toEqual([])
  })

  it('a job that arrives before its entry knows any endpoint waits for one', async () => {
    const network = new LeasedNetwork(1, 1)
    network.submit(0, 'j', 1)
    await network.advance(800)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
  })

  it('a job is refused at once if the entry has had no endpoint for some seconds', async () => {
    const network = await startNetwork(1, 0)
    await network.advance(3000)
    network.submit(0, 'j', 1)
    await network.advance(5)
    expect(network.jobEnds.get('j')).toMatchObject({ type: 'refused', reason: REASONS.noEndpoint })
  })

  it('agents pass a configuration document on to an entry that cannot read it, and to all entries after these restart', async () => {
    const network = await startNetwork(2, 2)
    network.entries[0]!.dispatcher.sessions.setConfig(7n, Buffer.from('seven'))
    await network.advance(500)
    expect(network.configDocuments).toContainEqual({ entry: 1, text: 'seven' })
    network.killEntry(0)
    network.killEntry(1)
    network.configDocuments.length = 0
    await network.advance(1500)
    expect(network.configDocuments.map(({ entry }) => entry).sort()).toEqual([0, 1])
  })

  it('random faults: no two runs of a task overlap, and no endpoint exceeds its capacity', async () => {
    const action = fc.oneof(
      fc.record({ type: fc.constant('submit' as const), entry: fc.nat(1), count: fc.integer({ min: 1, max: 4 }) }),
      fc.record({ type: fc.constant('kill_agent' as const), agent: fc.nat(2) }),
      fc.record({ type: fc.constant('kill_entry' as const), entry: fc.nat(1) }),
      fc.record({ type: fc.constant('cut' as const), agent: fc.nat(2), entry: fc.nat(1) }),
      fc.record({ type: fc.constant('restore' as const), agent: fc.nat(2), entry: fc.nat(1) }),
      fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 20, max: 800 }) }),
      fc.record({ type: fc.constant('slow' as const), agent: fc.nat(2), runMs: fc.constantFrom(50, 300, 3000) }))
    await fc.assert(fc.asyncProperty(fc.array(action, { maxLength: 25 }), fc.nat(), async (actions, seed) => {
      const network = await startNetwork(2, 3)
      let calls = seed % 7
      for (const endpoint of network.endpoints) endpoint.fault = (name) => name === 'start' && ++calls % 7 === 0 ? 'answer_lost' : 'none'
      const resubmissions: Array<{ at: number, id: string, count: number }> = []
      let jobs = 0
      const submitted = new Map<string, { entry: number, count: number }>()
      const resubmitDue = (): void => {
        for (const due of resubmissions.filter(({ at }) => at <= network.clock.now())) {
          resubmissions.splice(resubmissions.indexOf(due), 1)
          network.submit(1, due.id, due.count)
        }
      }
      for (const act of actions) {
        if (act.type === 'submit') {
          const id = `j${jobs++}`
          submitted.set(id, act)
          network.submit(act.entry, id, act.count)
        }
        if (act.type === 'kill_agent') network.killAgent(act.agent)
        if (act.type === 'kill_entry') {
          for (const [id, { entry, count }] of submitted) {
            if (entry !== act.entry || network.jobEnds.has(id)) continue
            submitted.delete(id)
            resubmissions.push({ at: network.clock.now() + RESUBMIT_MS, id, count })
          }
          network.killEntry(act.entry)
        }
        if (act.type === 'cut' || act.type === 'restore') network.cut(act.agent, act.entry, act.type === 'cut')
        if (act.type === 'slow') network.endpoints[act.agent]!.runMs = act.runMs
        for (let waitedMs = 0; waitedMs < (act.type === 'wait' ? act.ms : 10); waitedMs += 10) {
          await network.advance(10)
          resubmitDue()
        }
      }
      expect(overlappingRuns(network.endpoints)).toEqual([])
      for (const endpoint of network.endpoints) expect(endpoint.peakCpuMilli).toBeLessThanOrEqual(CAPACITY.cpuMilli)
    }), { numRuns: 300, seed: 20261202 })
  })
})
