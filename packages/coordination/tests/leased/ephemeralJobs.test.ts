import { seededRandom } from '@hazellift/common'
import { REASONS } from '@hazellift/protocol'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { terminationBoundMs } from '../../src/index.js'
import { CAPACITY, overlappingRuns } from './fakeEndpoint.js'
import type { CallFault } from './fakeEndpoint.js'
import { LeasedNetwork, LEASE_TIMES } from './leasedNetwork.js'

const RESEND_MS = 1300
const JOIN_MS = 400
/** How finely the tests move time on. */
const STEP_MS = 5

const started = async (entries: number, agents: number, times = LEASE_TIMES): Promise<LeasedNetwork> => {
  const network = new LeasedNetwork(entries, agents, times)
  await network.advance(JOIN_MS)
  return network
}

const runsOf = (network: LeasedNetwork): number =>
  network.endpoints.reduce((sum, { endedRuns: past, openRuns: open }) => sum + past.length + open.length, 0)

describe('jobs that are not kept', () => {
  it('the bound after which a task is over is below the time after which callers send again', () => {
    expect(terminationBoundMs(LEASE_TIMES)).toBeLessThan(RESEND_MS)
  })

  it('all tasks run once and the job completes', async () => {
    const network = await started(1, 2)
    network.submit(0, 'j', 4)
    await network.advance(300)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(runsOf(network)).toBe(4)
  })

  it('entries together never bring an endpoint over its capacity', async () => {
    const network = await started(3, 2)
    for (let job = 0; job < 12; job++) network.submit(job % 3, `j${job}`, 3)
    await network.advance(3000)
    expect([...network.jobEnds.values()].filter(({ type }) => type === 'complete')).toHaveLength(12)
    for (const endpoint of network.endpoints) expect(endpoint.peakCpuMilli).toBeLessThanOrEqual(CAPACITY.cpuMilli)
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  const sessions: Array<{ name: string, jobs: number, mostFrames: number }> = [
    { name: 'a session without tasks carries keep-alives only', jobs: 0, mostFrames: 15 },
    { name: 'one with long tasks also carries what renews their authority', jobs: 1, mostFrames: 25 }
  ]
  it.each(sessions)('$name', async ({ jobs, mostFrames }) => {
    const network = await started(1, 1)
    network.endpoints[0]!.runMs = 2800
    for (let job = 0; job < jobs; job++) network.submit(0, `j${job}`, 1, { estimateMs: 2800 })
    const before = network.entryFrameCount
    await network.advance(3000)
    expect(network.entryFrameCount - before).toBeLessThanOrEqual(mostFrames)
    expect([...network.jobEnds.values()]).toEqual(Array.from({ length: jobs }, () => ({ type: 'complete' })))
    expect(runsOf(network)).toBe(jobs)
  })

  const crowds = [{ entries: 3, agents: 11 }, { entries: 10, agents: 20 }]
  it.each(crowds)('of the starts of $entries entries at $agents agents, few arrive in vain', async ({ entries, agents }) => {
    const network = new LeasedNetwork(entries, agents, LEASE_TIMES, { cpuMilli: 16_000, memoryMb: 8000 })
    await network.advance(JOIN_MS)
    for (const endpoint of network.endpoints) endpoint.runMs = 200
    const random = seededRandom(7)
    // Ten tasks of 200 ms fit into an endpoint at once; three quarters of that, in jobs of three.
    const jobsEveryStep = agents * 50 * 0.75 / 3 * STEP_MS / 1000
    let jobs = 0
    for (let passed = 0; passed < 3000; passed += STEP_MS) {
      for (let due = jobsEveryStep; due > random(); due--) {
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
    { name: 'an agent dies for good', act: (network) => network.killAgent(0, false) },
    { name: 'all agents die and restart', act: (network) => { for (const index of [0, 1, 2]) network.killAgent(index) } },
    { name: 'the link to an agent is silent', act: (network) => network.cut(0, 0, true) },
    {
      name: 'the link to an agent is silent for a moment',
      act: async (network) => {
        network.cut(0, 0, true)
        await network.advance(300)
        network.cut(0, 0, false)
      }
    },
    {
      name: 'the link to an agent is silent until just after the bound',
      act: async (network) => {
        network.cut(0, 0, true)
        await network.advance(1300)
        network.cut(0, 0, false)
      }
    },
    { name: 'an endpoint crashes and starts again', act: (network) => network.restartEndpoint(0) },
    {
      name: 'an endpoint crashes and starts again, and again',
      act: async (network) => {
        for (let life = 0; life < 3; life++) {
          network.restartEndpoint(0)
          await network.advance(120)
        }
      }
    },
    {
      name: 'an agent dies while its endpoint starts again',
      act: async (network) => {
        network.restartEndpoint(0)
        await network.advance(5)
        network.killAgent(0)
      }
    },
    { name: 'an endpoint leaves holds unanswered', act: (network) => { network.endpoints[0]!.fault = (call) => call === 'hold' ? 'lost' : 'none' } }
  ]

  it.each(faults)('$name: the job completes and no two runs of a task overlap', async ({ act }) => {
    const network = await started(1, 3)
    for (const endpoint of network.endpoints) endpoint.runMs = 700
    network.submit(0, 'j', 6)
    await network.advance(50)
    await act(network)
    await network.advance(6000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it.each(faults)('$name, and the caller\'s entry dies: sent again elsewhere, no two runs overlap', async ({ act }) => {
    const network = await started(2, 3)
    for (const endpoint of network.endpoints) endpoint.runMs = 700
    network.submit(0, 'j', 6)
    await network.advance(50)
    const acting = act(network)
    network.killEntry(0)
    await acting
    await network.advance(RESEND_MS)
    network.submit(1, 'j', 6)
    await network.advance(6000)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  const guards = [{ name: 'authority that outlasts the bound', times: { ...LEASE_TIMES, entryLeaseMs: 5000 } }]
  it.each(guards)('the checks notice $name', async ({ times }) => {
    const network = await started(2, 2, times)
    for (const endpoint of network.endpoints) endpoint.runMs = 3000
    network.submit(0, 'j', 2)
    await network.advance(50)
    network.killEntry(0)
    for (const agent of [0, 1]) network.cut(agent, 0, true)
    await network.advance(RESEND_MS)
    network.submit(1, 'j', 2)
    await network.advance(2000)
    expect(overlappingRuns(network.endpoints)).not.toEqual([])
  })

  const orderFaults: Array<{ call: 'start' | 'stop' | 'hold', fault: CallFault }> = [
    { call: 'start', fault: 'lost' }, { call: 'start', fault: 'answer_lost' }, { call: 'start', fault: 'late' },
    { call: 'stop', fault: 'lost' }, { call: 'stop', fault: 'answer_lost' }, { call: 'stop', fault: 'late' },
    { call: 'hold', fault: 'answer_lost' }
  ]
  it.each(orderFaults)('every third $call is $fault: jobs complete and no two runs overlap', async ({ call, fault }) => {
    const network = await started(2, 3)
    let calls = 0
    for (const endpoint of network.endpoints) endpoint.fault = (name) => name === call && ++calls % 3 === 0 ? fault : 'none'
    for (let job = 0; job < 6; job++) network.submit(job % 2, `j${job}`, 3)
    network.submit(0, 'left', 2).leave()
    await network.advance(8000)
    for (let job = 0; job < 6; job++) expect(network.jobEnds.get(`j${job}`)).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
    for (const endpoint of network.endpoints) expect(endpoint.peakCpuMilli).toBeLessThanOrEqual(CAPACITY.cpuMilli)
  })

  const silences: Array<{ name: string, call: 'start' | 'stop' | 'hold' | 'all' }> = [
    { name: 'no hold', call: 'hold' }, { name: 'no start', call: 'start' }, { name: 'no call at all', call: 'all' }
  ]
  it.each(silences)('an endpoint that answered $name for a while is used again', async ({ call }) => {
    const network = await started(1, 1)
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

  it('a job whose caller left may run again once nothing of it runs', async () => {
    const network = await started(1, 2)
    for (const endpoint of network.endpoints) endpoint.runMs = 400
    const first = network.submit(0, 'j', 2, { estimateMs: 400 })
    await network.advance(50)
    first.leave()
    network.submit(0, 'j', 2, { estimateMs: 400 })
    await network.advance(1500)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
    expect(runsOf(network)).toBe(4)
  })

  it('a submission that arrives again while the job runs is the same job', async () => {
    const network = await started(1, 2)
    network.submit(0, 'j', 2)
    await network.advance(50)
    network.submit(0, 'j', 2)
    await network.advance(500)
    network.submit(0, 'j', 2)
    await network.advance(500)
    expect(runsOf(network)).toBe(2)
  })

  it('a task that fails moves, and the job fails once its attempts are used up', async () => {
    const network = await started(1, 2)
    network.endpoints[0]!.isFailing = true
    network.submit(0, 'one', 1)
    await network.advance(600)
    expect(network.jobEnds.get('one')).toEqual({ type: 'complete' })
    network.endpoints[1]!.isFailing = true
    network.submit(0, 'two', 1)
    await network.advance(600)
    expect(network.jobEnds.get('two')).toMatchObject({ type: 'failed', reason: REASONS.taskFailed })
  })

  it('a task that stands still is moved', async () => {
    const network = await started(1, 2)
    network.endpoints[0]!.runMs = 60_000
    network.submit(0, 'j', 1)
    await network.advance(1500)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it('a job that is three times as long as its caller guessed is left where it runs', async () => {
    const network = await started(1, 3)
    for (const endpoint of network.endpoints) endpoint.runMs = 300
    network.submit(0, 'j', 3, { estimateMs: 100 })
    await network.advance(1500)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(runsOf(network)).toBe(3)
  })

  it('tasks at an endpoint that stands still are moved sooner than one alone', async () => {
    const network = await started(1, 2)
    network.endpoints[0]!.runMs = 60_000
    network.submit(0, 'j', 2)
    await network.advance(700)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.endpoints)).toEqual([])
  })

  it('what cannot be in time is refused at once, and nothing of it starts', async () => {
    const network = await started(1, 1)
    const objective = { stretch: 1.5, slackMs: 50, lateFactor: 3 }
    for (let job = 0; job < 30; job++) network.submit(0, `j${job}`, 2, { objective })
    await network.advance(10)
    const refused = [...network.jobEnds].filter(([, { type }]) => type === 'refused').map(([id]) => id)
    expect(refused.length).toBeGreaterThan(15)
    await network.advance(3000)
    const ran = new Set(network.endpoints.flatMap(({ endedRuns: past }) => past.map(({ submission }) => submission)))
    for (const id of refused) expect(ran.has(id)).toBe(false)
  })

  const patience = [
    { name: 'it waits while its caller has time', objectiveMs: 4000, ms: 800, end: undefined },
    { name: 'it is refused while its caller can still go elsewhere', objectiveMs: 4000, ms: 1000, end: { type: 'refused', reason: REASONS.overload } },
    { name: 'it waits while its answer would be of use', objectiveMs: 500, ms: 500, end: undefined },
    { name: 'it is refused once its answer would come far too late', objectiveMs: 500, ms: 700, end: { type: 'refused', reason: REASONS.overload } }
  ]
  it.each(patience)('a job that finds no room: $name', async ({ objectiveMs, ms, end }) => {
    const network = await started(1, 1)
    network.endpoints[0]!.runMs = 5000
    network.submit(0, 'long', 2, { estimateMs: 5000 })
    await network.advance(50)
    const objective = { stretch: 1, slackMs: objectiveMs - 100, lateFactor: 3 }
    network.submit(0, 'j', 1, { estimateMs: 100, deadlineMs: 2000, priority: -1, objective })
    await network.advance(ms)
    if (end === undefined) expect(network.jobEnds.get('j')).toBeUndefined()
    else expect(network.jobEnds.get('j')).toMatchObject(end)
  })

  it('refusals are only said of jobs of which nothing ever starts', async () => {
    const network = await started(2, 2)
    let calls = 0
    for (const endpoint of network.endpoints) endpoint.fault = (name) => name === 'start' && ++calls % 2 === 0 ? 'late' : 'none'
    const objective = { stretch: 1.5, slackMs: 50, lateFactor: 3 }
    for (let job = 0; job < 30; job++) network.submit(job % 2, `j${job}`, 2, { objective })
    await network.advance(6000)
    const refused = [...network.jobEnds].filter(([, { type }]) => type === 'refused').map(([id]) => id)
    const ran = new Set(network.endpoints.flatMap(({ endedRuns: past }) => past.map(({ submission }) => submission)))
    expect(refused.filter((id) => ran.has(id))).toEqual([])
  })

  it('a job that arrives before its entry knows any endpoint waits for one', async () => {
    const network = new LeasedNetwork(1, 1)
    network.submit(0, 'j', 1)
    await network.advance(800)
    expect(network.jobEnds.get('j')).toEqual({ type: 'complete' })
  })

  it('without any endpoint a job is refused at once', async () => {
    const network = await started(1, 0)
    await network.advance(3000)
    network.submit(0, 'j', 1)
    await network.advance(5)
    expect(network.jobEnds.get('j')).toMatchObject({ type: 'refused', reason: REASONS.noEndpoint })
  })

  it('a configuration document reaches entries that cannot read it, through agents', async () => {
    const network = await started(2, 2)
    network.entries[0]!.dispatcher.sessions.setConfig(7n, Buffer.from('seven'))
    await network.advance(500)
    expect(network.configDocuments).toContainEqual({ entry: 1, text: 'seven' })
    network.killEntry(0)
    network.killEntry(1)
    network.configDocuments.length = 0
    await network.advance(1500)
    expect(network.configDocuments.map(({ entry }) => entry).sort()).toEqual([0, 1])
  })

  it('any series of faults: no two runs of a task overlap and no endpoint is over its capacity', async () => {
    const action = fc.oneof(
      fc.record({ type: fc.constant('submit' as const), entry: fc.nat(1), count: fc.integer({ min: 1, max: 4 }) }),
      fc.record({ type: fc.constant('kill_agent' as const), agent: fc.nat(2) }),
      fc.record({ type: fc.constant('kill_entry' as const), entry: fc.nat(1) }),
      fc.record({ type: fc.constant('cut' as const), agent: fc.nat(2), entry: fc.nat(1) }),
      fc.record({ type: fc.constant('heal' as const), agent: fc.nat(2), entry: fc.nat(1) }),
      fc.record({ type: fc.constant('wait' as const), ms: fc.integer({ min: 20, max: 800 }) }),
      fc.record({ type: fc.constant('slow' as const), agent: fc.nat(2), runMs: fc.constantFrom(50, 300, 3000) }))
    await fc.assert(fc.asyncProperty(fc.array(action, { maxLength: 25 }), fc.nat(), async (actions, seed) => {
      const network = await started(2, 3)
      let calls = seed % 7
      for (const endpoint of network.endpoints) endpoint.fault = (name) => name === 'start' && ++calls % 7 === 0 ? 'answer_lost' : 'none'
      const resend: Array<{ at: number, id: string, count: number }> = []
      let jobs = 0
      const open = new Map<string, { entry: number, count: number }>()
      const resendDue = (): void => {
        for (const due of resend.filter(({ at }) => at <= network.clock.now())) {
          resend.splice(resend.indexOf(due), 1)
          network.submit(1, due.id, due.count)
        }
      }
      for (const act of actions) {
        if (act.type === 'submit') {
          const id = `j${jobs++}`
          open.set(id, act)
          network.submit(act.entry, id, act.count)
        }
        if (act.type === 'kill_agent') network.killAgent(act.agent)
        if (act.type === 'kill_entry') {
          for (const [id, { entry, count }] of open) {
            if (entry !== act.entry || network.jobEnds.has(id)) continue
            open.delete(id)
            resend.push({ at: network.clock.now() + RESEND_MS, id, count })
          }
          network.killEntry(act.entry)
        }
        if (act.type === 'cut' || act.type === 'heal') network.cut(act.agent, act.entry, act.type === 'cut')
        if (act.type === 'slow') network.endpoints[act.agent]!.runMs = act.runMs
        for (let waited = 0; waited < (act.type === 'wait' ? act.ms : 10); waited += 10) {
          await network.advance(10)
          resendDue()
        }
      }
      expect(overlappingRuns(network.endpoints)).toEqual([])
      for (const endpoint of network.endpoints) expect(endpoint.peakCpuMilli).toBeLessThanOrEqual(CAPACITY.cpuMilli)
    }), { numRuns: 300, seed: 20261202 })
  })
})
