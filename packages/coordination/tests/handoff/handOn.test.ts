import { seededRandom } from '@hazellift/common'
import { REASONS } from '@hazellift/protocol'
import { describe, expect, it } from 'vitest'
import { overlappingRuns } from '../leased/fakeEndpoint.js'
import { HandOnNetwork } from './handOnNetwork.js'

/** Delay that callers observe before they send a job again; longer than the termination bound. */
const RESEND_MS = 1300
/** After this time agents and entries are connected, and echoes to agents are limited. */
const WARM_UP_MS = 1000
/** Time in which the sessions of an entry that was frozen open again. */
const RECONNECT_MS = 100
const OBJECTIVE = { stretch: 20, slackMs: 2000, lateFactor: 3 }

const createNetwork = async (): Promise<HandOnNetwork> => {
  const network = new HandOnNetwork(3, 3)
  await network.advance(WARM_UP_MS)
  return network
}

const submit = (network: HandOnNetwork, entry: number, id: string, count = 2) => network.leased.submit(entry, id, count, { objective: OBJECTIVE })

const countRuns = ({ leased: { endpoints } }: HandOnNetwork): number => endpoints.reduce((sum, { endedRuns, openRuns }) => sum + endedRuns.length + openRuns.length, 0)

/** Age of the timestamp that an entry echoed last to an agent, in ms; the highest of all its agents. */
const oldestEchoAgeMs = ({ leased: { clock, entries } }: HandOnNetwork, entry: number): number =>
  Math.max(...[...entries[entry]!.dispatcher.fleet.agents.values()].map(({ echoedStampMs }) => clock.now() - echoedStampMs))

/**
 * By how many ms timestamps echoed by entry 1 are later than the time at which
 * entry 0 was last known to be alive, at agents that run jobs of entry 0. Such
 * an agent would run them for too long after entry 0 has died.
 */
const lateEchoes = ({ leased: { entries } }: HandOnNetwork): number[] =>
  [...entries[1]!.dispatcher.fleet.agents.values()].flatMap(({ echoedStampMs, sent }) =>
    [...sent.values()].flatMap(({ job: { originEntry } }) => originEntry !== undefined && echoedStampMs > originEntry.aliveAt ? [echoedStampMs - originEntry.aliveAt] : []))

/** Advances the time in small steps and checks after each that no echo is late. */
const advanceCheckingEchoes = async (network: HandOnNetwork, ms: number): Promise<void> => {
  for (let passed = 0; passed < ms; passed += 5) {
    await network.advance(5)
    expect(lateEchoes(network)).toEqual([])
  }
}

/** When entry 1 last knew the origin entry of its hosted jobs to be alive, on the common clock. */
const originAliveAt = ({ leased: { entries } }: HandOnNetwork): number => Math.max(...[...entries[1]!.dispatcher.fleet.agents.values()]
  .flatMap(({ sent }) => [...sent.values()].map(({ job: { originEntry } }) => originEntry?.aliveAt ?? -Infinity)))

describe('jobs handed on to another entry', () => {
  it('an entry with a late event loop hands its jobs on to its neighbour, which runs each of them once', async () => {
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
    { name: 'an entry whose event loop is on time hands nothing on', prepare: ({ entries }) => { entries[0]!.lagMs = 0 }, handedOn: 0 },
    { name: 'an entry whose operator has disabled handing on hands nothing on', prepare: (network) => { network.limits = { maxOutstanding: 100, maxShare: 0 } }, handedOn: 0 },
    { name: 'an entry hands on no more jobs at once than its limit', prepare: (network) => { network.limits = { maxOutstanding: 1, maxShare: 1.1 } }, handedOn: 1 },
    { name: 'an entry hands nothing on to a neighbour that is overloaded itself', prepare: ({ entries }) => { entries[1]!.lagMs = 40 }, handedOn: 0 },
    { name: 'an entry hands nothing on to a neighbour that is stopping', prepare: ({ entries }) => { entries[1]!.isStopping = true }, handedOn: 0 }
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

  it('a job that was handed on is not handed on again by a neighbour whose event loop is a little late', async () => {
    const network = await createNetwork()
    network.entries[1]!.lagMs = 7
    submit(network, 0, 'j', 1)
    await network.advance(300)
    expect(network.counts).toMatchObject({ handedOn: 1, hosted: 1 })
    expect(countRuns(network)).toBe(1)
  })

  it('a job whose key the neighbour already has is refused there and placed at its own entry', async () => {
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

  /** Faults while a job that was handed on runs at the neighbour. */
  const faults: Array<{ name: string, act: (network: HandOnNetwork) => void | Promise<void>, returned: string[] }> = [
    { name: 'the neighbour dies', act: (network) => network.kill(1), returned: ['entry_lost placed'] },
    { name: 'the neighbour is frozen', act: (network) => network.freeze(1, true), returned: ['entry_lost placed'] },
    {
      name: 'the neighbour is frozen, and resumes with the frames that were sent to it',
      act: async (network) => {
        network.freeze(1, true)
        await network.advance(1250)
        network.freeze(1, false)
      },
      returned: ['entry_lost placed']
    },
    { name: 'frames from the neighbour are delayed', act: (network) => network.cutStream({ toCaller: true }), returned: ['entry_lost placed'] },
    { name: 'frames from the origin entry are delayed', act: (network) => network.cutStream({ toHost: true }), returned: ['unfinished placed'] },
    { name: 'frames are delayed both ways', act: (network) => network.cutStream({ toHost: true, toCaller: true }), returned: ['entry_lost placed'] },
    {
      name: 'frames are delayed both ways for 100 ms',
      act: async (network) => {
        network.cutStream({ toHost: true, toCaller: true })
        await network.advance(100)
        network.cutStream({ toHost: false, toCaller: false })
      },
      returned: []
    },
    { name: 'an agent dies', act: ({ leased }) => leased.killAgent(0), returned: [] },
    { name: 'an agent is cut off from the neighbour', act: ({ leased }) => leased.cut(0, 1, true), returned: [] },
    { name: 'the neighbour cancels all hosted jobs', act: ({ entries }) => entries[1]!.host.cutAll(), returned: ['unfinished placed'] }
  ]
  it.each(faults)('$name: no two runs overlap, and the job completes', async ({ act, returned }) => {
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

  it('a job whose neighbour is lost, and whose answer would come too late, fails so that the caller may send it again, and nothing runs', async () => {
    const network = await createNetwork()
    for (const endpoint of network.leased.endpoints) endpoint.runMs = 900
    network.leased.submit(0, 'j', 2, { objective: { stretch: 1.6, slackMs: 60, lateFactor: 3 } })
    await network.advance(60)
    network.kill(1)
    await network.advance(1300)
    expect(network.leased.jobEnds.get('j')).toMatchObject({ type: 'failed', reason: REASONS.handOnLost })
    expect(network.leased.endpoints.flatMap(({ openRuns }) => openRuns)).toEqual([])
  })

  /** Losses of the origin entry, after which the caller sends the job again, to the neighbour or to a third entry. */
  const losses: Array<{ name: string, act: (network: HandOnNetwork) => void }> = [
    { name: 'the origin entry dies', act: (network) => network.kill(0) },
    { name: 'the origin entry dies, and the neighbour is not notified', act: (network) => { network.cutStream({ toHost: true }); network.kill(0) } },
    { name: 'the origin entry dies, and the neighbour is frozen', act: (network) => { network.kill(0); network.freeze(1, true) } },
    { name: 'the origin entry and the neighbour die', act: (network) => { network.kill(0); network.kill(1) } },
    {
      name: 'the origin entry dies, and the neighbour is frozen shortly before it would have cancelled the job',
      act: (network) => {
        network.cutStream({ toHost: true })
        network.kill(0)
        network.leased.clock.after(295, () => network.freeze(1, true))
      }
    }
  ]
  const resends = losses.flatMap((loss) => [1, 2].map((to) => ({ ...loss, to })))
  it.each(resends)('$name: the job sent again to entry $to completes, and no two runs overlap', async ({ act, to }) => {
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

  it('no timestamp made after the death of the origin entry is echoed to agents that run its jobs', async () => {
    const network = await createNetwork()
    for (const endpoint of network.leased.endpoints) endpoint.runMs = 900
    // The neighbour's own jobs make it send frames, and so echoes, to its agents all the time.
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

  it.each([1, 2, 3, 4, 5, 6])('no two runs overlap under random faults, and jobs whose callers wait end (seed %i)', async (seed) => {
    const random = seededRandom(seed)
    const network = await createNetwork()
    for (const endpoint of network.leased.endpoints) endpoint.runMs = 300
    const draw = (count: number) => Math.floor(random() * count)
    const healAll = () => {
      network.freeze(1, false)
      network.cutStream({ toHost: false, toCaller: false })
      for (let agent = 0; agent < 3; agent++) network.leased.cut(agent, 1, false)
    }
    const randomFaults: Array<() => void> = [
      () => network.freeze(1, true),
      () => network.cutStream({ toHost: true }),
      () => network.cutStream({ toCaller: true }),
      () => network.cutStream({ toHost: true, toCaller: true }),
      () => network.leased.cut(draw(3), 1, true),
      () => network.leased.killAgent(draw(3)),
      () => network.entries[1]!.host.cutAll()
    ]
    const waiting = new Map<string, { leave: () => void, at: number }>()
    for (let step = 0; step < 60; step++) {
      const id = `j${step}`
      waiting.set(id, { ...submit(network, draw(2), id, 1 + draw(3)), at: network.leased.clock.now() })
      if (random() < 0.1) {
        randomFaults[draw(randomFaults.length)]!()
        network.leased.clock.after(50 + draw(1000), healAll)
      }
      const [first] = waiting
      // A caller leaves, and sends its job again after the delay that callers must observe.
      if (first !== undefined && random() < 0.3) {
        first[1].leave()
        waiting.delete(first[0])
        network.leased.clock.after(RESEND_MS, () => submit(network, 2, first[0], 2))
      }
      await advanceCheckingEchoes(network, 5 * (1 + draw(20)))
    }
    healAll()
    await network.advance(12_000)
    expect(overlappingRuns(network.leased.endpoints)).toEqual([])
    expect(network.counts.hosted).toBeGreaterThan(3)
    for (const id of waiting.keys()) expect(network.leased.jobEnds.has(id)).toBe(true)
    expect(network.entries[0]!.router.outstanding).toBe(0)
  })

  it('a job whose caller leaves while the offer is in transit is cancelled, and completes when it is sent again', async () => {
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

  it('the neighbour\'s own jobs complete after the origin entry of a hosted job has died', async () => {
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

  it('the neighbour\'s own jobs start while frames from the origin entry are delayed', async () => {
    const network = await createNetwork()
    network.cutStream({ toHost: true })
    await network.advance(160)
    submit(network, 1, 'own', 1)
    await network.advance(300)
    expect(network.leased.jobEnds.get('own')).toEqual({ type: 'complete' })
  })
})
