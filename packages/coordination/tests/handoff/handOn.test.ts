import { seededRandom } from '@hazellift/common'
import { REASONS } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { overlappingRuns } from '../leased/fakeEndpoint.js'
import { HandOnNetwork } from './handOnNetwork.js'

const RESEND_MS = 1300
/** Agents and the two entries know each other, and echoes are held back. */
const WARM_UP_MS = 1000
/** An entry that stood still has its sessions again. */
const RECONNECT_MS = 100
const OBJECTIVE = { stretch: 20, slackMs: 2000, lateFactor: 3 }

const createNetwork = async (): Promise<HandOnNetwork> => {
  const network = new HandOnNetwork(3, 3)
  await network.advance(WARM_UP_MS)
  return network
}

const submit = (network: HandOnNetwork, entry: number, id: string, count = 2) => network.leased.submit(entry, id, count, { objective: OBJECTIVE })

const countRuns = ({ leased: { endpoints } }: HandOnNetwork): number => endpoints.reduce((sum, { endedRuns: past, openRuns: open }) => sum + past.length + open.length, 0)

/** How old the stamp is that was echoed last, at the agent where it is oldest. */
const oldestEchoAgeMs = ({ leased: { clock, entries } }: HandOnNetwork, entry: number): number =>
  Math.max(...[...entries[entry]!.dispatcher.fleet.agents.values()].map(({ echoedStampMs }) => clock.now() - echoedStampMs))

/** Stamps echoed to agents of entry 1 that run work of entry 0, later than entry 0 is known to have lived: the agents would run it on for too long. */
const lateEchoes = ({ leased: { entries } }: HandOnNetwork): number[] =>
  [...entries[1]!.dispatcher.fleet.agents.values()].flatMap(({ echoedStampMs, sent }) =>
    [...sent.values()].flatMap(({ job: { originEntry: sponsor } }) => sponsor !== undefined && echoedStampMs > sponsor.aliveAt ? [echoedStampMs - sponsor.aliveAt] : []))

/** Moves time on in small steps and looks at every echo. */
const advanceCheckingEchoes = async (network: HandOnNetwork, ms: number): Promise<void> => {
  for (let passed = 0; passed < ms; passed += 5) {
    await network.advance(5)
    expect(lateEchoes(network)).toEqual([])
  }
}

/** The caller's entry has last been alive then, on the common clock. */
const originAliveAt = ({ leased: { entries } }: HandOnNetwork): number => Math.max(...[...entries[1]!.dispatcher.fleet.agents.values()]
  .flatMap(({ sent }) => [...sent.values()].map(({ job: { originEntry: sponsor } }) => sponsor?.aliveAt ?? -Infinity)))

describe('work handed on', () => {
  it('a late entry hands its jobs to its neighbour, which runs them once', async () => {
    const network = await createNetwork()
    for (let job = 0; job < 4; job++) submit(network, 0, `j${job}`, 1)
    await network.advance(400)
    expect(network.counts).toMatchObject({ handedOn: 4, hosted: 4, refused: 0, returned: [] })
    expect([...network.leased.jobEnds.values()].map(({ type }) => type)).toEqual(Array.from({ length: 4 }, () => 'complete'))
    expect(countRuns(network)).toBe(4)
    expect(network.entries[1]!.host.size).toBe(0)
    expect(network.entries[0]!.router.outstanding).toBe(0)
  })

  const bounds: Array<{ name: string, prepare: (network: HandOnNetwork) => void, handedOn: number }> = [
    { name: 'an entry with time and room hands nothing on', prepare: ({ entries }) => { entries[0]!.lagMs = 0 }, handedOn: 0 },
    { name: 'nor does one whose operator has turned it off', prepare: (network) => { network.limits = { maxOutstanding: 100, maxShare: 0 } }, handedOn: 0 },
    { name: 'no more at once than the bound', prepare: (network) => { network.limits = { maxOutstanding: 1, maxShare: 1.1 } }, handedOn: 1 },
    { name: 'nothing to a neighbour that is late itself', prepare: ({ entries }) => { entries[1]!.lagMs = 40 }, handedOn: 0 },
    { name: 'nothing to one that stops', prepare: ({ entries }) => { entries[1]!.isStopping = true }, handedOn: 0 }
  ]
  it.each(bounds)('$name', async ({ prepare, handedOn }) => {
    const network = await createNetwork()
    prepare(network)
    await network.advance(200)
    for (let job = 0; job < 3; job++) submit(network, 0, `j${job}`, 1)
    await network.advance(600)
    expect(network.counts.handedOn).toBe(handedOn)
    expect([...network.leased.jobEnds.values()].map(({ type }) => type)).toEqual(['complete', 'complete', 'complete'])
    expect(countRuns(network)).toBe(3)
  })

  it('a job is not handed on twice', async () => {
    const network = await createNetwork()
    network.entries[1]!.lagMs = 7
    submit(network, 0, 'j', 1)
    await network.advance(300)
    expect(network.counts).toMatchObject({ handedOn: 1, hosted: 1 })
    expect(countRuns(network)).toBe(1)
  })

  it('a job that the neighbour has under its key is refused there, and placed here', async () => {
    const network = await createNetwork()
    for (const endpoint of network.leased.endpoints) endpoint.runMs = 500
    const { leave } = submit(network, 1, 'j', 1)
    await network.advance(50)
    leave()
    submit(network, 0, 'j', 1)
    await network.advance(1500)
    expect(network.counts.returned).toEqual(['refused placed'])
    expect(network.leased.jobEnds.get('j')).toEqual({ type: 'complete' })
  })

  /** What happens while a job runs that was handed on. */
  const faults: Array<{ name: string, act: (network: HandOnNetwork) => void | Promise<void>, returned: string[] }> = [
    { name: 'the neighbour dies', act: (network) => network.kill(1), returned: ['entry_lost placed'] },
    { name: 'the neighbour stands still', act: (network) => network.freeze(1, true), returned: ['entry_lost placed'] },
    {
      name: 'the neighbour stands still, and wakes with what it had been sent',
      act: async (network) => {
        network.freeze(1, true)
        await network.advance(1250)
        network.freeze(1, false)
      },
      returned: ['entry_lost placed']
    },
    { name: 'the neighbour is not heard', act: (network) => network.cutStream({ toCaller: true }), returned: ['entry_lost placed'] },
    { name: 'the caller\'s entry is not heard', act: (network) => network.cutStream({ toHost: true }), returned: ['unfinished placed'] },
    { name: 'neither hears the other', act: (network) => network.cutStream({ toHost: true, toCaller: true }), returned: ['entry_lost placed'] },
    {
      name: 'neither hears the other for a moment',
      act: async (network) => {
        network.cutStream({ toHost: true, toCaller: true })
        await network.advance(100)
        network.cutStream({ toHost: false, toCaller: false })
      },
      returned: []
    },
    { name: 'an agent dies', act: ({ leased }) => leased.killAgent(0), returned: [] },
    { name: 'an agent is cut off from the neighbour', act: ({ leased }) => leased.cut(0, 1, true), returned: [] },
    { name: 'the neighbour is cut', act: ({ entries }) => entries[1]!.host.cutAll(), returned: ['unfinished placed'] }
  ]
  it.each(faults)('$name: no two runs overlap, and the job ends', async ({ act, returned }) => {
    const network = await createNetwork()
    for (const endpoint of network.leased.endpoints) endpoint.runMs = 900
    submit(network, 0, 'j', 3)
    await network.advance(60)
    expect(network.counts.hosted).toBe(1)
    expect(countRuns(network)).toBe(3)
    await act(network)
    await network.advance(4000)
    expect(network.counts.returned).toEqual(returned)
    expect(network.leased.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.leased.endpoints)).toEqual([])
  })

  it('the neighbour is lost, and the answer would come too late: the caller hears that it may send again, and nothing runs', async () => {
    const network = await createNetwork()
    for (const endpoint of network.leased.endpoints) endpoint.runMs = 900
    network.leased.submit(0, 'j', 2, { objective: { stretch: 1.6, slackMs: 60, lateFactor: 3 } })
    await network.advance(60)
    network.kill(1)
    await network.advance(1300)
    expect(network.leased.jobEnds.get('j')).toMatchObject({ type: 'failed', reason: REASONS.handOnLost })
    expect(network.leased.endpoints.flatMap(({ openRuns: open }) => open)).toEqual([])
  })

  /** The caller's entry is lost; its caller sends the job again, to the neighbour or to a third entry. */
  const deaths: Array<{ name: string, act: (network: HandOnNetwork) => void }> = [
    { name: 'the caller\'s entry dies', act: (network) => network.kill(0) },
    { name: 'it dies, and the neighbour hears nothing of that', act: (network) => { network.cutStream({ toHost: true }); network.kill(0) } },
    { name: 'it dies, and the neighbour stands still', act: (network) => { network.kill(0); network.freeze(1, true) } },
    { name: 'it dies and the neighbour with it', act: (network) => { network.kill(0); network.kill(1) } },
    {
      name: 'it dies, and the neighbour a moment before it would have stopped the job',
      act: (network) => {
        network.cutStream({ toHost: true })
        network.kill(0)
        network.leased.clock.after(295, () => network.freeze(1, true))
      }
    }
  ]
  const resends = deaths.flatMap((death) => [1, 2].map((to) => ({ ...death, to })))
  it.each(resends)('$name: the job sent again to entry $to runs beside no other run', async ({ act, to }) => {
    const network = await createNetwork()
    for (const endpoint of network.leased.endpoints) endpoint.runMs = 1600
    submit(network, 0, 'j', 3)
    await network.advance(60)
    expect(countRuns(network)).toBe(3)
    act(network)
    await network.advance(RESEND_MS - RECONNECT_MS)
    if (to === 1) network.freeze(1, false)
    await network.advance(RECONNECT_MS)
    submit(network, to, 'j', 3)
    await network.advance(6000)
    expect(network.leased.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.leased.endpoints)).toEqual([])
  })

  it('agents are echoed no stamp made after the caller\'s entry died', async () => {
    const network = await createNetwork()
    for (const endpoint of network.leased.endpoints) endpoint.runMs = 900
    // Traffic of the neighbour's own has it echo what it has just read.
    for (let job = 0; job < 30; job++) {
      network.leased.clock.after(job * 20, () => submit(network, 1, `own${job}`, 1))
      if (job % 3 === 0) network.leased.clock.after(job * 20 + 10, () => submit(network, 0, `theirs${job}`, 1))
    }
    await advanceCheckingEchoes(network, 400)
    expect(network.counts.hosted).toBeGreaterThan(4)
    const diedAt = network.leased.clock.now()
    network.cutStream({ toHost: true })
    network.kill(0)
    await advanceCheckingEchoes(network, 250)
    expect(originAliveAt(network)).toBeLessThanOrEqual(diedAt)
    expect(originAliveAt(network)).toBeGreaterThan(0)
  })

  it.each([1, 2, 3, 4, 5, 6])('whatever fails in whichever order, no two runs overlap (seed %i)', async (seed) => {
    const random = seededRandom(seed)
    const network = await createNetwork()
    for (const endpoint of network.leased.endpoints) endpoint.runMs = 300
    const draw = (count: number) => Math.floor(random() * count)
    const healAll = () => {
      network.freeze(1, false)
      network.cutStream({ toHost: false, toCaller: false })
      for (let agent = 0; agent < 3; agent++) network.leased.cut(agent, 1, false)
    }
    const acts: Array<() => void> = [
      () => network.freeze(1, true),
      () => network.cutStream({ toHost: true }),
      () => network.cutStream({ toCaller: true }),
      () => network.cutStream({ toHost: true, toCaller: true }),
      () => network.leased.cut(draw(3), 1, true),
      () => network.leased.killAgent(draw(3)),
      () => network.entries[1]!.host.cutAll()
    ]
    const alive = new Map<string, { leave: () => void, at: number }>()
    for (let step = 0; step < 60; step++) {
      const id = `j${step}`
      alive.set(id, { ...submit(network, draw(2), id, 1 + draw(3)), at: network.leased.clock.now() })
      if (random() < 0.1) {
        acts[draw(acts.length)]!()
        network.leased.clock.after(50 + draw(1000), healAll)
      }
      const [first] = alive
      // A caller goes, and comes again after the pause that all keep.
      if (first !== undefined && random() < 0.3) {
        first[1].leave()
        alive.delete(first[0])
        network.leased.clock.after(RESEND_MS, () => submit(network, 2, first[0], 2))
      }
      await advanceCheckingEchoes(network, 5 * (1 + draw(20)))
    }
    healAll()
    await network.advance(12_000)
    expect(overlappingRuns(network.leased.endpoints)).toEqual([])
    expect(network.counts.hosted).toBeGreaterThan(3)
    for (const id of alive.keys()) expect(network.leased.jobEnds.has(id)).toBe(true)
    expect(network.entries[0]!.router.outstanding).toBe(0)
  })

  it('the caller goes while the offer is under way: what begins is stopped, and the job may be sent again', async () => {
    const network = await createNetwork()
    for (const endpoint of network.leased.endpoints) endpoint.runMs = 400
    network.cutStream({ toHost: true })
    submit(network, 0, 'j', 2).leave()
    submit(network, 0, 'j', 2)
    await network.advance(50)
    network.cutStream({ toHost: false })
    await network.advance(1500)
    expect(network.leased.jobEnds.get('j')).toEqual({ type: 'complete' })
    expect(overlappingRuns(network.leased.endpoints)).toEqual([])
  })

  it('the neighbour\'s own jobs go on when the caller\'s entry falls silent', async () => {
    const network = await createNetwork()
    for (const endpoint of network.leased.endpoints) endpoint.runMs = 1500
    submit(network, 0, 'theirs', 2)
    await network.advance(60)
    submit(network, 1, 'own', 2)
    await network.advance(60)
    network.kill(0)
    await network.advance(2000)
    expect(network.leased.jobEnds.get('own')).toEqual({ type: 'complete' })
    expect(network.leased.endedStartCounts.get(REASONS.leaseExpired)).toBeUndefined()
    expect(oldestEchoAgeMs(network, 1)).toBeLessThan(400)
  })

  it('a job of another entry that cannot be started does not hold up the neighbour\'s own', async () => {
    const network = await createNetwork()
    network.cutStream({ toHost: true })
    await network.advance(160)
    submit(network, 1, 'own', 1)
    await network.advance(300)
    expect(network.leased.jobEnds.get('own')).toEqual({ type: 'complete' })
  })
})
